#include <glib.h>

#include "account/trim_policy.h"

enum {
	FREED_MIN_BYTES = 4 * 1024 * 1024,
	/* A trim visits the whole heap. */
	INTERVAL_MS = 2000,
};

/*
 * Tell whether it is time to trim: much has been freed since the last time.
 */
bool
trim_policy_check(struct trim_policy *policy, uint64_t used, uint64_t used_peak,
    int64_t now_ms)
{
	policy->peak = MAX(policy->peak, used_peak);
	if (policy->peak - used < FREED_MIN_BYTES ||
	    now_ms - policy->trimmed_ms < INTERVAL_MS)
		return false;
	policy->peak = used;
	policy->trimmed_ms = now_ms;
	return true;
}
