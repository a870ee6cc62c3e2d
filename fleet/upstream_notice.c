#include "fleet/upstream_notice.h"

/*
 * Update what is known of an upstream. An upstream that has announced that it
 * leaves doesn't stay, also if a later response lacks the announcement.
 */
bool
upstream_notice_update(
    struct upstream_notice *known, const struct upstream_notice *latest)
{
	struct upstream_notice before = *known;

	*known = *latest;
	known->known = true;
	known->leaving = before.leaving || latest->leaving;
	if (latest->rate_limit_invalid) {
		known->has_rate_limit = before.has_rate_limit;
		known->rate_limit_per_ks = before.rate_limit_per_ks;
	}
	return known->leaving != before.leaving ||
	    known->rate_limit_invalid != before.rate_limit_invalid ||
	    known->has_rate_limit != before.has_rate_limit ||
	    known->rate_limit_per_ks != before.rate_limit_per_ks;
}
