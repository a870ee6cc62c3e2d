#include "route/balance_private.h"

/* What one upstream is expected to take, by its reports. */

enum {
	REPORT_MAX_AGE_MS = 3000,    /* older reports are ignored */
	LATENCY_DEFAULT_US = 100000, /* before the first report */
	PER_MILLE = 1000,
	MS_PER_KS = 1000 * 1000,
	/* How much slower an upstream responds at its limit. */
	FULL_LOAD_SLOWDOWN_PERCENT = 80,
};

/*
 * Is the latest report recent enough to be used?
 */
bool
balance_is_fresh(const struct upstream *upstream, int64_t now_ms)
{
	return upstream->load_ms != 0 &&
	    now_ms - upstream->load_ms < REPORT_MAX_AGE_MS;
}

/* Requests that this node has sent to the upstream since the last report. */
static uint32_t
requests_since_report(const struct upstream *upstream)
{
	return upstream->own_in_flight > upstream->own_in_flight_at_load
	    ? upstream->own_in_flight - upstream->own_in_flight_at_load
	    : 0;
}

/*
 * Return the number of requests at the upstream: by the last report, plus those
 * sent since then.
 */
uint32_t
balance_requests(const struct upstream *upstream, bool fresh)
{
	if (!fresh)
		return upstream->own_in_flight;
	return upstream->load.in_flight + upstream->load.queued +
	    requests_since_report(upstream);
}

/*
 * Return the number of requests that the upstream is known to run at once.
 */
uint32_t
balance_limit(const struct upstream *upstream, int64_t now_ms)
{
	bool fresh = balance_is_fresh(upstream, now_ms);

	return MAX(fresh ? upstream->load.limit : upstream->entry.slots, 1);
}

/* Expected wait by the limit that the upstream has named. */
static uint64_t
rate_wait_ms(const struct upstream *upstream)
{
	const struct load_report *load = &upstream->load;

	if (load->rate_limit_per_ks == 0)
		return 0;
	return load->rate_wait_ms +
	    (uint64_t)requests_since_report(upstream) * MS_PER_KS /
	    load->rate_limit_per_ks;
}

/*
 * Return the expected time in milliseconds until an upstream responds to one
 * more request: the wait for a slot, plus run_ms scaled by the latency, the
 * load and the failures of this upstream.
 */
uint32_t
balance_expected_ms(const struct upstream *upstream, uint32_t run_ms,
    uint32_t mean_us, int64_t now_ms)
{
	const struct load_report *load = &upstream->load;
	bool fresh = balance_is_fresh(upstream, now_ms);
	uint64_t limit = balance_limit(upstream, now_ms);
	uint64_t latency_us =
	    fresh && load->latency_us > 0 ? load->latency_us : mean_us;
	uint64_t requests = balance_requests(upstream, fresh);
	uint64_t wait_ms = 0, time_ms;

	if (requests >= limit)
		wait_ms = (requests - limit + 1) * latency_us / 1000 / limit;
	if (fresh)
		wait_ms = MAX(wait_ms, rate_wait_ms(upstream));
	/* The request is read, and its response passed on, so much later. */
	if (fresh)
		wait_ms += load->lag_ms;
	time_ms = run_ms * latency_us / MAX(mean_us, 1);
	time_ms += time_ms * FULL_LOAD_SLOWDOWN_PERCENT * MIN(requests, limit) /
	    limit / 100;
	if (fresh && load->failures_per_mille > 0)
		time_ms = time_ms * PER_MILLE /
		    MAX(100, PER_MILLE - load->failures_per_mille);
	return (uint32_t)(wait_ms + time_ms);
}

/*
 * Return the mean latency of those upstreams of a service that have a recent
 * report.
 */
uint32_t
balance_mean_latency_us(const struct upstream_group *group, int64_t now_ms)
{
	uint64_t sum = 0, count = 0;

	for (guint i = 0; i < group->upstreams->len; i++) {
		const struct upstream *upstream = group->upstreams->pdata[i];

		if (!balance_is_fresh(upstream, now_ms) ||
		    upstream->load.latency_us == 0)
			continue;
		sum += upstream->load.latency_us;
		count++;
	}
	return count == 0 ? LATENCY_DEFAULT_US : (uint32_t)(sum / count);
}
