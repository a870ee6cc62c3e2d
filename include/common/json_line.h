#ifndef TREFOILHILL_COMMON_JSON_LINE_H
#define TREFOILHILL_COMMON_JSON_LINE_H

#include <limits.h>
#include <stdbool.h>
#include <stddef.h>

#include "common/json_log.h"

/*
 * A line of a json_log that is being formatted; internal to it. The buffer
 * holds what a pipe takes as a whole.
 */
struct json_line {
	struct json_log *log;
	bool is_too_long;
	size_t len;
	char text[PIPE_BUF];
};

void json_line_clear(struct json_line *line);
void json_line_append(struct json_line *line, const char *bytes, size_t len);

#endif
