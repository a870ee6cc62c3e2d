#include "route/balance.h"

enum {
	REPORT_FRESH_MS = 3000,    /* an older report says nothing */
	LATENCY_PRIOR_US = 100000, /* before the first report */
	FAILING_AVOIDED = 400,     /* of a thousand: avoided like a lost one */
	FAILING_SCALE = 1000,
	/*
	 * An answer from another zone costs a round trip more and bytes between
	 * zones, which are dear, above all for large answers.
	 */
	OTHER_ZONE_MS = 30,
	OTHER_ZONE_BULK_MS = 250,
	OTHER_HOST_MS = 4, /* one more hop */
	JITTER_MS = 6,     /* keeps entries from choosing alike */
	/* The own zone is preferred while it answers within this share. */
	OWN_ZONE_SHARE_PERCENT = 60,
	/*
	 * One that is cold, or has not been heard of, is taken into account for
	 * this share of the requests, divided by the upstreams of the service:
	 * all entries learn of it at the same time.
	 */
	NEW_SHARE_PERCENT = 50,
	CROWD_PERCENT = 80, /* how much slower a full upstream answers */
};

struct ranking {
	uint32_t mean_us; /* of the group */
	struct upstream *best;
	uint32_t best_cost;
	uint32_t best_expected_ms;
	uint32_t seen;
};

static bool
is_fresh(const struct upstream *upstream, int64_t now_ms)
{
	return upstream->load_ms != 0 &&
	    now_ms - upstream->load_ms < REPORT_FRESH_MS;
}

/* Requests at the upstream, by the last report and what was sent since. */
static uint32_t
busy_now(const struct upstream *upstream, bool fresh)
{
	uint32_t since = upstream->own > upstream->own_at_load
	    ? upstream->own - upstream->own_at_load
	    : 0;

	if (!fresh)
		return upstream->own;
	return upstream->load.in_flight + upstream->load.queued + since;
}

/*
 * Return the time until an upstream would answer one more request: the wait
 * for a slot, and the usual time of such a request at an upstream of this
 * speed.
 */
uint32_t
balance_expected_ms(const struct upstream *upstream, uint32_t run_ms,
    uint32_t mean_us, int64_t now_ms)
{
	const struct load_report *load = &upstream->load;
	bool fresh = is_fresh(upstream, now_ms);
	uint64_t limit = MAX(fresh ? load->limit : upstream->entry.slots, 1);
	uint64_t latency_us = fresh ? load->latency_us : mean_us;
	uint64_t busy = busy_now(upstream, fresh);
	uint64_t wait_ms = 0, time_ms;

	if (busy >= limit)
		wait_ms = (busy - limit + 1) * latency_us / 1000 / limit;
	time_ms = run_ms * latency_us / MAX(mean_us, 1);
	time_ms += time_ms * CROWD_PERCENT * MIN(busy, limit) / limit / 100;
	if (fresh && load->failing > 0)
		time_ms = time_ms * FAILING_SCALE /
		    MAX(100, FAILING_SCALE - load->failing);
	return (uint32_t)(wait_ms + time_ms);
}

/* Mean latency of the upstreams of a service. */
static uint32_t
group_mean_us(const struct upstream_group *group, int64_t now_ms)
{
	uint64_t sum = 0, count = 0;

	for (guint i = 0; i < group->upstreams->len; i++) {
		const struct upstream *upstream = group->upstreams->pdata[i];

		if (!is_fresh(upstream, now_ms))
			continue;
		sum += upstream->load.latency_us;
		count++;
	}
	return count == 0 ? LATENCY_PRIOR_US : (uint32_t)(sum / count);
}

static bool
is_tried(const struct balance_request *request, const struct upstream *upstream)
{
	for (size_t i = 0; i < request->tried_count; i++)
		if (request->tried[i] == upstream)
			return true;
	return false;
}

static bool
is_usable(
    const struct balance_request *request, const struct upstream *upstream)
{
	return upstream->listed && !upstream->entry.draining &&
	    !is_tried(request, upstream) &&
	    !catalog_zone_is_out(request->catalog, upstream->entry.zone);
}

static bool
is_new(const struct upstream *upstream, int64_t now_ms)
{
	return upstream->load_ms == 0 || upstream->cold_until_ms > now_ms;
}

static bool
is_avoided(const struct upstream *upstream, int64_t now_ms)
{
	bool fresh = is_fresh(upstream, now_ms);

	return fleet_peer_is_avoided(upstream->peer, now_ms) ||
	    upstream->peer->stopping ||
	    (fresh &&
		(!upstream->load.accepting ||
		    upstream->load.failing > FAILING_AVOIDED));
}

static void
rank(const struct balance_request *request, struct ranking *ranking,
    struct upstream *upstream, struct rng *rng)
{
	uint32_t expected = balance_expected_ms(
	    upstream, request->run_ms, ranking->mean_us, request->now_ms);
	uint32_t cost;

	if (request->bulk && is_fresh(upstream, request->now_ms))
		expected += (upstream->load.bulk_waiting + 1) *
		    upstream->load.bulk_transfer_ms;
	cost = expected + (uint32_t)rng_below(rng, JITTER_MS);
	if (g_strcmp0(upstream->entry.zone, request->zone) != 0)
		cost += request->bulk ? OTHER_ZONE_BULK_MS : OTHER_ZONE_MS;
	else if (upstream->peer->host.s_addr != request->host.s_addr)
		cost += OTHER_HOST_MS;
	ranking->seen++;
	if (ranking->best != NULL && cost >= ranking->best_cost)
		return;
	ranking->best = upstream;
	ranking->best_cost = cost;
	ranking->best_expected_ms = expected;
}

/*
 * Choose the upstream for one attempt. The own zone goes first while it
 * answers well within the objective. One that was lost a moment ago or fails
 * often is chosen only when nothing else is left.
 */
struct balance_choice
balance_pick(const struct balance_request *request, struct rng *rng)
{
	const struct upstream_group *group =
	    catalog_group(request->catalog, request->service);
	struct ranking own = { 0 }, all = { 0 }, last = { 0 }, fresh = { 0 };
	const struct ranking *taken = &all;
	struct balance_choice choice = { 0 };
	uint64_t own_bound_ms =
	    (uint64_t)request->objective_ms * OWN_ZONE_SHARE_PERCENT / 100;

	if (group == NULL)
		return choice;
	own.mean_us = all.mean_us = last.mean_us = fresh.mean_us =
	    group_mean_us(group, request->now_ms);
	for (guint i = 0; i < group->upstreams->len; i++) {
		struct upstream *upstream = group->upstreams->pdata[i];

		if (!is_usable(request, upstream))
			continue;
		if (is_new(upstream, request->now_ms) &&
		    rng_below(rng, (uint64_t)group->upstreams->len * 100) >=
			NEW_SHARE_PERCENT) {
			rank(request, &fresh, upstream, rng);
			continue;
		}
		if (is_avoided(upstream, request->now_ms)) {
			rank(request, &last, upstream, rng);
			continue;
		}
		rank(request, &all, upstream, rng);
		if (g_strcmp0(upstream->entry.zone, request->zone) == 0)
			rank(request, &own, upstream, rng);
	}
	if (own.best != NULL && own.best_expected_ms <= own_bound_ms)
		taken = &own;
	else if (all.best == NULL)
		taken = fresh.best != NULL ? &fresh : &last;
	choice.upstream = taken->best;
	choice.expected_ms = taken->best_expected_ms;
	choice.candidates = all.seen + last.seen + fresh.seen;
	choice.last_resort = taken == &last;
	return choice;
}
