#ifndef TREFOILHILL_TIMELINE_TIMELINE_H
#define TREFOILHILL_TIMELINE_TIMELINE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* An event of a node, from its event ring buffer or from its log. */
struct timeline_event {
	char *node;
	char *kind;
	char *subject;
	bool from_log; /* subject holds the event-specific fields of the line */
	uint64_t sequence;
	int64_t at_us; /* wall clock of the node, since the Unix epoch */
	uint64_t version;
	uint64_t request; /* from timeline_request_number; 0 if none */
	int64_t value;
};

/* The events of one process, in the order in which it recorded them. */
struct timeline_stream {
	GPtrArray *events; /* struct timeline_event * */
	guint index;       /* position in timeline.streams */
	guint next;        /* index of the next event to merge */
};

/* The event streams of several processes and their merged order. */
struct timeline {
	GPtrArray *streams;     /* struct timeline_stream * */
	GPtrArray *merged;      /* struct timeline_event *, borrowed */
	bool skip_invalid;      /* skip lines that are not events */
	uint64_t skipped_lines; /* number of lines skipped */
	uint64_t log_lines;     /* log lines read, used as sequence numbers */
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
 * Adds events from JSON lines: event objects or log lines. Text before the
 * first brace of a line is ignored. name identifies the input in errors.
 */
bool timeline_read(struct timeline *timeline, const char *name,
    const char *text, GError **error);
/* Like timeline_read, from a file; "-" is standard input. */
bool timeline_read_file(
    struct timeline *timeline, const char *path, GError **error);
/* Skips lines that are not events, counting them in skipped_lines. */
void timeline_skip_invalid(struct timeline *timeline);
/* Converts a log line to an event. Returns NULL if it is not an event. */
struct timeline_event *timeline_event_from_log(json_t *json);
/*
 * Converts a request id to a number: up to 16 hexadecimal digits are parsed,
 * other ids are hashed. Anything after a dot is ignored, so that calls an
 * upstream makes on behalf of a request map to that request. Returns 0 for an
 * empty id.
 */
uint64_t timeline_request_number(const char *id);
void timeline_merge(struct timeline *timeline);

/* Selects events. NULL, 0 and the full time range match everything. */
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
/*
 * Returns the merged events that match the filter. The caller frees the array;
 * the events are borrowed from the timeline.
 */
GPtrArray *timeline_select(
    const struct timeline *timeline, const struct timeline_filter *filter);
/* Formats an event for display. Free the result with g_free. */
char *timeline_event_format(const struct timeline_event *event);
bool timeline_event_has_kind(
    const struct timeline_event *event, const char *kind);

/* When a configuration version took effect at a node. */
struct version_arrival {
	const char *node;
	int64_t at_us;   /* INT64_MAX if the version never took effect */
	uint64_t newest; /* highest version seen at the node */
};

/* Returns struct version_arrival, one for each node, ordered by time. */
GArray *timeline_arrivals(const struct timeline *timeline, uint64_t version);

void timeline_print(const GPtrArray *events, FILE *out);
void timeline_print_arrivals(
    const struct timeline *timeline, uint64_t version, FILE *out);
/* Returns false if the request has no events. */
bool timeline_print_request(
    const struct timeline *timeline, uint64_t request, FILE *out);
/* What an SVG highlights; 0 for none. */
struct timeline_highlights {
	uint64_t version; /* time at which it took effect at each node */
	uint64_t request; /* events of this request */
};

/* Returns a self-contained SVG document, to be freed with g_free. */
char *timeline_render_svg(const struct timeline *timeline,
    const GPtrArray *events, const struct timeline_highlights *highlights);

#endif
