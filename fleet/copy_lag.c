#include "fleet/copy_lag.h"

enum {
	/* What peers have usually reaches all nodes in half of this. */
	REPORTED_MIN_MS = 1000,
};

/*
 * Record a peer's position, and the copy's own. Returns true if the copy has
 * been behind for long, once until it has caught up.
 */
bool
copy_lag_heard(struct copy_lag *lag, struct store_position heard,
    struct store_position own, int64_t now_ms)
{
	if (store_position_compare(heard, own) <= 0)
		return false;
	if (lag->since_ms == 0)
		lag->since_ms = now_ms;
	if (store_position_compare(heard, lag->heard) > 0) {
		lag->heard = heard;
		lag->heard_ms = now_ms;
	}
	if (lag->reported || now_ms - lag->since_ms < REPORTED_MIN_MS)
		return false;
	lag->reported = true;
	return true;
}

/*
 * Record the copy's own position. Returns for how long it was behind, if it has
 * caught up and that was reported.
 */
int64_t
copy_lag_reached(
    struct copy_lag *lag, struct store_position own, int64_t now_ms)
{
	int64_t behind_ms = copy_lag_ms(lag, now_ms);
	bool reported = lag->reported;

	if (store_position_compare(own, lag->heard) < 0)
		return -1;
	lag->since_ms = 0;
	lag->reported = false;
	return reported ? behind_ms : -1;
}

/*
 * Record the store's own word. Returns true if it doesn't know what a peer told
 * of before the read began.
 */
bool
copy_lag_disproved(
    struct copy_lag *lag, struct store_position stored, int64_t began_ms)
{
	if (lag->since_ms == 0 || lag->heard_ms >= began_ms ||
	    store_position_compare(lag->heard, stored) <= 0)
		return false;
	*lag = (struct copy_lag){ .heard = stored };
	return true;
}

/*
 * Return for how long the copy has been behind.
 */
int64_t
copy_lag_ms(const struct copy_lag *lag, int64_t now_ms)
{
	return lag->since_ms == 0 ? 0 : now_ms - lag->since_ms;
}
