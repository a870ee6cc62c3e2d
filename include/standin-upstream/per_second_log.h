#ifndef TREFOILHILL_STANDIN_UPSTREAM_PER_SECOND_LOG_H
#define TREFOILHILL_STANDIN_UPSTREAM_PER_SECOND_LOG_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	PER_SECOND_LOG_CAPACITY = 600,
};

struct per_second_row {
	int64_t second; /* wall clock */
	uint32_t begun;
	uint32_t overloads;
	uint32_t busy_max;
	uint32_t limit_min; /* lowest concurrency limit in this second */
};

/* Admission statistics of the last seconds; the caller locks. */
struct per_second_log {
	struct per_second_row rows[PER_SECOND_LOG_CAPACITY];
};

void per_second_log_add(struct per_second_log *log, int64_t second, bool begun,
    bool overload, uint32_t busy, uint32_t limit);
json_t *per_second_log_to_json(const struct per_second_log *log, int64_t now);

#endif
