#include <glib.h>

#include "route/return_time.h"

enum {
	/* Callers don't honour a longer time. */
	REMAINING_DIVISOR = 3,
	/* Apart from a caller's own retry, other requests are in between. */
	WITH_ROOM_MIN_MS = 5,
	WITH_ROOM_JITTER_MS = 40,
	OVERLOAD_MIN_MS = 120,
	OVERLOAD_MAX_MS = 1000,
	OVERLOAD_JITTER_MS = 200,
};

/*
 * Return the time after which the caller should return. In an overload it is
 * the time until there is room, and those turned away together are spread over
 * as long again.
 */
int64_t
return_time_ms(const struct return_situation *situation, struct rng *rng)
{
	int64_t max_ms = MAX(situation->remaining_ms / REMAINING_DIVISOR, 1);
	uint32_t wait_ms = CLAMP(situation->expected_wait_ms,
	    (uint32_t)OVERLOAD_MIN_MS, (uint32_t)OVERLOAD_MAX_MS);
	int64_t ms;

	if (situation->rejected_with_room)
		ms = WITH_ROOM_MIN_MS +
		    (int64_t)rng_below(rng, WITH_ROOM_JITTER_MS);
	else
		ms = wait_ms +
		    (int64_t)rng_below(
			rng, MAX(wait_ms, (uint32_t)OVERLOAD_JITTER_MS));
	return MIN(ms, max_ms);
}
