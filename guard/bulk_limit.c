#include <glib.h>

#include "guard/bulk_limit.h"

enum {
	MEAN_WEIGHT = 16, /* a new value's weight is 1 / this */
	/* Of the number of requests that just saturates the link. */
	LIMIT_PERCENT = 130,
	CONCURRENT_MIN = 2,
	PERCENT = 100,
	BITS_PER_BYTE = 8,
};

/*
 * Record a large response, and return how many may run at once to keep the link
 * busy.
 */
struct bulk_bounds
bulk_limit_record(
    struct bulk_limit *limit, uint64_t bytes, int64_t run_ms, int64_t link_kbps)
{
	int64_t transfer_ms, concurrent;

	limit->mean_bytes += ((int64_t)bytes - limit->mean_bytes) / MEAN_WEIGHT;
	limit->mean_run_ms += (run_ms - limit->mean_run_ms) / MEAN_WEIGHT;
	transfer_ms = limit->mean_bytes * BITS_PER_BYTE / link_kbps;
	if (transfer_ms == 0)
		return (struct bulk_bounds){ 0 };
	concurrent = (limit->mean_run_ms + transfer_ms) * LIMIT_PERCENT /
	    PERCENT / transfer_ms;
	return (struct bulk_bounds){
		.concurrent = (uint32_t)MAX(concurrent, CONCURRENT_MIN),
		.transfer_ms = (uint32_t)transfer_ms,
	};
}
