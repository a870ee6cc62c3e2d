#ifndef TREFOILHILL_LOAD_RESULT_H
#define TREFOILHILL_LOAD_RESULT_H

#include <stddef.h>
#include <stdint.h>

#include "common/histogram.h"
#include "trefoilhill-load/outcome.h"

/* Statistics of all requests, of those due in one second or of one kind. */
struct result_row {
	uint64_t outcomes[OUTCOME_COUNT];
	struct histogram latency_us; /* of requests with OUTCOME_OK */
};

/* Measurements of one thread, or of all threads after merging. */
struct result {
	struct result_row total;
	struct histogram refused_us; /* latency of not run and unknown */
	struct histogram late_us;    /* delay between due and sent */
	struct result_row *seconds;
	size_t second_count;
	struct result_row *kinds;
	size_t kind_count;
};

struct result *result_new(size_t second_count, size_t kind_count);
void result_free(struct result *result);
void result_add(struct result *result, size_t second, size_t kind,
    enum outcome outcome, uint64_t latency_us);
void result_merge(struct result *into, const struct result *from);

#endif
