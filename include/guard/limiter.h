#ifndef TREFOILHILL_GUARD_LIMITER_H
#define TREFOILHILL_GUARD_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "guard/guard.h"

/*
 * Adaptive concurrency limit. Only completed calls raise the limit, never the
 * passing of time nor what the upstream reports about itself. When the upstream
 * counts as cold, see enum cold_cause, it starts again from a low limit.
 */
enum limiter_phase {
	LIMITER_COLD, /* slow start */
	LIMITER_WARM,
};

enum cold_cause {
	COLD_NONE,
	COLD_STARTED, /* this process has just started */
	COLD_CONNECTION_REFUSED,
	COLD_FAILURES,
	COLD_LATENCY,
	COLD_IDLE,            /* no completed call for a while */
	COLD_BACK_IN_SERVICE, /* host or zone is in service again */
	COLD_CAUSE_COUNT,
};

struct limiter {
	enum limiter_phase phase;
	uint32_t slots;
	uint32_t cold_limit;
	uint32_t limit;
	uint32_t successes;      /* since the last failure or limit change */
	uint32_t peak_in_flight; /* since the last failure or limit change */
	uint32_t consecutive_failures;
	uint32_t backoff_ms; /* length of the last pause; 0: none */
	struct timespec paused_until;
	struct timespec last_sample; /* or when the limiter was set cold */
	uint32_t mean_us;            /* moving average of the latency */
	uint32_t baseline_us;        /* minimum latency; 0: not known yet */
	uint32_t window_count;
	uint32_t window_min_us;
	bool window_reached_limit;
};

struct limiter_sample {
	enum guard_outcome outcome;
	uint32_t latency_us;
	uint32_t in_flight; /* this call included */
	bool stale;         /* dispatched before the last mark as cold */
};

void limiter_init(struct limiter *limiter, uint32_t slots, uint32_t cold_limit,
    struct timespec now);
/* Add a result; returns why the upstream is cold now, else COLD_NONE. */
enum cold_cause limiter_add_sample(struct limiter *limiter,
    const struct limiter_sample *sample, struct timespec now);
/* Tell whether the last result is too old to keep the present limit. */
bool limiter_is_stale(const struct limiter *limiter, struct timespec now);
/* Go back to the cold limit. */
void limiter_set_cold(struct limiter *limiter, struct timespec now);
/* Calls that may run at once now; 0 during a pause after failures. */
uint32_t limiter_current_limit(
    const struct limiter *limiter, struct timespec now);
/* Remaining time of the pause after failures. */
uint32_t limiter_pause_ms(const struct limiter *limiter, struct timespec now);

#endif
