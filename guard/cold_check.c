#include "guard/cold_check.h"

enum {
	/* Older than a copy gets when all is well. */
	COPY_AGE_MAX_MS = 2500,
	/* A cold upstream falls over within a second. */
	INTERVAL_MS = 400,
};

/*
 * Tell whether the upstream is to be asked now, and note that it is.
 */
bool
cold_check_take(struct cold_check *check, int64_t copy_age_ms, int64_t now_ms)
{
	if (copy_age_ms <= COPY_AGE_MAX_MS ||
	    (check->asked_ms != 0 && now_ms - check->asked_ms < INTERVAL_MS))
		return false;
	check->asked_ms = now_ms;
	return true;
}
