#include <glib.h>

#include "guard/lag_policy.h"

enum {
	SLOT_MS = 500,
	WINDOW_MS = LAG_SLOTS * SLOT_MS,
	/* Below this a loop that isn't overloaded varies by itself. */
	LAG_MIN_MS = 20,
	/* Below this the estimates of run times are less exact than the lag. */
	REFUSE_LAG_MIN_MS = 50,
	/* Short beside the run time of a request. */
	SLICE_US = 4000,
	SLICE_LAGGING_US = 2000,
	/*
	 * A configuration must be in force 2,500 ms after it was written, of
	 * which it may have spent one second on its way here.
	 */
	HURRIED_AFTER_MS = 500,
	HURRIED_SLICE_US = 16000,
	FINISHED_AFTER_MS = 1000,
};

static bool
slot_is_recent(const struct lag_slot *slot, int64_t now_ms)
{
	return slot->begin_ms != 0 && now_ms - slot->begin_ms < WINDOW_MS;
}

/*
 * Record the lag of an iteration that ends now. One that is longer than the
 * window counts as long as that.
 */
void
lag_window_add(struct lag_window *window, int64_t lag_ms, int64_t now_ms)
{
	struct lag_slot *slot = &window->slots[now_ms / SLOT_MS % LAG_SLOTS];
	int64_t begin_ms = now_ms - now_ms % SLOT_MS;

	if (slot->begin_ms != begin_ms)
		*slot = (struct lag_slot){ .begin_ms = begin_ms };
	lag_ms = CLAMP(lag_ms, 0, WINDOW_MS);
	slot->max_ms = MAX(slot->max_ms, lag_ms);
	slot->square_sum += lag_ms * lag_ms;
}

/*
 * Return how long a request and its response will wait, on average. What comes
 * at any time meets a stall with a probability of its length, and then waits
 * for half of it, so the squares of the lengths count. The longest stall is
 * left out: a node that was stopped once serves again.
 */
uint32_t
lag_window_expected_ms(const struct lag_window *window, int64_t now_ms)
{
	int64_t peak_ms = lag_window_peak_ms(window, now_ms);
	int64_t square_sum = 0;

	for (size_t i = 0; i < LAG_SLOTS; i++)
		if (slot_is_recent(&window->slots[i], now_ms))
			square_sum += window->slots[i].square_sum;
	square_sum -= peak_ms * peak_ms;
	return (uint32_t)(square_sum / WINDOW_MS);
}

/*
 * Return the longest stall of the last seconds.
 */
int64_t
lag_window_peak_ms(const struct lag_window *window, int64_t now_ms)
{
	int64_t peak_ms = 0;

	for (size_t i = 0; i < LAG_SLOTS; i++)
		if (slot_is_recent(&window->slots[i], now_ms))
			peak_ms = MAX(peak_ms, window->slots[i].max_ms);
	return peak_ms;
}

/*
 * Tell whether to look for a close by the caller before a request is sent. It
 * costs a system call, so it is left out when the loop has just polled.
 */
bool
lag_policy_checks_caller(int64_t lag_ms, int64_t waited_ms)
{
	return lag_ms >= LAG_MIN_MS || waited_ms >= LAG_MIN_MS;
}

/*
 * Tell whether a request will probably miss its deadline: the upstream's
 * response waits for the loop once more, which is half of the expected lag.
 */
bool
lag_policy_refuses(
    int64_t expected_lag_ms, int64_t remaining_ms, int64_t run_ms)
{
	return expected_lag_ms >= REFUSE_LAG_MIN_MS &&
	    remaining_ms < run_ms + expected_lag_ms / 2;
}

/*
 * Return how long the next slice of a configuration may take, in microseconds.
 * Requests go first until the configuration is about to be late.
 */
int64_t
lag_policy_slice_us(int64_t expected_lag_ms, int64_t waiting_ms)
{
	if (waiting_ms >= FINISHED_AFTER_MS)
		return INT64_MAX;
	if (waiting_ms >= HURRIED_AFTER_MS)
		return HURRIED_SLICE_US;
	return expected_lag_ms >= LAG_MIN_MS ? SLICE_LAGGING_US : SLICE_US;
}
