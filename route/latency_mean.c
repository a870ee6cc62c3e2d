#include <glib.h>

#include "route/latency_mean.h"

enum {
	/* Weight of a response that follows closely on the last: 1/32. */
	WEIGHT_DIVISOR = 32,
	/*
	 * After this time without responses the next one counts half. Few
	 * responses are exceptionally fast but 3 in 100 are slow without
	 * meaning anything, so that a rise takes longer and counts less.
	 */
	FALL_HALF_MS = 1000,
	RISE_HALF_MS = 2000,
	RISE_FACTOR_MAX = 3,
};

/*
 * Add the latency of one response. The first one is the mean.
 */
void
latency_mean_add(struct latency_mean *mean, uint32_t latency_us, int64_t now_ms)
{
	int64_t elapsed_ms = MAX(now_ms - mean->updated_ms, 0);
	int64_t known_us = mean->us;
	int64_t change_us =
	    MIN((int64_t)latency_us, known_us * RISE_FACTOR_MAX) - known_us;
	int64_t half_ms = change_us < 0 ? FALL_HALF_MS : RISE_HALF_MS;
	int64_t by_time_us = change_us * elapsed_ms / (elapsed_ms + half_ms);
	int64_t by_count_us = change_us / WEIGHT_DIVISOR;

	mean->updated_ms = now_ms;
	if (known_us == 0)
		known_us = latency_us;
	else if (ABS(by_time_us) > ABS(by_count_us))
		known_us += by_time_us;
	else
		known_us += by_count_us;
	mean->us = (uint32_t)MAX(known_us, 1);
}
