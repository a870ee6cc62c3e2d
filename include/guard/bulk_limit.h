#ifndef TREFOILHILL_GUARD_BULK_LIMIT_H
#define TREFOILHILL_GUARD_BULK_LIMIT_H

#include <stdint.h>

/*
 * How many requests with large responses run at once. Answers downloads that a
 * host's link can't carry as fast as its upstream makes them: more of them
 * would hold slots that short requests need, and make each other late. Times
 * are in milliseconds.
 */
struct bulk_limit {
	int64_t mean_bytes;  /* of a large response */
	int64_t mean_run_ms; /* until its head */
};

struct bulk_bounds {
	uint32_t concurrent;  /* 0: no limit */
	uint32_t transfer_ms; /* link time of one response */
};

/* Record a response; returns the bounds for a link of link_kbps kbit/s. */
struct bulk_bounds bulk_limit_record(struct bulk_limit *limit, uint64_t bytes,
    int64_t run_ms, int64_t link_kbps);

#endif
