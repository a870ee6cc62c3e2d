#include <stdlib.h>
#include <string.h>

#include "trefoilhill-timeline/timeline.h"

enum {
	TAKEN_FROM_PLATFORM = 2, /* value of version_accepted */
};

bool
timeline_event_is(const struct timeline_event *event, const char *kind)
{
	return strcmp(event->kind, kind) == 0;
}

static bool
takes_version(const struct timeline_event *event)
{
	return timeline_event_is(event, "version_accepted") ||
	    timeline_event_is(event, "version_refused");
}

static bool
is_from_platform(const struct timeline_event *event)
{
	return takes_version(event) && event->value == TAKEN_FROM_PLATFORM;
}

/* The versions that some event shown takes from the platform. */
static GHashTable *
platform_versions(const struct timeline *timeline)
{
	GHashTable *versions = g_hash_table_new(g_int64_hash, g_int64_equal);

	for (guint i = 0; i < timeline->streams->len; i++) {
		const struct timeline_stream *stream =
		    timeline->streams->pdata[i];

		for (guint j = 0; j < stream->events->len; j++) {
			struct timeline_event *event = stream->events->pdata[j];

			if (is_from_platform(event))
				g_hash_table_add(versions, &event->version);
		}
	}
	return versions;
}

/* A version got from a peer was read from the platform before. */
static bool
is_early(const struct timeline_event *event, GHashTable *unread)
{
	return takes_version(event) && !is_from_platform(event) &&
	    g_hash_table_contains(unread, &event->version);
}

/* The stream whose next event comes first; one that is early only when all
 * are, which happens when events were lost. */
static struct timeline_stream *
next_stream(const struct timeline *timeline, const guint *heads,
    GHashTable *unread, guint *chosen)
{
	struct timeline_stream *best = NULL;
	int64_t best_at = INT64_MAX;
	bool best_early = true;

	for (guint i = 0; i < timeline->streams->len; i++) {
		struct timeline_stream *stream = timeline->streams->pdata[i];
		const struct timeline_event *event;
		bool early;

		if (heads[i] == stream->events->len)
			continue;
		event = stream->events->pdata[heads[i]];
		early = is_early(event, unread);
		if (best != NULL &&
		    (early > best_early ||
			(early == best_early && event->at_us >= best_at)))
			continue;
		best = stream;
		best_at = event->at_us;
		best_early = early;
		*chosen = i;
	}
	return best;
}

/*
 * Merge all streams: each keeps its own order whatever its clock says; a
 * version got from a peer comes after its first read from the platform; what
 * this leaves open is ordered by wall clock.
 */
void
timeline_merge(struct timeline *timeline)
{
	GHashTable *unread = platform_versions(timeline);
	guint *heads = g_new0(guint, timeline->streams->len);
	struct timeline_stream *stream;
	guint chosen = 0;

	g_ptr_array_set_size(timeline->merged, 0);
	while (
	    (stream = next_stream(timeline, heads, unread, &chosen)) != NULL) {
		struct timeline_event *event =
		    stream->events->pdata[heads[chosen]++];

		if (is_from_platform(event))
			g_hash_table_remove(unread, &event->version);
		g_ptr_array_add(timeline->merged, event);
	}
	g_free(heads);
	g_hash_table_unref(unread);
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
	GPtrArray *chosen = g_ptr_array_new();

	for (guint i = 0; i < timeline->merged->len; i++)
		if (timeline_filter_passes(filter, timeline->merged->pdata[i]))
			g_ptr_array_add(chosen, timeline->merged->pdata[i]);
	return chosen;
}
