#include <inttypes.h>
#include <string.h>

#include "trefoilhill-timeline/timeline.h"

enum {
	SECOND_US = 1000000,
	MS_US = 1000,
	TIME_MAX = 40,
	CONTEXT_US = 2 * SECOND_US,
	CONTEXT_MAX = 60,
	LATE_NODES_MARKED = 3,
};

static void
print_time(FILE *out, int64_t at_us)
{
	GDateTime *at = g_date_time_new_from_unix_utc(at_us / SECOND_US);
	char *text = at == NULL ? NULL : g_date_time_format(at, "%H:%M:%S");

	fprintf(out, "%s.%06d", text == NULL ? "?" : text,
	    (int)(at_us % SECOND_US));
	g_free(text);
	if (at != NULL)
		g_date_time_unref(at);
}

char *
timeline_event_format(const struct timeline_event *event)
{
	GString *text = g_string_new(event->kind);

	if (event->version != 0)
		g_string_append_printf(
		    text, " version=%" PRIu64, event->version);
	if (event->request != 0 && !event->from_log)
		g_string_append_printf(
		    text, " request=%016" PRIx64, event->request);
	if (event->value != 0)
		g_string_append_printf(text, " value=%" PRId64, event->value);
	if (*event->subject != '\0')
		g_string_append_printf(text, " %s", event->subject);
	return g_string_free(text, FALSE);
}

/*
 * Prints one line for each event: time of day in UTC, node, sequence number and
 * description.
 */
void
timeline_print(const GPtrArray *events, FILE *out)
{
	int width = 0;

	for (guint i = 0; i < events->len; i++) {
		const struct timeline_event *event = events->pdata[i];

		width = MAX(width, (int)strlen(event->node));
	}
	for (guint i = 0; i < events->len; i++) {
		const struct timeline_event *event = events->pdata[i];
		char *text = timeline_event_format(event);

		print_time(out, event->at_us);
		fprintf(out, "  %-*s  #%-5" PRIu64 "  %s\n", width, event->node,
		    event->sequence, text);
		g_free(text);
	}
}

/*
 * Prints when a version took effect at each node and marks the last nodes.
 */
void
timeline_print_arrivals(
    const struct timeline *timeline, uint64_t version, FILE *out)
{
	GArray *arrivals = timeline_arrivals(timeline, version);
	guint seen = 0;

	while (seen < arrivals->len &&
	    g_array_index(arrivals, struct version_arrival, seen).at_us !=
		INT64_MAX)
		seen++;
	fprintf(out, "version %" PRIu64 ": in force at %u of %u nodes\n",
	    version, seen, arrivals->len);
	for (guint i = 0; i < arrivals->len; i++) {
		const struct version_arrival *arrival =
		    &g_array_index(arrivals, struct version_arrival, i);
		const struct version_arrival *first =
		    &g_array_index(arrivals, struct version_arrival, 0);

		if (i >= seen) {
			fprintf(out,
			    "  never seen at %s, last seen there: "
			    "version %" PRIu64 "\n",
			    arrival->node, arrival->newest);
			continue;
		}
		fputs("  ", out);
		print_time(out, arrival->at_us);
		fprintf(out, "  +%.1f ms  %s%s\n",
		    (double)(arrival->at_us - first->at_us) / MS_US,
		    arrival->node,
		    i + LATE_NODES_MARKED >= seen && i > 0
			? "  <- among the last"
			: "");
	}
	g_array_unref(arrivals);
}

static void
print_outcome(const struct timeline_event *event, FILE *out)
{
	if (timeline_event_has_kind(event, "call_refused") ||
	    timeline_event_has_kind(event, "refused"))
		fprintf(out, "%s refused it (%s): it did not run.\n",
		    event->node, event->subject);
	else if (timeline_event_has_kind(event, "call_unknown") ||
	    timeline_event_has_kind(event, "failed"))
		fprintf(out, "%s gave it up (%s): it may have run.\n",
		    event->node, event->subject);
	else if (timeline_event_has_kind(event, "answer_cut"))
		fprintf(out, "%s cut its answer (%s): it has run.\n",
		    event->node, event->subject);
	else if (timeline_event_has_kind(event, "caller_gone"))
		fprintf(out, "%s saw its caller leave (%s).\n", event->node,
		    event->subject);
	else if (timeline_event_has_kind(event, "call_retried"))
		fprintf(out,
		    "%s tried it again after attempt %" PRId64 " (%s).\n",
		    event->node, event->value, event->subject);
}

/* Returns true if any of the events was recorded by the node. */
static bool
involves_node(const GPtrArray *events, const char *node)
{
	for (guint i = 0; i < events->len; i++) {
		const struct timeline_event *event = events->pdata[i];

		if (strcmp(event->node, node) == 0)
			return true;
	}
	return false;
}

/* Returns true if the event may explain why a request failed. */
static bool
is_context(const struct timeline_event *event, const GPtrArray *request_events)
{
	const struct timeline_event *first = request_events->pdata[0];

	if (event->request != 0 || g_str_has_prefix(event->kind, "call_"))
		return false;
	if (event->from_log)
		return involves_node(request_events, event->node);
	return strcmp(event->node, first->node) == 0 ||
	    !(g_str_has_prefix(event->kind, "version_") ||
		timeline_event_has_kind(event, "state_adopted"));
}

/* Prints the last state changes before the end of a request. */
static void
print_context(
    const struct timeline *timeline, const GPtrArray *request_events, FILE *out)
{
	const struct timeline_event *first = request_events->pdata[0];
	const struct timeline_event *last =
	    request_events->pdata[request_events->len - 1];
	struct timeline_filter filter = { .since_us = first->at_us - CONTEXT_US,
		.until_us = last->at_us };
	GPtrArray *context = timeline_select(timeline, &filter);
	guint kept = 0;

	for (guint i = 0; i < context->len; i++)
		if (is_context(context->pdata[i], request_events))
			context->pdata[kept++] = context->pdata[i];
	g_ptr_array_set_size(context, (int)kept);
	if (kept > CONTEXT_MAX)
		g_ptr_array_remove_range(context, 0, kept - CONTEXT_MAX);
	fprintf(out,
	    "Changes of state in the 2 s up to then (versions at %s only):\n",
	    first->node);
	timeline_print(context, out);
	if (kept == 0)
		fputs("none\n", out);
	g_ptr_array_unref(context);
}

bool
timeline_print_request(
    const struct timeline *timeline, uint64_t request, FILE *out)
{
	struct timeline_filter filter = { .request = request,
		.until_us = INT64_MAX };
	GPtrArray *events = timeline_select(timeline, &filter);
	bool found = events->len > 0;

	if (!found) {
		fprintf(out,
		    "request %016" PRIx64 ": no event. It was answered by its "
		    "upstream at the first attempt, or its node keeps that "
		    "time no more.\n",
		    request);
		goto done;
	}
	fprintf(out, "request %016" PRIx64 ":\n", request);
	timeline_print(events, out);
	for (guint i = 0; i < events->len; i++)
		print_outcome(events->pdata[i], out);
	print_context(timeline, events, out);
done:
	g_ptr_array_unref(events);
	return found;
}
