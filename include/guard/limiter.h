#ifndef TREFOILHILL_GUARD_LIMITER_H
#define TREFOILHILL_GUARD_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "guard/guard.h"

/*
 * How many calls at once the upstream may get. Learns from completed work
 * only: what the upstream says of itself and the passing of time never raise
 * the limit.
 */
enum limiter_phase {
	LIMITER_COLD, /* slow start */
	LIMITER_WARM,
};

enum cold_cause {
	COLD_NONE,
	COLD_STARTED,            /* this process knows nothing yet */
	COLD_CONNECTION_REFUSED, /* connections refused */
	COLD_FAILURES,
	COLD_LATENCY,
	COLD_IDLE,            /* no evidence for a while */
	COLD_BACK_IN_SERVICE, /* host or zone came back into service */
	COLD_CAUSE_COUNT,
};

struct limiter {
	enum limiter_phase phase;
	uint32_t slots;
	uint32_t cold_limit;
	uint32_t limit;
	uint32_t successes;      /* good completions since the last step */
	uint32_t peak_in_flight; /* calls at once since the last step */
	uint32_t consecutive_failures; /* in a row */
	uint32_t backoff_ms;           /* of the last pause, 0 when none */
	struct timespec paused_until;
	struct timespec last_sample;
	/* Latency, in microseconds. */
	uint32_t mean_us;
	uint32_t baseline_us; /* 0: not known yet */
	uint32_t window_count;
	uint32_t window_min_us;
	bool window_reached_limit;
};

struct limiter_sample {
	enum guard_outcome outcome;
	uint32_t latency_us;
	uint32_t in_flight; /* this call included */
	bool stale;         /* dispatched before the last turn to cold */
};

void limiter_init(struct limiter *limiter, uint32_t slots, uint32_t cold_limit,
    struct timespec now);
/* What the call's end shows; COLD_NONE or why the upstream counts as cold. */
enum cold_cause limiter_add_sample(struct limiter *limiter,
    const struct limiter_sample *sample, struct timespec now);
/* Before a dispatch: has the evidence grown too old? */
bool limiter_is_stale(const struct limiter *limiter, struct timespec now);
void limiter_set_cold(struct limiter *limiter, struct timespec now);
/* Calls at once that may run now; 0 during a pause after failures. */
uint32_t limiter_current_limit(
    const struct limiter *limiter, struct timespec now);
uint32_t limiter_pause_ms(const struct limiter *limiter, struct timespec now);

#endif
