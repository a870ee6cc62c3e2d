#include <glib.h>

#include "route/candidates.h"
#include "route/choice_stats.h"
#include "route/chooser_state.h"

enum {
	PROBE_INTERVAL = 8, /* one pick in 8 probes an unknown upstream */
};

enum zone_locality {
	ZONE_LOCAL,
	ZONE_REMOTE,
	ZONE_LOCALITY_COUNT,
};

/* Two random candidates for each locality and load class. */
struct candidate_sets {
	struct candidates sets[ZONE_LOCALITY_COUNT][LOAD_UNAVAILABLE];
	size_t eligible_count;
};

static bool
is_eligible(const struct choice_request *request,
    const struct service_view *service, size_t index)
{
	for (size_t i = 0; i < request->tried_count; i++)
		if (request->tried[i] == service->upstreams[index])
			return false;
	return !snapshot_host_is_out(request->snapshot, service->hosts[index]);
}

static enum zone_locality
locality_of(const struct chooser *chooser, const struct record *host)
{
	return str_equal(host->host.zone, chooser->settings.zone) ? ZONE_LOCAL
								  : ZONE_REMOTE;
}

/*
 * Group the eligible upstreams by locality and load class, and keep two of
 * each group at random.
 */
static void
collect_candidates(struct chooser *chooser,
    const struct choice_request *request, const struct service_view *service,
    struct rng *rng, struct candidate_sets *candidates)
{
	int64_t now_ms = chooser_now_ms(chooser);

	for (size_t i = 0; i < service->upstream_count; i++) {
		struct candidate candidate = { .index = i };
		enum zone_locality locality =
		    locality_of(chooser, service->hosts[i]);
		struct upstream_state *state;

		if (!is_eligible(request, service, i))
			continue;
		candidates->eligible_count++;
		state = upstream_table_find(
		    chooser->upstreams, service->upstreams[i]->name);
		candidate.load = load_estimate(
		    state, now_ms, chooser->settings.hint_fresh_ms);
		if (candidate.load.class != LOAD_UNAVAILABLE)
			candidates_add(
			    &candidates->sets[locality][candidate.load.class],
			    &candidate, rng);
	}
}

static size_t
picked_counter(enum zone_locality locality, enum load_class class)
{
	return class +
	    (locality == ZONE_LOCAL ? CHOICE_PICKED_LOCAL
				    : CHOICE_PICKED_REMOTE);
}

/*
 * Return the candidate with the shortest wait in its queue, in any zone; for
 * use when no zone has spare capacity. NULL when every queue is full.
 */
static const struct candidate *
best_queued(const struct candidate_sets *candidates, size_t *counter)
{
	const struct candidate *local =
	    candidates_best(&candidates->sets[ZONE_LOCAL][LOAD_BUSY]);
	const struct candidate *remote =
	    candidates_best(&candidates->sets[ZONE_REMOTE][LOAD_BUSY]);
	bool use_remote = local == NULL ||
	    (remote != NULL && load_is_lower(remote->load, local->load));

	*counter =
	    picked_counter(use_remote ? ZONE_REMOTE : ZONE_LOCAL, LOAD_BUSY);
	return use_remote ? remote : local;
}

static bool
best_in_class(const struct candidate_sets *candidates,
    enum zone_locality locality, enum load_class class, size_t *counter,
    const struct candidate **best)
{
	*counter = picked_counter(locality, class);
	*best = candidates_best(&candidates->sets[locality][class]);
	return *best != NULL;
}

/*
 * Choose for a retry. Upstreams without a current hint may be cold and refuse
 * the request again, so they are used only when there is no other.
 */
static const struct candidate *
best_for_retry(const struct candidate_sets *candidates, size_t *counter)
{
	const struct candidate *best;

	if (best_in_class(candidates, ZONE_LOCAL, LOAD_FREE, counter, &best) ||
	    best_in_class(candidates, ZONE_REMOTE, LOAD_FREE, counter, &best))
		return best;
	best = best_queued(candidates, counter);
	if (best != NULL)
		return best;
	if (best_in_class(
		candidates, ZONE_LOCAL, LOAD_UNKNOWN, counter, &best) ||
	    best_in_class(
		candidates, ZONE_REMOTE, LOAD_UNKNOWN, counter, &best))
		return best;
	return NULL;
}

/*
 * Prefer the local zone, then remote zones, and a queue only when no zone has
 * spare capacity. Upstreams without a current hint may be cold: one pick in
 * PROBE_INTERVAL probes them while others have capacity.
 */
static const struct candidate *
best_candidate(const struct candidate_sets *candidates, bool is_first_attempt,
    struct rng *rng, size_t *counter)
{
	static const struct {
		enum zone_locality locality;
		enum load_class class;
	} order[] = {
		{ ZONE_LOCAL, LOAD_FREE },
		{ ZONE_LOCAL, LOAD_UNKNOWN },
		{ ZONE_REMOTE, LOAD_FREE },
		{ ZONE_REMOTE, LOAD_UNKNOWN },
	};
	const struct candidates *unknown =
	    &candidates->sets[ZONE_LOCAL][LOAD_UNKNOWN];
	const struct candidate *best;

	if (!is_first_attempt)
		return best_for_retry(candidates, counter);
	if (unknown->count > 0 && rng_below(rng, PROBE_INTERVAL) == 0) {
		*counter = picked_counter(ZONE_LOCAL, LOAD_UNKNOWN);
		return candidates_best(unknown);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(order); i++)
		if (best_in_class(candidates, order[i].locality, order[i].class,
			counter, &best))
			return best;
	return best_queued(candidates, counter);
}

static bool
pick_hinted(struct chooser *chooser, const struct choice_request *request,
    const struct service_view *service, struct rng *rng,
    struct pick_result *result)
{
	struct candidate_sets candidates = { .eligible_count = 0 };
	const struct candidate *best;
	size_t counter;

	collect_candidates(chooser, request, service, rng, &candidates);
	best = best_candidate(
	    &candidates, request->tried_count == 0, rng, &counter);
	if (best == NULL) {
		counter = candidates.eligible_count > 0
		    ? CHOICE_REFUSED_NO_ROOM
		    : CHOICE_REFUSED_NONE_IN_SERVICE;
		counter_add(&chooser->counters, counter, 1);
		return false;
	}
	counter_add(&chooser->counters, counter, 1);
	result->index = best->index;
	result->probe = best->load.class == LOAD_UNKNOWN;
	return true;
}

/*
 * Least request of two random choices, by this entry's own calls in flight
 * and regardless of zones.
 */
static bool
pick_least_request(struct chooser *chooser,
    const struct choice_request *request, const struct service_view *service,
    struct rng *rng, struct pick_result *result)
{
	struct candidates candidates = { .count = 0 };

	for (size_t i = 0; i < service->upstream_count; i++) {
		struct candidate candidate = { .index = i, .load.limit = 1 };
		const struct upstream_state *state;

		if (!is_eligible(request, service, i))
			continue;
		state = upstream_table_find(
		    chooser->upstreams, service->upstreams[i]->name);
		if (state != NULL)
			candidate.load.calls =
			    (uint32_t)atomic_load(&state->own_calls);
		candidates_add(&candidates, &candidate, rng);
	}
	if (candidates.count == 0)
		return false;
	result->index = candidates_best(&candidates)->index;
	return true;
}

/*
 * Take the eligible upstreams in turn, regardless of their load.
 */
static bool
pick_round_robin(struct chooser *chooser, const struct choice_request *request,
    const struct service_view *service, struct pick_result *result)
{
	uint64_t turn = atomic_fetch_add(&chooser->next_turn, 1);

	for (size_t i = 0; i < service->upstream_count; i++) {
		result->index = (turn + i) % service->upstream_count;
		if (is_eligible(request, service, result->index))
			return true;
	}
	return false;
}

/*
 * Pick an upstream for the request by the configured policy; false when there
 * is none. The read lock of the upstream table has to be held.
 */
bool
chooser_pick_index(struct chooser *chooser,
    const struct choice_request *request, const struct service_view *service,
    struct rng *rng, struct pick_result *result)
{
	bool found = false;

	switch (chooser->settings.policy) {
	case CHOICE_HINTED:
		return pick_hinted(chooser, request, service, rng, result);
	case CHOICE_LEAST_REQUEST:
		found =
		    pick_least_request(chooser, request, service, rng, result);
		break;
	case CHOICE_ROUND_ROBIN:
		found = pick_round_robin(chooser, request, service, result);
		break;
	}
	if (!found)
		counter_add(
		    &chooser->counters, CHOICE_REFUSED_NONE_IN_SERVICE, 1);
	return found;
}
