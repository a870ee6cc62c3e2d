#ifndef TREFOILHILL_STANDIN_UPSTREAM_STATUS_HISTORY_H
#define TREFOILHILL_STANDIN_UPSTREAM_STATUS_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

enum {
	STATUS_HISTORY_CAPACITY = 512,
	STATUS_SAMPLE_MS = 50,
};

/* The state that /health and /load report, as of one time. */
struct status_report {
	struct timespec at;
	bool cold;
	bool draining;
	bool failed;
	uint32_t busy;
	uint32_t queued;
	uint32_t limit;
};

/* Past states, for reporting with a lag; the caller locks. */
struct status_history {
	struct status_report ring[STATUS_HISTORY_CAPACITY];
	size_t count;
};

void status_history_add(
    struct status_history *history, const struct status_report *report);
struct status_report status_history_at(
    const struct status_history *history, struct timespec then);

#endif
