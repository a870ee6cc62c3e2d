#include "quarantine/recent_runs.h"

enum {
	/* A request may begin to crash upstreams, as data change. */
	RECENT_MS = 30 * 1000,
};

/*
 * Add a request that has run to a good end.
 */
void
recent_runs_add(
    struct recent_runs *runs, struct request_key key, int64_t now_ms)
{
	size_t slot = key.low % RECENT_RUNS_SLOTS;

	runs->slots[slot].key = key;
	runs->slots[slot].at_ms = now_ms;
}

/*
 * Tell whether a request has lately run to a good end.
 */
bool
recent_runs_contain(
    const struct recent_runs *runs, struct request_key key, int64_t now_ms)
{
	size_t slot = key.low % RECENT_RUNS_SLOTS;

	return runs->slots[slot].at_ms != 0 &&
	    request_key_equal(runs->slots[slot].key, key) &&
	    now_ms - runs->slots[slot].at_ms <= RECENT_MS;
}
