#ifndef TREFOILHILL_ROUTE_RETURN_TIME_H
#define TREFOILHILL_ROUTE_RETURN_TIME_H

#include <stdbool.h>
#include <stdint.h>

#include "common/rng.h"
#include "route/return_queue.h"

/*
 * When a caller whose request was rejected should return. Answers three load
 * patterns: upstreams that reject part of their requests though they have room,
 * where the next attempt is as good now as later; an overload, where callers
 * that return before there is capacity for them lose one of their few attempts;
 * and an outage, after which they would all return together. Times are in
 * milliseconds.
 */
struct return_situation {
	bool rejected_with_room; /* by an upstream without a queue */
	int64_t remaining_ms;    /* until the caller's deadline */
	/*
	 * Latest return for a response within the objective, queue and run
	 * included; or below 0.
	 */
	int64_t on_time_ms;
	const char *service; /* NULL: not known */
	uint32_t priority;
	struct return_room room; /* of the service */
	int64_t now_ms;
};

/*
 * Time from now, at least 1 and at most a third of the remaining time. Promises
 * the return in the queue, which may be NULL.
 */
int64_t return_time_ms(const struct return_situation *situation,
    struct return_queue *queue, struct rng *rng);

#endif
