#include <glib.h>

#include "route/load_estimate.h"

enum {
	LOAD_SHARE = 8,    /* calls of others are fresh for 1/8 of the time */
	QUEUE_SHARE = 2,   /* queue guessed as long as the limit */
	UNKNOWN_LIMIT = 1, /* calls at once to an upstream without a hint */
};

static uint32_t
others_at(const struct hint_view *view)
{
	uint32_t all = view->hint.in_flight + view->hint.queued;

	return all > view->own ? all - view->own : 0;
}

/*
 * Other entries' calls as the hint told of them, fading away within load_ms:
 * they end, and new ones are not known.
 */
static uint32_t
fade(uint32_t calls, int64_t age_ms, int64_t load_ms)
{
	if (age_ms >= load_ms)
		return 0;
	return (uint32_t)((uint64_t)calls * (uint64_t)(load_ms - age_ms) /
	    (uint64_t)load_ms);
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
	int64_t age_ms, load_ms = MAX(hint_fresh_ms / LOAD_SHARE, 1);
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
		return age_ms < load_ms ? estimate : estimate_unknown(own);
	estimate.limit = view.hint.limit;
	estimate.calls = own + fade(others_at(&view), age_ms, load_ms);
	if (estimate.calls < estimate.limit)
		estimate.class = LOAD_FREE;
	else if (estimate.calls < QUEUE_SHARE * estimate.limit)
		estimate.class = LOAD_BUSY;
	return estimate;
}

/*
 * Compare two loads without dividing: a.calls / a.limit < b.calls / b.limit.
 */
bool
load_is_lower(struct load_estimate a, struct load_estimate b)
{
	return (uint64_t)a.calls * b.limit < (uint64_t)b.calls * a.limit;
}
