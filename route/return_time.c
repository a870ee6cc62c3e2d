#include <glib.h>

#include "route/return_time.h"

enum {
	/* Callers don't honour a longer time. */
	REMAINING_DIVISOR = 3,
	WITH_ROOM_MIN_MS = 5,
	WITH_ROOM_JITTER_MS = 40,
	OVERLOAD_MIN_MS = 120,
	OVERLOAD_JITTER_MS = 200, /* spreads callers turned away together */
	/* Reports lag: the room that they show may be used up already. */
	PROMISE_MIN_MS = 50,
	ON_TIME_MIN_MS = 100,
};

/*
 * Return the time for a return in an overload: when there is room, else spread
 * over the later part of the time that remains. While the objective can still
 * be met only the time until then counts: a response after it is worth a
 * fraction, so an attempt that may fail is better than one that is late.
 */
static int64_t
promised_time_ms(const struct return_situation *situation,
    struct return_queue *queue, int64_t max_ms, struct rng *rng)
{
	int64_t ms = -1;

	if (situation->on_time_ms >= ON_TIME_MIN_MS)
		max_ms = MIN(max_ms, situation->on_time_ms);
	if (situation->room.per_s > 0)
		ms = return_queue_promise(queue, situation->service,
		    situation->priority, &situation->room, PROMISE_MIN_MS,
		    max_ms, situation->now_ms);
	if (ms >= 0)
		return ms + (int64_t)rng_below(rng, RETURN_STEP_MS);
	return max_ms - (int64_t)rng_below(rng, (uint64_t)(max_ms / 2 + 1));
}

/*
 * Return the time after which the caller should return.
 */
int64_t
return_time_ms(const struct return_situation *situation,
    struct return_queue *queue, struct rng *rng)
{
	int64_t max_ms = MAX(situation->remaining_ms / REMAINING_DIVISOR, 1);
	int64_t ms;

	if (situation->rejected_with_room)
		ms = WITH_ROOM_MIN_MS +
		    (int64_t)rng_below(rng, WITH_ROOM_JITTER_MS);
	else if (queue != NULL && situation->service != NULL &&
	    situation->room.known)
		ms = promised_time_ms(situation, queue, max_ms, rng);
	else
		ms = OVERLOAD_MIN_MS +
		    (int64_t)rng_below(rng, OVERLOAD_JITTER_MS);
	return MIN(ms, max_ms);
}
