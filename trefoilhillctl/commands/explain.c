#include <string.h>

#include <curl/curl.h>

#include "trefoilhillctl/command.h"
#include "trefoilhillctl/error.h"
#include "trefoilhillctl/text_table.h"

static const struct option command_options[] = {
	{ "authority", required_argument, NULL, 'a' },
	{ "path", required_argument, NULL, 'p' },
	{ NULL, 0, NULL, 0 },
};

static char *
make_target(const char *authority, const char *path)
{
	char *name = curl_easy_escape(NULL, authority, 0);
	char *prefix = curl_easy_escape(NULL, path, 0);
	char *target =
	    g_strdup_printf("/v1/explain?authority=%s&path=%s", name, prefix);

	curl_free(name);
	curl_free(prefix);
	return target;
}

static void
print_upstreams(FILE *out, const json_t *upstreams)
{
	static const char *const headers[] = { "  UPSTREAM", "HOST", "ZONE",
		"MAY SERVE", "WHY" };
	struct text_table table;
	json_t *item;
	size_t i;

	if (json_array_size(upstreams) == 0) {
		fputs("  no upstream: such a request is refused\n", out);
		return;
	}
	text_table_init(&table, headers, G_N_ELEMENTS(headers));
	json_array_foreach (upstreams, i, item) {
		const char *upstream = "?", *host = "?", *zone = "?", *why = "";
		int eligible = 0;

		json_unpack(item, "{s:s,s:s,s:s,s:b,s:s}", "upstream",
		    &upstream, "host", &host, "zone", &zone, "eligible",
		    &eligible, "reason", &why);
		text_table_add_cell(&table, "  %s", upstream);
		text_table_add_cell(&table, "%s", host);
		text_table_add_cell(&table, "%s", zone);
		text_table_add_cell(&table, "%s", eligible ? "yes" : "no");
		text_table_add_cell(&table, "%s", why);
	}
	text_table_print(&table, out);
	text_table_clear(&table);
}

static void
print_text(FILE *out, struct node_response *response)
{
	const char *route, *service, *reason = "";
	json_t *upstreams, *route_name, *service_name;
	json_int_t version;

	if (json_unpack(response->json, "{s:I,s:o,s:o,s:o,s?s}", "version",
		&version, "route", &route_name, "service", &service_name,
		"upstreams", &upstreams, "reason", &reason) != 0) {
		g_set_error(&response->error, CTL_ERROR, CTL_ERROR_RESPONSE,
		    "%s: response is not an explanation", response->address);
		return;
	}
	route = json_string_value(route_name);
	service = json_string_value(service_name);
	fprintf(out, "%s at version %" JSON_INTEGER_FORMAT ": ",
	    response->address, version);
	if (route == NULL) {
		fprintf(out, "no route: %s\n", reason);
		return;
	}
	fprintf(out, "route %s, service %s\n", route,
	    service == NULL ? "?" : service);
	print_upstreams(out, upstreams);
}

static void
print_json(const struct ctl *ctl, const GPtrArray *responses)
{
	json_t *nodes = json_array();

	for (guint i = 0; i < responses->len; i++) {
		const struct node_response *response = responses->pdata[i];
		json_t *node;

		if (response->error != NULL) {
			node = ctl_failure_to_json(response);
		} else {
			node = json_copy(response->json);
			json_object_set_new(
			    node, "address", json_string(response->address));
		}
		json_array_append_new(nodes, node);
	}
	ctl_print_json(ctl, nodes);
}

static int
run(struct ctl *ctl)
{
	const char *authority = NULL, *path = NULL;
	GPtrArray *responses;
	char *target;
	int option, status;

	while ((option = ctl_next_option(ctl, &command_explain)) >= 0)
		*(option == 'a' ? &authority : &path) = optarg;
	if (ctl_finish_options(ctl, &command_explain, option, &status))
		return status;
	if (authority == NULL && path == NULL)
		return ctl_report_usage_error(
		    ctl, &command_explain, "--authority or --path is required");
	target = make_target(
	    authority == NULL ? "" : authority, path == NULL ? "/" : path);
	responses = ctl_get_json(ctl, target);
	if (ctl->options.json)
		print_json(ctl, responses);
	for (guint i = 0; !ctl->options.json && i < responses->len; i++) {
		struct node_response *response = responses->pdata[i];

		if (response->error == NULL)
			print_text(ctl->out, response);
	}
	status = ctl_report_failures(ctl, responses);
	g_ptr_array_unref(responses);
	g_free(target);
	return status;
}

const struct command command_explain = {
	.name = "explain",
	.summary = "show the route, service and upstreams of a request",
	.arguments = "[--authority NAME] [--path PATH] [OPTION]...",
	.usage =
	    "Print the route, service and upstreams that each node would select\n"
	    "for a request, and why other upstreams are not eligible:\n"
	    "  --authority NAME      the Host header of the request (none)\n"
	    "  --path PATH           the path of the request (/)\n",
	.options = command_options,
	.run = run,
};
