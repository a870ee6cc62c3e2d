#include <inttypes.h>
#include <string.h>

#include "common/json_parse.h"
#include "trefoilhillctl/command.h"
#include "trefoilhillctl/error.h"
#include "trefoilhillctl/text_table.h"

enum {
	DECIMAL = 10,
};

static const struct option command_options[] = {
	{ "after", required_argument, NULL, 'a' },
	{ "kind", required_argument, NULL, 'k' },
	{ NULL, 0, NULL, 0 },
};

/* Appends the events of one node to a JSON array. False on a bad response. */
static bool
events_append(struct node_response *response, const char *kind, json_t *events)
{
	char **lines = g_strsplit(response->body->str, "\n", 0);
	bool valid = true;

	for (char **line = lines; valid && *line != NULL; line++) {
		json_t *event;
		const char *name;

		if (**line == '\0')
			continue;
		event = json_parse(str_from(*line), 0, NULL);
		name = json_string_value(json_object_get(event, "kind"));
		valid = name != NULL;
		if (valid && (kind == NULL || strcmp(kind, name) == 0))
			json_array_append(events, event);
		json_decref(event);
	}
	if (!valid)
		g_set_error(&response->error, CTL_ERROR, CTL_ERROR_RESPONSE,
		    "%s: response contains a line that is not an event",
		    response->address);
	g_strfreev(lines);
	return valid;
}

static void
print_text(FILE *out, const json_t *events)
{
	static const char *const headers[] = { "AT", "NODE", "SEQ", "EVENT",
		"VERSION", "REQUEST", "VALUE", "SUBJECT" };
	struct text_table table;
	json_t *event;
	size_t i;

	text_table_init(&table, headers, G_N_ELEMENTS(headers));
	json_array_foreach (events, i, event) {
		const char *at = "?", *node = "?", *kind = "?", *subject = "";
		json_int_t seq = 0, version = 0, request = 0, value = 0;

		json_unpack(event, "{s:s,s:s,s:I,s:s,s:I,s:I,s:I,s:s}", "at",
		    &at, "node", &node, "seq", &seq, "kind", &kind, "version",
		    &version, "request", &request, "value", &value, "subject",
		    &subject);
		text_table_add_cell(&table, "%s", at);
		text_table_add_cell(&table, "%s", node);
		text_table_add_cell(&table, "%" JSON_INTEGER_FORMAT, seq);
		text_table_add_cell(&table, "%s", kind);
		text_table_add_cell(&table, "%" JSON_INTEGER_FORMAT, version);
		if (request == 0)
			text_table_add_cell(&table, "-");
		else
			text_table_add_cell(
			    &table, "%016" PRIx64, (uint64_t)request);
		text_table_add_cell(&table, "%" JSON_INTEGER_FORMAT, value);
		text_table_add_cell(&table, "%s", subject);
	}
	text_table_print(&table, out);
	text_table_clear(&table);
}

static int
print_events(struct ctl *ctl, const char *after, const char *kind)
{
	char *target = g_strdup_printf("/v1/events?after=%s", after);
	struct node_request request = {
		.nodes = ctl->options.nodes,
		.target = target,
		.timeout_ms = ctl->options.timeout_ms,
	};
	GPtrArray *responses = node_client_query(&request);
	json_t *events = json_array();
	int status;

	for (guint i = 0; i < responses->len; i++) {
		struct node_response *response = responses->pdata[i];

		if (response->error == NULL)
			events_append(response, kind, events);
	}
	if (ctl->options.json) {
		ctl_print_json(ctl, events);
	} else {
		print_text(ctl->out, events);
		json_decref(events);
	}
	status = ctl_report_failures(ctl, responses);
	g_ptr_array_unref(responses);
	g_free(target);
	return status;
}

static int
run(struct ctl *ctl)
{
	const char *after = "0", *kind = NULL;
	int option, status;
	guint64 number;

	while ((option = ctl_next_option(ctl, &command_events)) >= 0)
		*(option == 'a' ? &after : &kind) = optarg;
	if (ctl_finish_options(ctl, &command_events, option, &status))
		return status;
	if (!g_ascii_string_to_unsigned(
		after, DECIMAL, 0, G_MAXINT64, &number, NULL))
		return ctl_report_usage_error(ctl, &command_events,
		    "--after: expected a non-negative integer");
	return print_events(ctl, after, kind);
}

const struct command command_events = {
	.name = "events",
	.summary = "print the recent events of nodes",
	.arguments = "[--after SEQ] [--kind KIND] [OPTION]...",
	.usage =
	    "Print the last events of each node, oldest first, node by node;\n"
	    "trefoilhill-timeline(1) merges them:\n"
	    "  --after SEQ           only events with a higher sequence number\n"
	    "  --kind KIND           only events of one kind\n",
	.options = command_options,
	.run = run,
};
