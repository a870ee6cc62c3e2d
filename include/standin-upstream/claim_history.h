#ifndef TREFOILHILL_STANDIN_UPSTREAM_CLAIM_HISTORY_H
#define TREFOILHILL_STANDIN_UPSTREAM_CLAIM_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

enum {
	CLAIM_HISTORY_CAPACITY = 512,
	CLAIM_SAMPLE_MS = 50,
};

/* What the health and load pages say of one moment. */
struct claim {
	struct timespec at;
	bool cold;
	bool draining;
	bool fallen;
	uint32_t busy;
	uint32_t queued;
	uint32_t limit;
};

/* Past states, so that the pages can lag; the caller locks. */
struct claim_history {
	struct claim ring[CLAIM_HISTORY_CAPACITY];
	size_t count;
};

void claim_history_add(
    struct claim_history *history, const struct claim *claim);
struct claim claim_history_at(
    const struct claim_history *history, struct timespec then);

#endif
