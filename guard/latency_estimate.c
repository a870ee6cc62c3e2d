#include <glib.h>
#include <math.h>

#include "guard/latency_estimate.h"

enum {
	INITIAL_US = 100000, /* assumed before the first result */
	WEIGHT_MAX = 32,     /* a result moves the mean by 1/32 at least */
	WEIGHT_HALF_LIFE_MS = 2000,
	/*
	 * Peers ignore a report that is older. An idle upstream is assumed to
	 * be as fast as the others of its service, so that it is tried again.
	 */
	REPORT_MAX_AGE_MS = 3000,
	/*
	 * Bounds the factor between the run time that a sender expects and the
	 * one at this upstream. Upstreams are at most twelve times slower than
	 * usual.
	 */
	RATIO_MAX = 16,
	US_PER_MS = 1000,
};

/*
 * Discard all results.
 */
void
latency_estimate_reset(struct latency_estimate *estimate)
{
	*estimate = (struct latency_estimate){ .mean_us = INITIAL_US };
}

/* Return the number of results in the mean, halved for each half-life. */
static double
aged_weight(const struct latency_estimate *estimate, int64_t now_ms)
{
	return estimate->weight *
	    exp2(-(double)MAX(now_ms - estimate->updated_ms, 0) /
		WEIGHT_HALF_LIFE_MS);
}

/*
 * Add a result. The first one replaces the initial value; up to WEIGHT_MAX
 * recent results all have the same weight.
 */
void
latency_estimate_add(struct latency_estimate *estimate, uint32_t latency_us,
    uint32_t work_ms, int64_t now_ms)
{
	double expected_us = (double)work_ms * US_PER_MS;
	double share;

	estimate->weight =
	    MIN(aged_weight(estimate, now_ms) + 1, (double)WEIGHT_MAX);
	share = estimate->known ? 1 / estimate->weight : 1;
	estimate->mean_us += (latency_us - estimate->mean_us) * share;
	if (work_ms > 0 && estimate->expected_us > 0)
		estimate->expected_us +=
		    (expected_us - estimate->expected_us) * share;
	else if (work_ms > 0)
		estimate->expected_us = expected_us;
	estimate->known = true;
	estimate->updated_ms = now_ms;
}

/*
 * Return the expected run time of a request: what its sender expects, scaled by
 * how much slower this upstream is than the senders expected of late.
 */
uint32_t
latency_estimate_run_us(
    const struct latency_estimate *estimate, uint32_t work_ms)
{
	double expected_us = (double)work_ms * US_PER_MS;
	double ratio = 1;

	if (work_ms == 0)
		return (uint32_t)estimate->mean_us;
	if (estimate->known && estimate->expected_us > 0)
		ratio = estimate->mean_us / estimate->expected_us;
	return (uint32_t)MIN(
	    expected_us * CLAMP(ratio, 1.0 / RATIO_MAX, RATIO_MAX),
	    (double)UINT32_MAX);
}

/*
 * Return the mean, or the initial value before the first result.
 */
uint32_t
latency_estimate_mean_us(const struct latency_estimate *estimate)
{
	return (uint32_t)estimate->mean_us;
}

/*
 * Return how old the last result is.
 */
uint32_t
latency_estimate_age_ms(const struct latency_estimate *estimate, int64_t now_ms)
{
	if (!estimate->known)
		return UINT32_MAX;
	return (uint32_t)CLAMP(
	    now_ms - estimate->updated_ms, 0, (int64_t)UINT32_MAX);
}

/*
 * Return the mean as reported to peers.
 */
uint32_t
latency_estimate_report_us(
    const struct latency_estimate *estimate, int64_t now_ms)
{
	return latency_estimate_age_ms(estimate, now_ms) > REPORT_MAX_AGE_MS
	    ? 0
	    : latency_estimate_mean_us(estimate);
}
