#include <string.h>

#include "trefoilhill-timeline/timeline.h"

static bool
has_node_version(const struct timeline_event *event)
{
	return timeline_event_has_kind(event, "version_accepted") ||
	    timeline_event_has_kind(event, "version_refused") ||
	    timeline_event_has_kind(event, "state_adopted") ||
	    timeline_event_has_kind(event, "node_ready");
}

static bool
has_start_event(const struct timeline_stream *stream)
{
	for (guint i = 0; i < stream->events->len; i++)
		if (timeline_event_has_kind(
			stream->events->pdata[i], "node_started"))
			return true;
	return false;
}

/*
 * Updates an arrival from the events of one process. A process that is joining
 * has no version in force until it is ready.
 */
static void
version_arrival_update(const struct timeline_stream *stream, uint64_t version,
    struct version_arrival *arrival)
{
	bool ready = !has_start_event(stream);

	for (guint i = 0; i < stream->events->len; i++) {
		const struct timeline_event *event = stream->events->pdata[i];

		ready = ready || timeline_event_has_kind(event, "node_ready");
		if (!has_node_version(event))
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
	GHashTable *index_by_node = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < timeline->streams->len; i++) {
		const struct timeline_stream *stream =
		    timeline->streams->pdata[i];
		const struct timeline_event *first = stream->events->pdata[0];
		struct version_arrival new_arrival = { .node = first->node,
			.at_us = INT64_MAX };
		gpointer index = NULL;

		if (!g_hash_table_lookup_extended(
			index_by_node, first->node, NULL, &index)) {
			index = GUINT_TO_POINTER(arrivals->len);
			g_hash_table_insert(index_by_node, first->node, index);
			g_array_append_val(arrivals, new_arrival);
		}
		version_arrival_update(stream, version,
		    &g_array_index(arrivals, struct version_arrival,
			GPOINTER_TO_UINT(index)));
	}
	g_hash_table_unref(index_by_node);
	g_array_sort(arrivals, compare_arrivals);
	return arrivals;
}
