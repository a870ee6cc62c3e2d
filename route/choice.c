#include <glib.h>

#include "route/choice_stats.h"
#include "route/chooser_state.h"

enum {
	LOST_FIRST_MS = 250,
	LOST_MAX_MS = 4000,
	LOST_SHIFT_MAX = 4,
	RETRY_AFTER_MS = 200,
	RETRY_AFTER_SPREAD_MS = 800,
	NS_PER_MS = 1000000,
	MS_PER_S = 1000,
};

/*
 * Return the monotonic time in whole milliseconds.
 */
int64_t
chooser_now_ms(const struct chooser *chooser)
{
	struct timespec now = clock_now(chooser->clock);

	return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

/*
 * Return a chooser that knows nothing yet. Strings are copied, the clock is
 * borrowed.
 */
struct chooser *
chooser_new(const struct choice_settings *settings, struct clock *clock)
{
	struct chooser *chooser = g_new0(struct chooser, 1);

	chooser->settings = *settings;
	chooser->settings.host = str_dup(settings->host);
	chooser->settings.zone = str_dup(settings->zone);
	chooser->settings.hint_fresh_ms = MAX(settings->hint_fresh_ms, 1);
	chooser->clock = clock;
	chooser->peers = peer_table_new();
	atomic_init(&chooser->turn, 0);
	choice_stats_init(&chooser->counters);
	return chooser;
}

/*
 * Free a chooser that no thread uses any more. NULL is allowed.
 */
void
chooser_free(struct chooser *chooser)
{
	if (chooser == NULL)
		return;
	peer_table_free(chooser->peers);
	str_release(&chooser->settings.host);
	str_release(&chooser->settings.zone);
	g_free(chooser);
}

/*
 * Pick an upstream for one attempt, or refuse it at once. Callers that are
 * refused together are told to come back at different times. The records in
 * the choice belong to the request's snapshot.
 */
bool
chooser_pick(struct chooser *chooser, const struct choice_request *request,
    struct rng *rng, struct choice *choice, uint32_t *retry_after_ms)
{
	const struct service_view *service =
	    snapshot_service(request->snapshot, request->service);
	struct peer *peer;
	struct picked picked = { .probe = false };
	bool found = false;

	*choice = (struct choice){ .upstream = NULL };
	*retry_after_ms =
	    RETRY_AFTER_MS + (uint32_t)rng_below(rng, RETRY_AFTER_SPREAD_MS);
	if (service == NULL || service->upstream_count == 0) {
		counter_add(&chooser->counters, CHOICE_REFUSED_NO_SERVICE, 1);
		return false;
	}
	peer_table_enter(chooser->peers);
	if (chooser_pick_index(chooser, request, service, rng, &picked)) {
		found = true;
		choice->upstream = service->upstreams[picked.index];
		choice->host = service->hosts[picked.index];
		choice->probe = picked.probe;
		peer = peer_table_find(chooser->peers, choice->upstream->name);
		if (peer != NULL)
			choice->known = hint_cell_read(&peer->hint).hint;
	}
	peer_table_leave(chooser->peers);
	return found;
}

/*
 * Count a call that is about to be sent to this upstream.
 */
void
chooser_begin(struct chooser *chooser, struct str upstream)
{
	peer_table_enter(chooser->peers);
	atomic_fetch_add(&peer_table_get(chooser->peers, upstream)->own, 1);
	peer_table_leave(chooser->peers);
}

/*
 * Count the end of a call; to be called once for each chooser_begin. A peer
 * that was pruned between the two has lost its count, and never goes below
 * zero for that.
 */
void
chooser_end(struct chooser *chooser, struct str upstream)
{
	struct peer *peer;
	uint_fast32_t own = 0;

	peer_table_enter(chooser->peers);
	peer = peer_table_find(chooser->peers, upstream);
	if (peer != NULL)
		own = atomic_load(&peer->own);
	while (
	    own > 0 && !atomic_compare_exchange_weak(&peer->own, &own, own - 1))
		;
	peer_table_leave(chooser->peers);
}

/*
 * Take in what a guard said of itself.
 */
void
chooser_learn(
    struct chooser *chooser, struct str upstream, const struct guard_hint *hint)
{
	struct hint_view view = { .hint = *hint,
		.learned_ms = chooser_now_ms(chooser) };
	struct peer *peer;
	bool newer;

	if (hint->incarnation == 0)
		return;
	peer_table_enter(chooser->peers);
	peer = peer_table_get(chooser->peers, upstream);
	view.own = (uint32_t)atomic_load(&peer->own);
	newer = hint_cell_write(&peer->hint, &view);
	atomic_store(&peer->lost, 0);
	atomic_store(&peer->until_ms, 0);
	peer_table_leave(chooser->peers);
	counter_add(&chooser->counters,
	    newer ? CHOICE_HINT_LEARNED : CHOICE_HINT_OLD, 1);
}

/*
 * A node gave no answer: avoid its upstream for a while, longer each time in
 * a row, then try it with one call. Its next incarnation is not this one, so
 * the next call to it makes first contact.
 */
void
chooser_lost(struct chooser *chooser, struct str upstream)
{
	struct peer *peer;
	uint_fast32_t times;
	int64_t avoid_ms;

	peer_table_enter(chooser->peers);
	peer = peer_table_get(chooser->peers, upstream);
	times = atomic_fetch_add(&peer->lost, 1);
	avoid_ms = (int64_t)LOST_FIRST_MS << MIN(times, LOST_SHIFT_MAX);
	atomic_store(&peer->until_ms,
	    chooser_now_ms(chooser) + MIN(avoid_ms, LOST_MAX_MS));
	hint_cell_clear(&peer->hint);
	peer_table_leave(chooser->peers);
	counter_add(&chooser->counters, CHOICE_PEER_LOST, 1);
}

/*
 * Forget idle upstreams that the snapshot lacks. Waits for readers, so it
 * belongs on a thread that may.
 */
void
chooser_prune(struct chooser *chooser, const struct snapshot *snapshot)
{
	counter_add(&chooser->counters, CHOICE_PEER_PRUNED,
	    peer_table_prune(chooser->peers, snapshot));
}

/*
 * Return the chooser's counters.
 */
const struct counter_set *
chooser_counters(const struct chooser *chooser)
{
	return &chooser->counters;
}
