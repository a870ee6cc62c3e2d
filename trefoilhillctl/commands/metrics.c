#include <string.h>

#include "trefoilhillctl/command.h"

static const struct option command_options[] = {
	{ "prefix", required_argument, NULL, 'p' },
	{ NULL, 0, NULL, 0 },
};

/* Returns true for a sample whose name has the prefix, not for comments. */
static bool
line_matches(const char *line, const char *prefix)
{
	return *line != '\0' && *line != '#' && g_str_has_prefix(line, prefix);
}

static void
print_text(FILE *out, const struct node_response *response, const char *prefix)
{
	char **lines = g_strsplit(response->body->str, "\n", 0);

	fprintf(out, "# node %s\n", response->address);
	for (char **line = lines; *line != NULL; line++)
		if (line_matches(*line, prefix))
			fprintf(out, "%s\n", *line);
	g_strfreev(lines);
}

static json_t *
node_to_json(const struct node_response *response, const char *prefix)
{
	char **lines = g_strsplit(response->body->str, "\n", 0);
	json_t *samples = json_object();

	for (char **line = lines; *line != NULL; line++) {
		char *space = strrchr(*line, ' ');

		if (!line_matches(*line, prefix) || space == NULL)
			continue;
		*space = '\0';
		json_object_set_new(
		    samples, *line, json_real(g_ascii_strtod(space + 1, NULL)));
	}
	g_strfreev(lines);
	return json_pack(
	    "{s:s,s:o}", "address", response->address, "metrics", samples);
}

static void
print_json(
    const struct ctl *ctl, const GPtrArray *responses, const char *prefix)
{
	json_t *nodes = json_array();

	for (guint i = 0; i < responses->len; i++) {
		const struct node_response *response = responses->pdata[i];

		json_array_append_new(nodes,
		    response->error != NULL ? ctl_failure_to_json(response)
					    : node_to_json(response, prefix));
	}
	ctl_print_json(ctl, nodes);
}

static int
run(struct ctl *ctl)
{
	struct node_request request = { .target = "/v1/metrics" };
	const char *prefix = "";
	GPtrArray *responses;
	int option, status;

	while ((option = ctl_next_option(ctl, &command_metrics)) >= 0)
		prefix = optarg;
	if (ctl_finish_options(ctl, &command_metrics, option, &status))
		return status;
	request.nodes = ctl->options.nodes;
	request.timeout_ms = ctl->options.timeout_ms;
	responses = node_client_query(&request);
	if (ctl->options.json)
		print_json(ctl, responses, prefix);
	for (guint i = 0; !ctl->options.json && i < responses->len; i++) {
		const struct node_response *response = responses->pdata[i];

		if (response->error == NULL)
			print_text(ctl->out, response, prefix);
	}
	status = ctl_report_failures(ctl, responses);
	g_ptr_array_unref(responses);
	return status;
}

const struct command command_metrics = {
	.name = "metrics",
	.summary = "print the metrics of nodes",
	.arguments = "[--prefix NAME] [OPTION]...",
	.usage =
	    "Print the samples of each node in the Prometheus text format:\n"
	    "  --prefix NAME         only samples whose name starts with NAME\n",
	.options = command_options,
	.run = run,
};
