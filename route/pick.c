#include <glib.h>

#include "route/candidates.h"
#include "route/choice_stats.h"
#include "route/chooser_state.h"

enum {
	PROBE_SHARE = 8, /* one pick in so many goes to an unknown upstream */
};

enum zone_side {
	ZONE_OWN,
	ZONE_OTHER,
	ZONE_SIDE_COUNT,
};

/* Two draws for each side and class. */
struct draw {
	struct candidates by[ZONE_SIDE_COUNT][LOAD_AVOID];
	size_t in_service;
};

static bool
may_serve(const struct choice_request *request,
    const struct service_view *service, size_t index)
{
	for (size_t i = 0; i < request->tried_count; i++)
		if (request->tried[i] == service->upstreams[index])
			return false;
	return !snapshot_host_is_out(request->snapshot, service->hosts[index]);
}

static enum zone_side
side_of(const struct chooser *chooser, const struct record *host)
{
	return str_equal(host->host.zone, chooser->settings.zone) ? ZONE_OWN
								  : ZONE_OTHER;
}

/*
 * Sort the upstreams that may serve by side and class, keeping two at random
 * of each.
 */
static void
draw_hinted(struct chooser *chooser, const struct choice_request *request,
    const struct service_view *service, struct rng *rng, struct draw *draw)
{
	int64_t now = chooser_now_ms(chooser);

	for (size_t i = 0; i < service->upstream_count; i++) {
		struct candidate candidate = { .index = i };
		enum zone_side side = side_of(chooser, service->hosts[i]);
		struct peer *peer;

		if (!may_serve(request, service, i))
			continue;
		draw->in_service++;
		peer = peer_table_find(
		    chooser->peers, service->upstreams[i]->name);
		candidate.load =
		    load_estimate(peer, now, chooser->settings.hint_fresh_ms);
		if (candidate.load.class != LOAD_AVOID)
			candidates_offer(&draw->by[side][candidate.load.class],
			    &candidate, rng);
	}
}

static size_t
picked_counter(enum zone_side side, enum load_class class)
{
	return class +
	    (side == ZONE_OWN ? CHOICE_PICKED_LOCAL : CHOICE_PICKED_REMOTE);
}

/*
 * No zone has room: the shortest queue, whichever zone it is in.
 */
static const struct candidate *
best_of_queues(const struct draw *draw, size_t *counter)
{
	const struct candidate *own =
	    candidates_best(&draw->by[ZONE_OWN][LOAD_BUSY]);
	const struct candidate *other =
	    candidates_best(&draw->by[ZONE_OTHER][LOAD_BUSY]);
	bool leave = own == NULL ||
	    (other != NULL && load_is_lower(other->load, own->load));

	*counter = picked_counter(leave ? ZONE_OTHER : ZONE_OWN, LOAD_BUSY);
	return leave ? other : own;
}

static bool
best_of_class(const struct draw *draw, enum zone_side side,
    enum load_class class, size_t *counter, const struct candidate **best)
{
	*counter = picked_counter(side, class);
	*best = candidates_best(&draw->by[side][class]);
	return *best != NULL;
}

/*
 * A request that was refused once is not risked on an upstream that may be
 * cold, unless there is no other.
 */
static const struct candidate *
best_for_retry(const struct draw *draw, size_t *counter)
{
	const struct candidate *best;

	if (best_of_class(draw, ZONE_OWN, LOAD_FREE, counter, &best) ||
	    best_of_class(draw, ZONE_OTHER, LOAD_FREE, counter, &best))
		return best;
	best = best_of_queues(draw, counter);
	if (best != NULL)
		return best;
	if (best_of_class(draw, ZONE_OWN, LOAD_UNKNOWN, counter, &best) ||
	    best_of_class(draw, ZONE_OTHER, LOAD_UNKNOWN, counter, &best))
		return best;
	return NULL;
}

/*
 * Own zone first, other zones when it lacks room, a queue only when no zone
 * has any. Upstreams without a hint may be cold: they get a share of the
 * picks while others have room.
 */
static const struct candidate *
best_of_draw(
    const struct draw *draw, bool first, struct rng *rng, size_t *counter)
{
	static const struct {
		enum zone_side side;
		enum load_class class;
	} order[] = {
		{ ZONE_OWN, LOAD_FREE },
		{ ZONE_OWN, LOAD_UNKNOWN },
		{ ZONE_OTHER, LOAD_FREE },
		{ ZONE_OTHER, LOAD_UNKNOWN },
	};
	const struct candidates *unknown = &draw->by[ZONE_OWN][LOAD_UNKNOWN];
	const struct candidate *best;

	if (!first)
		return best_for_retry(draw, counter);
	if (unknown->seen > 0 && rng_below(rng, PROBE_SHARE) == 0) {
		*counter = picked_counter(ZONE_OWN, LOAD_UNKNOWN);
		return candidates_best(unknown);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(order); i++)
		if (best_of_class(
			draw, order[i].side, order[i].class, counter, &best))
			return best;
	return best_of_queues(draw, counter);
}

static bool
pick_hinted(struct chooser *chooser, const struct choice_request *request,
    const struct service_view *service, struct rng *rng, struct picked *picked)
{
	struct draw draw = { .in_service = 0 };
	const struct candidate *best;
	size_t counter;

	draw_hinted(chooser, request, service, rng, &draw);
	best = best_of_draw(&draw, request->tried_count == 0, rng, &counter);
	if (best == NULL) {
		counter = draw.in_service > 0 ? CHOICE_REFUSED_NO_ROOM
					      : CHOICE_REFUSED_NONE_IN_SERVICE;
		counter_add(&chooser->counters, counter, 1);
		return false;
	}
	counter_add(&chooser->counters, counter, 1);
	picked->index = best->index;
	picked->probe = best->load.class == LOAD_UNKNOWN;
	return true;
}

/*
 * Power of two choices by the entry's own calls in flight, zones aside.
 */
static bool
pick_thin(struct chooser *chooser, const struct choice_request *request,
    const struct service_view *service, struct rng *rng, struct picked *picked)
{
	struct candidates candidates = { .seen = 0 };

	for (size_t i = 0; i < service->upstream_count; i++) {
		struct candidate candidate = { .index = i, .load.limit = 1 };
		const struct peer *peer;

		if (!may_serve(request, service, i))
			continue;
		peer = peer_table_find(
		    chooser->peers, service->upstreams[i]->name);
		if (peer != NULL)
			candidate.load.calls =
			    (uint32_t)atomic_load(&peer->own);
		candidates_offer(&candidates, &candidate, rng);
	}
	if (candidates.seen == 0)
		return false;
	picked->index = candidates_best(&candidates)->index;
	return true;
}

/*
 * One after the other, whatever happens to them.
 */
static bool
pick_round_robin(struct chooser *chooser, const struct choice_request *request,
    const struct service_view *service, struct picked *picked)
{
	uint64_t turn = atomic_fetch_add(&chooser->turn, 1);

	for (size_t i = 0; i < service->upstream_count; i++) {
		picked->index = (turn + i) % service->upstream_count;
		if (may_serve(request, service, picked->index))
			return true;
	}
	return false;
}

/*
 * Find the place of an upstream for the request by the policy in use; false
 * when there is none. The caller has entered the table of peers.
 */
bool
chooser_pick_index(struct chooser *chooser,
    const struct choice_request *request, const struct service_view *service,
    struct rng *rng, struct picked *picked)
{
	bool found = false;

	switch (chooser->settings.policy) {
	case CHOICE_HINTED:
		return pick_hinted(chooser, request, service, rng, picked);
	case CHOICE_THIN:
		found = pick_thin(chooser, request, service, rng, picked);
		break;
	case CHOICE_ROUND_ROBIN:
		found = pick_round_robin(chooser, request, service, picked);
		break;
	}
	if (!found)
		counter_add(
		    &chooser->counters, CHOICE_REFUSED_NONE_IN_SERVICE, 1);
	return found;
}
