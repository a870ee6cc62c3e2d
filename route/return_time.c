#include <glib.h>

#include "route/return_time.h"

enum {
	/* Callers don't honour a longer time. */
	REMAINING_DIVISOR = 3,
	WITH_ROOM_MIN_MS = 5,
	WITH_ROOM_JITTER_MS = 40,
	OVERLOAD_MIN_MS = 120,
	OVERLOAD_JITTER_MS = 200, /* spreads callers turned away together */
};

/*
 * Return the time after which the caller should return.
 */
int64_t
return_time_ms(const struct return_situation *situation, struct rng *rng)
{
	int64_t max_ms = MAX(situation->remaining_ms / REMAINING_DIVISOR, 1);
	int64_t ms;

	if (situation->rejected_with_room)
		ms = WITH_ROOM_MIN_MS +
		    (int64_t)rng_below(rng, WITH_ROOM_JITTER_MS);
	else
		ms = OVERLOAD_MIN_MS +
		    (int64_t)rng_below(rng, OVERLOAD_JITTER_MS);
	return MIN(ms, max_ms);
}
