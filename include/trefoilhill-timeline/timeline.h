#ifndef TREFOILHILL_TIMELINE_TIMELINE_H
#define TREFOILHILL_TIMELINE_TIMELINE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* One event of one node: from its ring, or a line of its log. */
struct timeline_event {
	char *node;
	char *kind;
	char *subject;
	bool from_log; /* from a log: subject holds all fields of the line */
	uint64_t sequence;
	int64_t at_us; /* wall clock of the node */
	uint64_t version;
	uint64_t request; /* see timeline_request_number */
	int64_t value;
};

/* The events of one process in its own order. */
struct timeline_stream {
	GPtrArray *events; /* struct timeline_event * */
	guint index;       /* place among the streams */
	guint next;        /* event that the merge takes next */
};

/* Events of many processes, merged. */
struct timeline {
	GPtrArray *streams;     /* struct timeline_stream * */
	GPtrArray *merged;      /* struct timeline_event *, borrowed */
	bool skip_invalid;      /* lines that are no events are passed over */
	uint64_t skipped_lines; /* such lines */
	uint64_t log_lines;     /* log lines so far; number them */
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
/*
 * Add JSON lines, events or log lines; name is for messages. What stands
 * before the first brace of a line is passed over.
 */
bool timeline_read(struct timeline *timeline, const char *name,
    const char *text, GError **error);
/* "-" is standard input. */
bool timeline_read_file(
    struct timeline *timeline, const char *path, GError **error);
/* Pass over lines that are no events; skipped counts them. */
void timeline_skip_invalid(struct timeline *timeline);
/* A log line as an event, or NULL. */
struct timeline_event *timeline_event_from_log(json_t *json);
/*
 * The number of a request's id: up to 16 hexadecimal digits are taken as they
 * are, other texts are hashed. What follows a point, as in the ids of calls
 * that an upstream makes for a request, does not count; 0 for an empty id.
 */
uint64_t timeline_request_number(const char *id);
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
char *timeline_event_format(const struct timeline_event *event);
bool timeline_event_has_kind(
    const struct timeline_event *event, const char *kind);

/* When one node had a version in force. */
struct version_arrival {
	const char *node;
	int64_t at_us;   /* INT64_MAX: not seen */
	uint64_t newest; /* the last version seen there */
};

/* Arrivals of a version, in order of time, one for each node. */
GArray *timeline_arrivals(const struct timeline *timeline, uint64_t version);

void timeline_print(const GPtrArray *events, FILE *out);
void timeline_print_arrivals(
    const struct timeline *timeline, uint64_t version, FILE *out);
/* False when no event tells of the request. */
bool timeline_print_request(
    const struct timeline *timeline, uint64_t request, FILE *out);
/* What a picture points out; 0 for none. */
struct timeline_highlights {
	uint64_t version; /* when it came into force at each node */
	uint64_t request; /* its events */
};

/* A self-contained SVG, to be freed with g_free. */
char *timeline_render_svg(const struct timeline *timeline,
    const GPtrArray *events, const struct timeline_highlights *highlights);

#endif
