#include "route/balance.h"

enum {
	REPORT_FRESH_MS = 3000,  /* an older report says nothing */
	LATENCY_PRIOR_MS = 100,  /* before the first report */
	FAILING_AVOIDED = 400,   /* of a thousand: avoided like a lost one */
	FAILING_SCALE = 1000,
	/*
	 * An answer from another zone costs a round trip more and bytes between
	 * zones, which are dear, above all for large answers.
	 */
	OTHER_ZONE_MS = 30,
	OTHER_ZONE_BULK_MS = 120,
	OTHER_HOST_MS = 2,  /* one more hop */
	JITTER_MS = 6,      /* keeps entries from choosing alike */
	/* The own zone is preferred while it answers within this share. */
	OWN_ZONE_SHARE_PERCENT = 60,
	CROWD_PERCENT = 25, /* how much slower a full upstream answers */
};

struct ranking {
	struct upstream *best;
	uint32_t best_cost;
	uint32_t best_expected_ms;
	uint32_t seen;
};

/*
 * Return the time until an upstream would answer one more request: the wait
 * for a slot, by the last report and what this node sent since, and its
 * recent mean latency.
 */
uint32_t
balance_expected_ms(const struct upstream *upstream, int64_t now_ms)
{
	const struct load_report *load = &upstream->load;
	bool fresh = upstream->load_ms != 0 &&
	    now_ms - upstream->load_ms < REPORT_FRESH_MS;
	uint32_t limit = fresh ? load->limit : upstream->entry.slots;
	uint32_t latency_ms = fresh ? load->latency_us / 1000 : LATENCY_PRIOR_MS;
	uint32_t busy = upstream->own;
	uint32_t wait_ms = 0;

	limit = MAX(limit, 1);
	if (fresh) {
		busy = load->in_flight + load->queued;
		if (upstream->own > upstream->own_at_load)
			busy += upstream->own - upstream->own_at_load;
	}
	if (busy >= limit)
		wait_ms = (busy - limit + 1) * latency_ms / limit;
	latency_ms += latency_ms * CROWD_PERCENT * MIN(busy, limit) / limit /
	    100;
	if (fresh && load->failing > 0)
		latency_ms = latency_ms * FAILING_SCALE /
		    MAX(100, FAILING_SCALE - load->failing);
	return wait_ms + latency_ms;
}

static bool
is_tried(
    const struct balance_request *request, const struct upstream *upstream)
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
is_avoided(const struct upstream *upstream, int64_t now_ms)
{
	bool fresh = upstream->load_ms != 0 &&
	    now_ms - upstream->load_ms < REPORT_FRESH_MS;

	return fleet_peer_is_avoided(upstream->peer, now_ms) ||
	    upstream->peer->stopping ||
	    (fresh && (!upstream->load.accepting ||
		upstream->load.failing > FAILING_AVOIDED));
}

static void
rank(const struct balance_request *request, struct ranking *ranking,
    struct upstream *upstream, struct rng *rng)
{
	uint32_t expected = balance_expected_ms(upstream, request->now_ms);
	uint32_t cost = expected + (uint32_t)rng_below(rng, JITTER_MS);

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
	struct ranking own = { 0 }, all = { 0 }, last = { 0 };
	const struct ranking *taken = &all;
	struct balance_choice choice = { 0 };
	uint64_t own_bound_ms = (uint64_t)request->objective_ms *
	    OWN_ZONE_SHARE_PERCENT / 100;

	if (group == NULL)
		return choice;
	for (guint i = 0; i < group->upstreams->len; i++) {
		struct upstream *upstream = group->upstreams->pdata[i];

		if (!is_usable(request, upstream))
			continue;
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
		taken = &last;
	choice.upstream = taken->best;
	choice.expected_ms = taken->best_expected_ms;
	choice.candidates = all.seen + last.seen;
	choice.last_resort = taken == &last;
	if (choice.upstream != NULL && choice.upstream->load_ms != 0)
		choice.latency_ms = choice.upstream->load.latency_us / 1000;
	else
		choice.latency_ms = LATENCY_PRIOR_MS;
	return choice;
}
