#include <jansson.h>

#include "trefoilhilld/node.h"
#include "trefoilhilld/operator.h"

enum {
	EVENTS_MAX = 65536,
	NS_PER_US = 1000,
	STATUS_BAD_REQUEST = 400,
};

static void
event_append(const struct event *event, const char *node, GString *out)
{
	char wall_time[40];
	json_t *json;
	char *line;

	g_snprintf(wall_time, sizeof(wall_time), "%lld.%06ld",
	    (long long)event->wall.tv_sec, event->wall.tv_nsec / NS_PER_US);
	json = json_pack("{s:I,s:s,s:s,s:s,s:I,s:I,s:I,s:s}", "seq",
	    (json_int_t)event->sequence, "at", wall_time, "node", node, "kind",
	    event_kind_name(event->kind), "version", (json_int_t)event->version,
	    "request", (json_int_t)event->request, "value",
	    (json_int_t)event->value, "subject", event->subject);
	if (json == NULL)
		return;
	line = json_dumps(json, JSON_COMPACT | JSON_PRESERVE_ORDER);
	g_string_append(out, line);
	g_string_append_c(out, '\n');
	free(line);
	json_decref(json);
}

/*
 * GET /v1/events?after=N: returns the events of the log with a sequence number
 * above N, one JSON object per line.
 */
void
handle_events(
    const struct operator_request *request, struct operator_response *response)
{
	const struct settings *settings = node_settings(request->node);
	char *after_text = operator_query_value(request->query, "after");
	size_t capacity = MIN(settings->log.event_entries, EVENTS_MAX);
	struct event *events = NULL;
	guint64 after = 0;
	size_t count;

	if (after_text != NULL &&
	    !g_ascii_string_to_unsigned(
		after_text, 10, 0, G_MAXINT64, &after, NULL)) {
		operator_response_set_error(response, STATUS_BAD_REQUEST,
		    "bad-query", "after: expected a whole number");
		goto done;
	}
	events = g_new(struct event, capacity);
	count =
	    event_log_copy(node_events(request->node), after, events, capacity);
	response->content_type = "application/x-ndjson";
	for (size_t i = 0; i < count; i++)
		event_append(
		    &events[i], settings->node.host.ptr, response->body);
done:
	g_free(events);
	g_free(after_text);
}
