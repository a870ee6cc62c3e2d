#include <glib.h>

#include "route/load_estimate.h"

enum {
	FADE_MIN_MS = 20,       /* others' calls are thought to last so long */
	PAUSE_SHARE = 8,        /* a pause is believed for 1/8 of freshness */
	QUEUE_SHARE = 2,        /* queue guessed as long as the limit */
	QUEUE_WAIT_US = 250000, /* and no call stays in it for longer */
	UNKNOWN_LIMIT = 1, /* calls at once to an upstream without a hint */
	US_PER_MS = 1000,
};

static uint32_t
others_at(const struct hint_view *view)
{
	uint32_t all = view->hint.in_flight + view->hint.queued;

	return all > view->own ? all - view->own : 0;
}

/*
 * Other entries' calls as the hint told of them, fading away within the time
 * that a call lasts there: they end, and new ones are not known. Rounded up,
 * or the one call of a cold upstream would be forgotten at once.
 */
static uint32_t
fade(const struct hint_view *view, int64_t age_ms, int64_t fresh_ms)
{
	int64_t last_ms = MAX(view->hint.latency_us / US_PER_MS, FADE_MIN_MS);
	int64_t load_ms = MIN(last_ms, fresh_ms);
	int64_t calls = others_at(view);

	if (age_ms >= load_ms)
		return 0;
	return (uint32_t)((calls * (load_ms - age_ms) + load_ms - 1) / load_ms);
}

static struct load_estimate
estimate_unknown(uint32_t own)
{
	struct load_estimate estimate = {
		.class = own < UNKNOWN_LIMIT ? LOAD_UNKNOWN : LOAD_AVOID,
		.calls = own,
		.limit = UNKNOWN_LIMIT,
	};

	return estimate;
}

/*
 * Estimate how loaded an upstream is: own calls in flight are known, those of
 * others by the last hint. A hint older than hint_fresh_ms says nothing; one
 * that said "paused" says nothing after an eighth of that.
 */
struct load_estimate
load_estimate(struct peer *peer, int64_t now_ms, uint32_t hint_fresh_ms)
{
	struct load_estimate estimate = { .class = LOAD_AVOID };
	struct hint_view view;
	int64_t age_ms;
	uint32_t own;

	if (peer == NULL)
		return estimate_unknown(0);
	own = (uint32_t)atomic_load(&peer->own);
	if (now_ms < atomic_load(&peer->until_ms))
		return estimate;
	view = hint_cell_read(&peer->hint);
	age_ms = MAX(now_ms - view.learned_ms, 0);
	if (view.hint.incarnation == 0 || age_ms >= hint_fresh_ms)
		return estimate_unknown(own);
	if (!view.hint.accepting)
		return estimate;
	if (view.hint.limit == 0)
		return age_ms < hint_fresh_ms / PAUSE_SHARE
		    ? estimate
		    : estimate_unknown(own);
	estimate.limit = view.hint.limit;
	estimate.calls = own + fade(&view, age_ms, hint_fresh_ms);
	if (estimate.calls < estimate.limit) {
		estimate.class = LOAD_FREE;
		return estimate;
	}
	estimate.wait_us = (uint64_t)(estimate.calls + 1 - estimate.limit) *
	    view.hint.latency_us / estimate.limit;
	if (estimate.calls < QUEUE_SHARE * estimate.limit &&
	    estimate.wait_us <= QUEUE_WAIT_US)
		estimate.class = LOAD_BUSY;
	return estimate;
}

/*
 * Compare the waits, else the loads without dividing: a.calls / a.limit <
 * b.calls / b.limit. By load alone the queue of a cold upstream would look
 * shorter than that of a warm one, whose turns come sooner.
 */
bool
load_is_lower(struct load_estimate a, struct load_estimate b)
{
	if (a.wait_us != b.wait_us)
		return a.wait_us < b.wait_us;
	return (uint64_t)a.calls * b.limit < (uint64_t)b.calls * a.limit;
}
