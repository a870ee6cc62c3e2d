#include <string.h>

#include "trefoilhill-timeline/timeline.h"

static bool
sets_state(const struct timeline_event *event)
{
	return timeline_event_is(event, "version_accepted") ||
	    timeline_event_is(event, "version_refused") ||
	    timeline_event_is(event, "state_adopted") ||
	    timeline_event_is(event, "node_ready");
}

static bool
has_start(const struct timeline_stream *stream)
{
	for (guint i = 0; i < stream->events->len; i++)
		if (timeline_event_is(stream->events->pdata[i], "node_started"))
			return true;
	return false;
}

/* When a process had the version in force: while it joins, nothing is. */
static void
stream_arrival(const struct timeline_stream *stream, uint64_t version,
    struct version_arrival *arrival)
{
	bool ready = !has_start(stream);

	for (guint i = 0; i < stream->events->len; i++) {
		const struct timeline_event *event = stream->events->pdata[i];

		ready = ready || timeline_event_is(event, "node_ready");
		if (!sets_state(event))
			continue;
		arrival->newest = MAX(arrival->newest, event->version);
		if (ready && event->version >= version)
			arrival->at_us = MIN(arrival->at_us, event->at_us);
	}
}

static int
compare_arrivals(const void *a, const void *b)
{
	const struct version_arrival *x = a, *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return strcmp(x->node, y->node);
}

GArray *
timeline_arrivals(const struct timeline *timeline, uint64_t version)
{
	GArray *arrivals =
	    g_array_new(FALSE, FALSE, sizeof(struct version_arrival));
	GHashTable *places = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < timeline->streams->len; i++) {
		const struct timeline_stream *stream =
		    timeline->streams->pdata[i];
		const struct timeline_event *first = stream->events->pdata[0];
		struct version_arrival fresh = { .node = first->node,
			.at_us = INT64_MAX };
		gpointer place = NULL;

		if (!g_hash_table_lookup_extended(
			places, first->node, NULL, &place)) {
			place = GUINT_TO_POINTER(arrivals->len);
			g_hash_table_insert(places, first->node, place);
			g_array_append_val(arrivals, fresh);
		}
		stream_arrival(stream, version,
		    &g_array_index(arrivals, struct version_arrival,
			GPOINTER_TO_UINT(place)));
	}
	g_hash_table_unref(places);
	g_array_sort(arrivals, compare_arrivals);
	return arrivals;
}
