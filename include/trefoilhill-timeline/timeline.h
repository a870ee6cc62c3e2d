#ifndef TREFOILHILL_TIMELINE_TIMELINE_H
#define TREFOILHILL_TIMELINE_TIMELINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* One event of one node, as docs/PROTOCOL.md has it. */
struct timeline_event {
	char *node;
	char *kind;
	char *subject;
	uint64_t sequence;
	int64_t at_us; /* wall clock of the node */
	uint64_t version;
	uint64_t request;
	int64_t value;
};

/* The events of one process in its own order. */
struct timeline_stream {
	GPtrArray *events; /* struct timeline_event * */
	guint number;      /* place among the streams */
	guint next;        /* event that the merge takes next */
};

/* Events of many processes, merged. */
struct timeline {
	GPtrArray *streams; /* struct timeline_stream * */
	GPtrArray *merged;  /* struct timeline_event *, borrowed */
};

#define TIMELINE_ERROR (timeline_error_quark())

enum timeline_error {
	TIMELINE_ERROR_FILE,
	TIMELINE_ERROR_SYNTAX,
	TIMELINE_ERROR_TOO_LARGE,
};

GQuark timeline_error_quark(void);
void timeline_init(struct timeline *timeline);
void timeline_clear(struct timeline *timeline);
/* Add JSON lines; name is for messages. */
bool timeline_read(struct timeline *timeline, const char *name,
    const char *text, GError **error);
bool timeline_read_file(
    struct timeline *timeline, const char *path, GError **error);
void timeline_merge(struct timeline *timeline);

/* Which events to show; NULL, 0 and the whole range show all. */
struct timeline_filter {
	const char *node;
	const char *kind;
	uint64_t version;
	uint64_t request;
	int64_t since_us;
	int64_t until_us;
};

bool timeline_filter_passes(
    const struct timeline_filter *filter, const struct timeline_event *event);
/* The merged events that pass; borrowed, free the array. */
GPtrArray *timeline_select(
    const struct timeline *timeline, const struct timeline_filter *filter);
/* How an event reads to a person, to be freed with g_free. */
char *timeline_event_text(const struct timeline_event *event);
bool timeline_event_is(const struct timeline_event *event, const char *kind);

/* When one node had a version in force. */
struct version_arrival {
	const char *node;
	int64_t at_us;   /* INT64_MAX: not seen */
	uint64_t newest; /* the last version seen there */
};

/* Arrivals of a version, in order of time, one for each node. */
GArray *timeline_arrivals(const struct timeline *timeline, uint64_t version);

void timeline_print(const GPtrArray *events, FILE *out);
void timeline_print_late(
    const struct timeline *timeline, uint64_t version, FILE *out);
/* False when no event tells of the request. */
bool timeline_print_why(
    const struct timeline *timeline, uint64_t request, FILE *out);
/* What a picture points out; 0 for none. */
struct timeline_marks {
	uint64_t version; /* when it came into force at each node */
	uint64_t request; /* its events */
};

/* A self-contained SVG, to be freed with g_free. */
char *timeline_draw(const struct timeline *timeline, const GPtrArray *events,
    const struct timeline_marks *marks);

#endif
