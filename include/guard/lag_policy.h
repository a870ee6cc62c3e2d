#ifndef TREFOILHILL_GUARD_LAG_POLICY_H
#define TREFOILHILL_GUARD_LAG_POLICY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * What a node does while its event loop lags behind its sockets. Addresses a
 * node of 0.1 core that gets more events than it can handle, or that was
 * stopped for seconds: its requests have waited unseen, and their callers may
 * have left. Pure functions; times are in milliseconds unless named otherwise.
 */
enum {
	LAG_SLOTS = 6,
};

/* The stalls of an event loop in the last seconds, by the time they ended. */
struct lag_window {
	struct lag_slot {
		int64_t begin_ms; /* 0: none yet */
		int64_t max_ms;
		int64_t square_sum; /* of their lengths, ms^2 */
	} slots[LAG_SLOTS];
};

/* Record the lag of an iteration that ends now. */
void lag_window_add(struct lag_window *window, int64_t lag_ms, int64_t now_ms);
/*
 * How long a request and its response will wait for the loop, on average, if it
 * goes on as in the last seconds. A single stall says nothing of what follows.
 */
uint32_t lag_window_expected_ms(
    const struct lag_window *window, int64_t now_ms);
/*
 * The longest stall of the last seconds. What came meanwhile may be read some
 * iterations later, when its connection has been accepted.
 */
int64_t lag_window_peak_ms(const struct lag_window *window, int64_t now_ms);

/*
 * May the caller of a request that waited for waited_ms have left without the
 * loop having seen it, while the loop lags by lag_ms?
 */
bool lag_policy_checks_caller(int64_t lag_ms, int64_t waited_ms);
/*
 * Is a request that runs for run_ms and has remaining_ms left refused, because
 * its response would probably wait past its deadline, given the expected lag of
 * request and response?
 */
bool lag_policy_refuses(
    int64_t expected_lag_ms, int64_t remaining_ms, int64_t run_ms);
/*
 * How long a slice of a configuration that waits since waiting_ms may take, in
 * microseconds.
 */
int64_t lag_policy_slice_us(int64_t expected_lag_ms, int64_t waiting_ms);

#endif
