#ifndef TREFOILHILL_QUARANTINE_RECENT_RUNS_H
#define TREFOILHILL_QUARANTINE_RECENT_RUNS_H

#include <stdbool.h>
#include <stdint.h>

#include "quarantine/request_key.h"

enum {
	RECENT_RUNS_SLOTS = 2048, /* power of two */
};

/*
 * Which requests have lately run to a good end at one upstream. Answers a load
 * in which many callers ask for the same thing: it is in progress whenever the
 * upstream crashes, whatever the cause. A later request may take the slot of an
 * earlier one. Zeroed before use; times are milliseconds of a monotonic clock.
 */
struct recent_runs {
	struct {
		struct request_key key;
		int64_t at_ms;
	} slots[RECENT_RUNS_SLOTS];
};

void recent_runs_add(
    struct recent_runs *runs, struct request_key key, int64_t now_ms);
bool recent_runs_contain(
    const struct recent_runs *runs, struct request_key key, int64_t now_ms);

#endif
