#include <glib.h>

#include "route/hedge_policy.h"

enum {
	/*
	 * Without a tail estimate, or when a response in time is out of reach:
	 * this share of the objective, percent, or this multiple of the usual
	 * run time, so that only an upstream that hangs causes a hedge.
	 */
	OBJECTIVE_PERCENT = 60,
	RUN_FACTOR = 3,
	PERCENT = 100,
	/*
	 * Less than this above the usual run time is no tail, and a second run
	 * would hardly end earlier than the first.
	 */
	TAIL_MIN_PERCENT = 150,
	TAIL_MIN_MS = 10,
};

/*
 * Return the time until a second send. One after the usual longest run time is
 * only worth its load if its response can be in time.
 */
int64_t
hedge_delay_ms(const struct hedge_situation *situation)
{
	int64_t hang_ms =
	    MAX(situation->objective_ms * OBJECTIVE_PERCENT / PERCENT,
		situation->run_ms * RUN_FACTOR);
	int64_t tail_ms = MAX(situation->tail_ms,
	    MAX(situation->run_ms * TAIL_MIN_PERCENT / PERCENT,
		situation->run_ms + TAIL_MIN_MS));
	int64_t on_time_ms =
	    situation->objective_ms - situation->spent_ms - situation->run_ms;

	if (situation->tail_ms > 0 && tail_ms <= on_time_ms)
		hang_ms = MIN(hang_ms, tail_ms);
	return hang_ms >= situation->remaining_ms ? -1 : hang_ms;
}
