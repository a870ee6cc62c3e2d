#ifndef TREFOILHILL_ROUTE_RETURN_TIME_H
#define TREFOILHILL_ROUTE_RETURN_TIME_H

#include <stdbool.h>
#include <stdint.h>

#include "common/rng.h"

/*
 * When a caller whose request was rejected should return. Answers two load
 * patterns: upstreams that reject part of their requests though they have room,
 * where the next attempt is as good now as later; and an overload, where
 * callers that return together are rejected again, and those that return late
 * have missed their objective. Times are in milliseconds.
 */
struct return_situation {
	bool rejected_with_room; /* by an upstream without a queue */
	int64_t remaining_ms;    /* until the caller's deadline */
};

/* Time from now, at least 1 and at most a third of the remaining time. */
int64_t return_time_ms(
    const struct return_situation *situation, struct rng *rng);

#endif
