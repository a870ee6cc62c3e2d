#include <glib.h>

#include "route/load_estimate.h"

enum {
	DECAY_MIN_MS = 20, /* shortest assumed duration of other calls */
	/* A hint with a limit of 0 is valid for 1/8 of hint_fresh_ms. */
	PAUSED_FRESH_DIVISOR = 8,
	/* The queue is assumed to be as long as the limit. */
	QUEUE_LIMIT_FACTOR = 2,
	QUEUE_WAIT_MAX_US = 250000, /* assumed maximum wait */
	UNKNOWN_LIMIT = 1, /* concurrent calls to an upstream without a hint */
	US_PER_MS = 1000,
};

static uint32_t
other_calls(const struct hint_view *view)
{
	uint32_t all = view->hint.in_flight + view->hint.queued;

	return all > view->own_calls ? all - view->own_calls : 0;
}

/*
 * Other entries' calls according to the hint, reduced linearly to 0 over the
 * duration of a call there: those calls end, and new ones are not known.
 * Rounded up, or the one call of a cold upstream would be dropped at once.
 */
static uint32_t
decayed_other_calls(
    const struct hint_view *view, int64_t age_ms, int64_t fresh_ms)
{
	int64_t call_ms = MAX(view->hint.latency_us / US_PER_MS, DECAY_MIN_MS);
	int64_t span_ms = MIN(call_ms, fresh_ms);
	int64_t calls = other_calls(view);

	if (age_ms >= span_ms)
		return 0;
	return (uint32_t)((calls * (span_ms - age_ms) + span_ms - 1) / span_ms);
}

static struct load_estimate
estimate_unknown(uint32_t own_calls)
{
	struct load_estimate estimate = {
		.class =
		    own_calls < UNKNOWN_LIMIT ? LOAD_UNKNOWN : LOAD_UNAVAILABLE,
		.calls = own_calls,
		.limit = UNKNOWN_LIMIT,
	};

	return estimate;
}

/*
 * Estimate the load of an upstream from this entry's own calls in flight and
 * from the last hint about those of others. A hint older than hint_fresh_ms
 * is ignored; one with a limit of 0 (paused) after an eighth of that.
 */
struct load_estimate
load_estimate(
    struct upstream_state *state, int64_t now_ms, uint32_t hint_fresh_ms)
{
	struct load_estimate estimate = { .class = LOAD_UNAVAILABLE };
	struct hint_view view;
	int64_t age_ms;
	uint32_t own_calls;

	if (state == NULL)
		return estimate_unknown(0);
	own_calls = (uint32_t)atomic_load(&state->own_calls);
	if (now_ms < atomic_load(&state->avoid_until_ms))
		return estimate;
	view = hint_cell_read(&state->hint);
	age_ms = MAX(now_ms - view.received_ms, 0);
	if (view.hint.incarnation == 0 || age_ms >= hint_fresh_ms)
		return estimate_unknown(own_calls);
	if (!view.hint.accepting)
		return estimate;
	if (view.hint.limit == 0)
		return age_ms < hint_fresh_ms / PAUSED_FRESH_DIVISOR
		    ? estimate
		    : estimate_unknown(own_calls);
	estimate.limit = view.hint.limit;
	estimate.calls =
	    own_calls + decayed_other_calls(&view, age_ms, hint_fresh_ms);
	if (estimate.calls < estimate.limit) {
		estimate.class = LOAD_FREE;
		return estimate;
	}
	estimate.wait_us = (uint64_t)(estimate.calls + 1 - estimate.limit) *
	    view.hint.latency_us / estimate.limit;
	if (estimate.calls < QUEUE_LIMIT_FACTOR * estimate.limit &&
	    estimate.wait_us <= QUEUE_WAIT_MAX_US)
		estimate.class = LOAD_BUSY;
	return estimate;
}

/*
 * Compare the waits, then the loads, without a division: a.calls / a.limit <
 * b.calls / b.limit. By load alone the queue of a cold upstream would look
 * shorter than that of a warm one, which drains faster.
 */
bool
load_is_lower(struct load_estimate a, struct load_estimate b)
{
	if (a.wait_us != b.wait_us)
		return a.wait_us < b.wait_us;
	return (uint64_t)a.calls * b.limit < (uint64_t)b.calls * a.limit;
}
