#include "common/rendezvous.h"
#include "route/balance.h"

enum {
	REPORT_MAX_AGE_MS = 3000,    /* older reports are ignored */
	LATENCY_DEFAULT_US = 100000, /* before the first report */
	/* An upstream that fails more often is avoided like a lost one. */
	FAILING_AVOID_PER_MILLE = 400,
	PER_MILLE = 1000,
	MS_PER_KS = 1000 * 1000,
	/*
	 * An answer from another zone takes one more round trip, and traffic
	 * between zones is expensive, above all for large answers.
	 */
	OTHER_ZONE_COST_MS = 30,
	OTHER_ZONE_BULK_COST_MS = 250,
	OTHER_HOST_COST_MS = 4, /* one more hop */
	COST_JITTER_MS = 6,     /* keeps nodes from all choosing the same one */
	/*
	 * The local zone is preferred while its expected time is within this
	 * share of the objective.
	 */
	LOCAL_ZONE_OBJECTIVE_PERCENT = 60,
	/*
	 * A cold or unreported upstream is considered for this share of the
	 * requests, divided by the number of upstreams of the service, because
	 * all nodes learn of it at the same time.
	 */
	COLD_CONSIDERED_PERCENT = 50,
	/* How much slower an upstream responds at its limit. */
	FULL_LOAD_SLOWDOWN_PERCENT = 80,
};

/* The upstream of lowest cost in one group of candidates. */
struct ranking {
	struct upstream *best;
	uint32_t mean_us; /* mean latency of the service */
	uint32_t best_cost;
	uint32_t best_expected_ms;
	uint32_t count;
};

static bool
is_fresh(const struct upstream *upstream, int64_t now_ms)
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

/* Requests at the upstream: the last report plus those sent since then. */
static uint32_t
estimate_requests(const struct upstream *upstream, bool fresh)
{
	if (!fresh)
		return upstream->own_in_flight;
	return upstream->load.in_flight + upstream->load.queued +
	    requests_since_report(upstream);
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
	bool fresh = is_fresh(upstream, now_ms);
	uint64_t limit = MAX(fresh ? load->limit : upstream->entry.slots, 1);
	uint64_t latency_us =
	    fresh && load->latency_us > 0 ? load->latency_us : mean_us;
	uint64_t requests = estimate_requests(upstream, fresh);
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

/* Mean latency of those upstreams of a service that have a recent report. */
static uint32_t
mean_latency_us(const struct upstream_group *group, int64_t now_ms)
{
	uint64_t sum = 0, count = 0;

	for (guint i = 0; i < group->upstreams->len; i++) {
		const struct upstream *upstream = group->upstreams->pdata[i];

		if (!is_fresh(upstream, now_ms) ||
		    upstream->load.latency_us == 0)
			continue;
		sum += upstream->load.latency_us;
		count++;
	}
	return count == 0 ? LATENCY_DEFAULT_US : (uint32_t)(sum / count);
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
	return upstream->listed && !upstream_is_leaving(upstream) &&
	    !is_tried(request, upstream) &&
	    !catalog_zone_is_out(request->catalog, upstream->entry.zone);
}

static bool
is_cold_or_unreported(const struct upstream *upstream, int64_t now_ms)
{
	return upstream->load_ms == 0 || upstream->cold_until_ms > now_ms;
}

/* The class of an upstream, apart from BALANCE_COLD. */
static enum balance_class
upstream_class(const struct upstream *upstream, int64_t now_ms)
{
	bool fresh = is_fresh(upstream, now_ms);

	if (fleet_peer_is_avoided(upstream->peer, now_ms) ||
	    fleet_peer_is_stopping(upstream->peer, now_ms) ||
	    (fresh && !upstream->load.accepting))
		return BALANCE_UNREACHABLE;
	if (fresh &&
	    upstream->load.failures_per_mille > FAILING_AVOID_PER_MILLE)
		return BALANCE_FAILING;
	return BALANCE_GOOD;
}

static void
rank_upstream(const struct balance_request *request, struct ranking *ranking,
    struct upstream *upstream, struct rng *rng)
{
	uint32_t expected = balance_expected_ms(
	    upstream, request->run_ms, ranking->mean_us, request->now_ms);
	uint32_t cost;

	if (request->bulk && is_fresh(upstream, request->now_ms))
		expected += (upstream->load.bulk_waiting + 1) *
		    upstream->load.bulk_transfer_ms;
	cost = expected + (uint32_t)rng_below(rng, COST_JITTER_MS);
	if (g_strcmp0(upstream->entry.zone, request->zone) != 0)
		cost += request->bulk ? OTHER_ZONE_BULK_COST_MS
				      : OTHER_ZONE_COST_MS;
	else if (upstream->peer->host.s_addr != request->host.s_addr)
		cost += OTHER_HOST_COST_MS;
	ranking->count++;
	if (ranking->best != NULL && cost >= ranking->best_cost)
		return;
	ranking->best = upstream;
	ranking->best_cost = cost;
	ranking->best_expected_ms = expected;
}

/*
 * Return the upstream at which the runs of a key meet, by rendezvous hashing
 * over those that are likely to run it at once; NULL if there is none.
 */
static struct upstream *
find_meeting_point(
    const struct balance_request *request, const struct upstream_group *group)
{
	struct str salt = str_make(request->meet_by, sizeof(*request->meet_by));
	struct upstream *found = NULL;
	struct rendezvous_score best;

	for (guint i = 0; i < group->upstreams->len; i++) {
		struct upstream *upstream = group->upstreams->pdata[i];
		struct rendezvous_score score =
		    rendezvous_score(salt, 0, str_from(upstream->entry.id));

		if (!is_usable(request, upstream) ||
		    upstream_class(upstream, request->now_ms) ==
			BALANCE_UNREACHABLE ||
		    is_cold_or_unreported(upstream, request->now_ms) ||
		    (found != NULL && !rendezvous_before(score, best)))
			continue;
		found = upstream;
		best = score;
	}
	return found;
}

/*
 * Choose the upstream for one attempt. The local zone is preferred while its
 * expected time is well within the objective. Upstreams of a later class are
 * chosen only when no other is left.
 */
struct balance_choice
balance_pick(const struct balance_request *request, struct rng *rng)
{
	const struct upstream_group *group =
	    catalog_group(request->catalog, request->service);
	struct ranking local_zone = { 0 }, classes[BALANCE_CLASS_COUNT] = { 0 };
	struct balance_choice choice = { 0 };
	uint64_t local_zone_max_ms = (uint64_t)request->objective_ms *
	    LOCAL_ZONE_OBJECTIVE_PERCENT / 100;
	const struct ranking *selected = &local_zone;

	if (group == NULL)
		return choice;
	if (request->meet_by != NULL) {
		choice.upstream = find_meeting_point(request, group);
		choice.candidates = group->upstreams->len;
		if (choice.upstream != NULL)
			return choice;
	}
	local_zone.mean_us = mean_latency_us(group, request->now_ms);
	for (size_t i = 0; i < BALANCE_CLASS_COUNT; i++)
		classes[i].mean_us = local_zone.mean_us;
	for (guint i = 0; i < group->upstreams->len; i++) {
		struct upstream *upstream = group->upstreams->pdata[i];
		enum balance_class class;

		if (!is_usable(request, upstream))
			continue;
		class = upstream_class(upstream, request->now_ms);
		if (class != BALANCE_UNREACHABLE &&
		    is_cold_or_unreported(upstream, request->now_ms) &&
		    rng_below(rng, (uint64_t)group->upstreams->len * 100) >=
			COLD_CONSIDERED_PERCENT)
			class = BALANCE_COLD;
		rank_upstream(request, &classes[class], upstream, rng);
		if (class == BALANCE_GOOD &&
		    g_strcmp0(upstream->entry.zone, request->zone) == 0)
			rank_upstream(request, &local_zone, upstream, rng);
	}
	for (size_t i = 0; i < BALANCE_CLASS_COUNT; i++)
		choice.candidates += classes[i].count;
	if (local_zone.best == NULL ||
	    local_zone.best_expected_ms > local_zone_max_ms) {
		while (choice.class < BALANCE_CLASS_COUNT - 1 &&
		    classes[choice.class].best == NULL)
			choice.class ++;
		selected = &classes[choice.class];
	}
	choice.upstream = selected->best;
	choice.expected_ms = selected->best_expected_ms;
	return choice;
}
