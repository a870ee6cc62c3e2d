#ifndef TREFOILHILL_STANDIN_UPSTREAM_SECOND_LOG_H
#define TREFOILHILL_STANDIN_UPSTREAM_SECOND_LOG_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	SECOND_LOG_CAPACITY = 600,
};

struct second_row {
	int64_t second; /* wall clock */
	uint32_t begun;
	uint32_t overloads;
	uint32_t busy_max;
	uint32_t limit_min; /* least that it bore in this second */
};

/* The last seconds of work; the caller locks. */
struct second_log {
	struct second_row rows[SECOND_LOG_CAPACITY];
};

void second_log_note(struct second_log *log, int64_t second, bool begun,
    bool overload, uint32_t busy, uint32_t limit);
json_t *second_log_to_json(const struct second_log *log, int64_t now);

#endif
