#include <glib.h>

#include "route/choice_stats.h"
#include "route/chooser_state.h"

enum {
	AVOID_INITIAL_MS = 250,
	AVOID_MAX_MS = 4000,
	AVOID_SHIFT_MAX = 4,
	RETRY_AFTER_MIN_MS = 200,
	RETRY_AFTER_JITTER_MS = 800,
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
 * Return a chooser without any hints. Strings are copied, the clock is
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
	chooser->upstreams = upstream_table_new();
	atomic_init(&chooser->next_turn, 0);
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
	upstream_table_free(chooser->upstreams);
	str_release(&chooser->settings.host);
	str_release(&chooser->settings.zone);
	g_free(chooser);
}

/*
 * Pick an upstream for one attempt, or refuse it immediately. retry_after_ms
 * is randomized, so that callers refused together don't retry together. The
 * records in the choice belong to the request's snapshot.
 */
bool
chooser_pick(struct chooser *chooser, const struct choice_request *request,
    struct rng *rng, struct choice *choice, uint32_t *retry_after_ms)
{
	const struct service_view *service =
	    snapshot_service(request->snapshot, request->service);
	struct upstream_state *state;
	struct pick_result result = { .probe = false };
	bool found = false;

	*choice = (struct choice){ .upstream = NULL };
	*retry_after_ms = RETRY_AFTER_MIN_MS +
	    (uint32_t)rng_below(rng, RETRY_AFTER_JITTER_MS);
	if (service == NULL || service->upstream_count == 0) {
		counter_add(&chooser->counters, CHOICE_REFUSED_NO_SERVICE, 1);
		return false;
	}
	upstream_table_read_lock(chooser->upstreams);
	if (chooser_pick_index(chooser, request, service, rng, &result)) {
		found = true;
		choice->upstream = service->upstreams[result.index];
		choice->host = service->hosts[result.index];
		choice->probe = result.probe;
		state = upstream_table_find(
		    chooser->upstreams, choice->upstream->name);
		if (state != NULL)
			choice->known = hint_cell_read(&state->hint).hint;
	}
	upstream_table_read_unlock(chooser->upstreams);
	return found;
}

/*
 * Count the start of a call to an upstream.
 */
void
chooser_begin_call(struct chooser *chooser, struct str upstream)
{
	upstream_table_read_lock(chooser->upstreams);
	atomic_fetch_add(
	    &upstream_table_find_or_add(chooser->upstreams, upstream)
		 ->own_calls,
	    1);
	upstream_table_read_unlock(chooser->upstreams);
}

/*
 * Count the end of a call; to be called once for each chooser_begin_call. The
 * count does not go below zero when the state was pruned, and its count lost,
 * between the two.
 */
void
chooser_end_call(struct chooser *chooser, struct str upstream)
{
	struct upstream_state *state;
	uint_fast32_t own_calls = 0;

	upstream_table_read_lock(chooser->upstreams);
	state = upstream_table_find(chooser->upstreams, upstream);
	if (state != NULL)
		own_calls = atomic_load(&state->own_calls);
	while (own_calls > 0 &&
	    !atomic_compare_exchange_weak(
		&state->own_calls, &own_calls, own_calls - 1))
		;
	upstream_table_read_unlock(chooser->upstreams);
}

/*
 * Store the hint that a guard sent about itself. Every hint clears the losses
 * of the upstream.
 */
void
chooser_update_hint(
    struct chooser *chooser, struct str upstream, const struct guard_hint *hint)
{
	struct hint_view view = { .hint = *hint,
		.received_ms = chooser_now_ms(chooser) };
	struct upstream_state *state;
	bool accepted;

	if (hint->incarnation == 0)
		return;
	upstream_table_read_lock(chooser->upstreams);
	state = upstream_table_find_or_add(chooser->upstreams, upstream);
	view.own_calls = (uint32_t)atomic_load(&state->own_calls);
	accepted = hint_cell_write(&state->hint, &view);
	atomic_store(&state->losses, 0);
	atomic_store(&state->avoid_until_ms, 0);
	upstream_table_read_unlock(chooser->upstreams);
	counter_add(&chooser->counters,
	    accepted ? CHOICE_HINT_ACCEPTED : CHOICE_HINT_OUTDATED, 1);
}

/*
 * Handle a node that did not respond: avoid its upstream for a time that
 * doubles with each consecutive loss, then try it with one call. Its next
 * incarnation is unknown, so the next call to it carries no hint.
 */
void
chooser_mark_lost(struct chooser *chooser, struct str upstream)
{
	struct upstream_state *state;
	uint_fast32_t losses;
	int64_t avoid_ms;

	upstream_table_read_lock(chooser->upstreams);
	state = upstream_table_find_or_add(chooser->upstreams, upstream);
	losses = atomic_fetch_add(&state->losses, 1);
	avoid_ms = (int64_t)AVOID_INITIAL_MS << MIN(losses, AVOID_SHIFT_MAX);
	atomic_store(&state->avoid_until_ms,
	    chooser_now_ms(chooser) + MIN(avoid_ms, AVOID_MAX_MS));
	hint_cell_clear(&state->hint);
	upstream_table_read_unlock(chooser->upstreams);
	counter_add(&chooser->counters, CHOICE_UPSTREAM_LOST, 1);
}

/*
 * Remove the state of idle upstreams that the snapshot lacks. Waits for
 * readers, so it must run on a thread that may block.
 */
void
chooser_prune(struct chooser *chooser, const struct snapshot *snapshot)
{
	counter_add(&chooser->counters, CHOICE_UPSTREAM_PRUNED,
	    upstream_table_prune(chooser->upstreams, snapshot));
}

/*
 * Return the chooser's counters.
 */
const struct counter_set *
chooser_counters(const struct chooser *chooser)
{
	return &chooser->counters;
}
