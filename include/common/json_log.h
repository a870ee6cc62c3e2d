#ifndef TREFOILHILL_COMMON_JSON_LOG_H
#define TREFOILHILL_COMMON_JSON_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/str.h"

/*
 * Structured log: one JSON object per line, written to a file descriptor. Lines
 * pass through a bounded buffer to a writer thread, so that a stalled reader
 * never blocks the caller; lines that don't fit are counted and left out, and
 * so are lines over PIPE_BUF bytes, which could not be written whole. Not
 * thread-safe: only one thread may add lines.
 */
struct json_log;

/* Classes of lines, from the last to the first to be left out under load. */
enum log_class {
	LOG_CLASS_STATE, /* start, stop, changes of state; never rate limited */
	LOG_CLASS_FAILURE,  /* a request that was refused or failed */
	LOG_CLASS_DECISION, /* a step of a request */
	LOG_CLASS_SUCCESS,  /* a request that succeeded */
	LOG_CLASS_COUNT,
};

struct json_log_settings {
	int fd;
	struct str node;
	uint64_t incarnation;
	uint32_t lines_per_s;  /* all classes; LOG_CLASS_STATE is not limited */
	uint32_t buffer_bytes; /* limit on bytes not yet written */
};

struct json_log *json_log_new(
    const struct json_log_settings *settings, struct clock *clock);
/*
 * Flushes for up to flush_ms and stops the writer thread. Returns how many
 * lines were left out or lost since the log was created. NULL is allowed.
 */
uint64_t json_log_free(struct json_log *log, uint32_t flush_ms);

/*
 * Begin a line; NULL when it is left out. Add members, then call json_log_end;
 * all of these accept NULL.
 */
struct json_line;
struct json_line *json_log_begin(
    struct json_log *log, enum log_class class, const char *event);
void json_line_text(struct json_line *line, const char *name, struct str value);
void json_line_cstr(
    struct json_line *line, const char *name, const char *value);
void json_line_int(struct json_line *line, const char *name, int64_t value);
void json_line_bool(struct json_line *line, const char *name, bool value);
void json_log_end(struct json_line *line);

uint64_t json_log_left_out_count(const struct json_log *log);

#endif
