#include <string.h>

#include "trefoilhill-timeline/timeline.h"

enum {
	SOURCE_PLATFORM = 2, /* value of version_accepted and version_refused */
};

bool
timeline_event_has_kind(const struct timeline_event *event, const char *kind)
{
	return strcmp(event->kind, kind) == 0;
}

static bool
has_version_result(const struct timeline_event *event)
{
	return timeline_event_has_kind(event, "version_accepted") ||
	    timeline_event_has_kind(event, "version_refused");
}

static bool
is_platform_read(const struct timeline_event *event)
{
	return has_version_result(event) && event->value == SOURCE_PLATFORM;
}

/* Returns the versions that an event reports as read from the platform. */
static GHashTable *
platform_versions(const struct timeline *timeline)
{
	GHashTable *versions = g_hash_table_new(g_int64_hash, g_int64_equal);

	for (guint i = 0; i < timeline->streams->len; i++) {
		const struct timeline_stream *stream =
		    timeline->streams->pdata[i];

		for (guint j = 0; j < stream->events->len; j++) {
			struct timeline_event *event = stream->events->pdata[j];

			if (is_platform_read(event))
				g_hash_table_add(versions, &event->version);
		}
	}
	return versions;
}

/*
 * Returns true if a node received a version from a peer, but the platform read
 * of that version, which must have happened earlier, is not merged yet.
 */
static bool
is_before_platform_read(
    const struct timeline_event *event, GHashTable *unread_versions)
{
	return has_version_result(event) && !is_platform_read(event) &&
	    g_hash_table_contains(unread_versions, &event->version);
}

static struct timeline_event *
stream_next_event(const struct timeline_stream *stream)
{
	return stream->events->pdata[stream->next];
}

/* Orders streams by the wall clock of their next event, then by index. */
static gint
compare_next_events(gconstpointer a, gconstpointer b, gpointer user_data)
{
	const struct timeline_stream *x = a, *y = b;
	int64_t x_us = stream_next_event(x)->at_us,
		y_us = stream_next_event(y)->at_us;

	if (x_us != y_us)
		return x_us < y_us ? -1 : 1;
	return x->index < y->index ? -1 : x->index > y->index;
}

/*
 * Streams ordered by their next event. Streams whose next event must come after
 * a platform read of another stream are kept in waiting.
 */
struct merge {
	GSequence *ready;
	GSequence *waiting;
	GHashTable *unread_versions;
};

static void
merge_enqueue(struct merge *merge, struct timeline_stream *stream)
{
	if (stream->next == stream->events->len)
		return;
	g_sequence_insert_sorted(
	    is_before_platform_read(
		stream_next_event(stream), merge->unread_versions)
		? merge->waiting
		: merge->ready,
	    stream, compare_next_events, NULL);
}

/* Moves streams that waited for this platform read back to the ready queue. */
static void
merge_release_waiting(struct merge *merge, const struct timeline_event *event)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(merge->waiting);

	if (!g_hash_table_remove(merge->unread_versions, &event->version))
		return;
	while (!g_sequence_iter_is_end(iter)) {
		GSequenceIter *after = g_sequence_iter_next(iter);
		struct timeline_stream *stream = g_sequence_get(iter);

		if (stream_next_event(stream)->version == event->version) {
			g_sequence_remove(iter);
			merge_enqueue(merge, stream);
		}
		iter = after;
	}
}

/*
 * Returns the stream with the next event. A waiting stream is chosen only if no
 * stream is ready, which happens if events were lost.
 */
static struct timeline_stream *
merge_dequeue(struct merge *merge)
{
	GSequence *from = g_sequence_get_length(merge->ready) > 0
	    ? merge->ready
	    : merge->waiting;
	GSequenceIter *iter = g_sequence_get_begin_iter(from);
	struct timeline_stream *stream;

	if (g_sequence_iter_is_end(iter))
		return NULL;
	stream = g_sequence_get(iter);
	g_sequence_remove(iter);
	return stream;
}

/*
 * Merges all streams in causal order. Each stream keeps its own order even if
 * its clock jumps. A version received from a peer follows the first read of
 * that version from the platform. All other events are ordered by wall clock.
 */
void
timeline_merge(struct timeline *timeline)
{
	struct merge merge = { .ready = g_sequence_new(NULL),
		.waiting = g_sequence_new(NULL),
		.unread_versions = platform_versions(timeline) };
	struct timeline_stream *stream;

	g_ptr_array_set_size(timeline->merged, 0);
	for (guint i = 0; i < timeline->streams->len; i++) {
		stream = timeline->streams->pdata[i];
		stream->next = 0;
		merge_enqueue(&merge, stream);
	}
	while ((stream = merge_dequeue(&merge)) != NULL) {
		struct timeline_event *event = stream_next_event(stream);

		stream->next++;
		if (is_platform_read(event))
			merge_release_waiting(&merge, event);
		g_ptr_array_add(timeline->merged, event);
		merge_enqueue(&merge, stream);
	}
	g_sequence_free(merge.ready);
	g_sequence_free(merge.waiting);
	g_hash_table_unref(merge.unread_versions);
}

bool
timeline_filter_passes(
    const struct timeline_filter *filter, const struct timeline_event *event)
{
	return (filter->node == NULL ||
		   strcmp(filter->node, event->node) == 0) &&
	    (filter->kind == NULL || strcmp(filter->kind, event->kind) == 0) &&
	    (filter->version == 0 || filter->version == event->version) &&
	    (filter->request == 0 || filter->request == event->request) &&
	    event->at_us >= filter->since_us &&
	    event->at_us <= filter->until_us;
}

GPtrArray *
timeline_select(
    const struct timeline *timeline, const struct timeline_filter *filter)
{
	GPtrArray *selected = g_ptr_array_new();

	for (guint i = 0; i < timeline->merged->len; i++)
		if (timeline_filter_passes(filter, timeline->merged->pdata[i]))
			g_ptr_array_add(selected, timeline->merged->pdata[i]);
	return selected;
}
