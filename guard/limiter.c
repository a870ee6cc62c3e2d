#include <glib.h>

#include "guard/limiter.h"

enum {
	STEP_COMPLETIONS = 10, /* successes needed to raise the limit by one */
	/* Consecutive failures after which the upstream counts as down. */
	FAILURES_COLD = 2,
	FAILURES_WARM = 3, /* or as cold */
	WINDOW_MIN_COMPLETIONS = 10,
	IDLE_MS = 10000, /* without results the upstream counts as cold */
	BACKOFF_FIRST_MS = 50,
	BACKOFF_MAX_MS = 500,
	MEAN_WEIGHT_DIVISOR = 8, /* weight of a sample in the mean: 1/8 */
	/* The baseline rises by 1/8 of the difference in a window. */
	BASELINE_DRIFT_DIVISOR = 8,
	/* Above factor * baseline + slack the limit is lowered. */
	SLOW_FACTOR = 2,
	SLOW_SLACK_US = 2000,
	/* Above factor * baseline + slack the upstream counts as cold. */
	JUMP_FACTOR = 4,
	JUMP_SLACK_US = 20000,
	/* The limit is lowered to 7/8. */
	LOWER_NUMERATOR = 7,
	LOWER_DENOMINATOR = 8,
};

static void
reset_step(struct limiter *limiter)
{
	limiter->successes = 0;
	limiter->peak_in_flight = 0;
}

/*
 * Initialize a limiter at the cold limit, as nothing is known of the upstream
 * yet. slots and cold_limit are calls that may run at once.
 */
void
limiter_init(struct limiter *limiter, uint32_t slots, uint32_t cold_limit,
    struct timespec now)
{
	*limiter = (struct limiter){
		.slots = MAX(slots, 1),
		.paused_until = now,
	};
	limiter->cold_limit = CLAMP(cold_limit, 1, limiter->slots);
	limiter_set_cold(limiter, now);
}

/*
 * Go back to the cold limit. The latency baseline is reset too, as a cold
 * upstream may be slower than before.
 */
void
limiter_set_cold(struct limiter *limiter, struct timespec now)
{
	limiter->phase =
	    limiter->cold_limit < limiter->slots ? LIMITER_COLD : LIMITER_WARM;
	limiter->limit = limiter->cold_limit;
	reset_step(limiter);
	limiter->baseline_us = 0;
	limiter->window_count = 0;
	limiter->window_reached_limit = false;
	limiter->last_sample = now;
}

/*
 * Tell whether no call has completed for so long that the upstream may have
 * gone cold without notice.
 */
bool
limiter_is_stale(const struct limiter *limiter, struct timespec now)
{
	return limiter->limit > limiter->cold_limit &&
	    timespec_ms_between(limiter->last_sample, now) >= IDLE_MS;
}

/*
 * Return the remaining time of the pause after failures, in milliseconds.
 */
uint32_t
limiter_pause_ms(const struct limiter *limiter, struct timespec now)
{
	int64_t ms = timespec_ms_between(now, limiter->paused_until);

	return ms > 0 ? (uint32_t)ms : 0;
}

/*
 * Return how many calls may run in the upstream at once now.
 */
uint32_t
limiter_current_limit(const struct limiter *limiter, struct timespec now)
{
	return limiter_pause_ms(limiter, now) > 0 ? 0 : limiter->limit;
}

/*
 * Pause all calls after a failure, with exponential backoff, so that a broken
 * upstream that fails fast does not attract all calls.
 */
static void
begin_pause(struct limiter *limiter, struct timespec now)
{
	if (limiter->backoff_ms == 0)
		limiter->backoff_ms = BACKOFF_FIRST_MS;
	else
		limiter->backoff_ms =
		    MIN(limiter->backoff_ms * 2, BACKOFF_MAX_MS);
	limiter->paused_until = timespec_plus_ms(now, limiter->backoff_ms);
}

static void
lower_limit(struct limiter *limiter)
{
	uint32_t lowered = limiter->limit * LOWER_NUMERATOR / LOWER_DENOMINATOR;

	limiter->limit = MAX(lowered, limiter->cold_limit);
	reset_step(limiter);
}

static void
raise_limit(struct limiter *limiter)
{
	reset_step(limiter);
	if (limiter->limit < limiter->slots)
		limiter->limit++;
	if (limiter->limit == limiter->slots)
		limiter->phase = LIMITER_WARM;
}

/*
 * Compare the minimum latency of a window with the baseline. The minimum is
 * used because calls differ in their work: slow calls mean nothing while fast
 * ones get through, whereas an overloaded upstream slows down all of them.
 */
static enum cold_cause
evaluate_window(struct limiter *limiter)
{
	uint64_t fastest = limiter->window_min_us;
	uint64_t baseline = limiter->baseline_us;
	enum cold_cause cause = COLD_NONE;

	if (baseline == 0 || fastest < baseline)
		limiter->baseline_us = (uint32_t)MAX(fastest, 1);
	else
		limiter->baseline_us +=
		    (uint32_t)((fastest - baseline) / BASELINE_DRIFT_DIVISOR);
	if (baseline != 0 && fastest > JUMP_FACTOR * baseline + JUMP_SLACK_US)
		cause = COLD_LATENCY;
	else if (baseline != 0 && limiter->window_reached_limit &&
	    fastest > SLOW_FACTOR * baseline + SLOW_SLACK_US)
		lower_limit(limiter);
	limiter->window_count = 0;
	limiter->window_reached_limit = false;
	return cause;
}

static enum cold_cause
update_on_success(struct limiter *limiter, const struct limiter_sample *sample)
{
	int64_t change =
	    (int64_t)sample->latency_us - (int64_t)limiter->mean_us;

	limiter->consecutive_failures = 0;
	limiter->backoff_ms = 0;
	if (limiter->mean_us == 0)
		limiter->mean_us = sample->latency_us;
	else
		limiter->mean_us =
		    (uint32_t)(limiter->mean_us + change / MEAN_WEIGHT_DIVISOR);
	if (limiter->window_count == 0 ||
	    sample->latency_us < limiter->window_min_us)
		limiter->window_min_us = sample->latency_us;
	limiter->window_count++;
	limiter->successes++;
	limiter->peak_in_flight =
	    MAX(limiter->peak_in_flight, sample->in_flight);
	if (sample->in_flight >= limiter->limit)
		limiter->window_reached_limit = true;
	if (limiter->successes >= STEP_COMPLETIONS &&
	    limiter->peak_in_flight >= limiter->limit)
		raise_limit(limiter);
	if (limiter->window_count < MAX(limiter->limit, WINDOW_MIN_COMPLETIONS))
		return COLD_NONE;
	return evaluate_window(limiter);
}

static enum cold_cause
update_on_failure(
    struct limiter *limiter, enum cold_cause cause, struct timespec now)
{
	uint32_t failures_max =
	    limiter->phase == LIMITER_COLD ? FAILURES_COLD : FAILURES_WARM;

	limiter->consecutive_failures++;
	reset_step(limiter);
	if (limiter->phase == LIMITER_COLD ||
	    limiter->consecutive_failures >= failures_max ||
	    cause == COLD_CONNECTION_REFUSED)
		begin_pause(limiter, now);
	if (limiter->limit <= limiter->cold_limit)
		return COLD_NONE;
	if (limiter->consecutive_failures < failures_max &&
	    cause != COLD_CONNECTION_REFUSED)
		return COLD_NONE;
	return cause;
}

static void
update_on_shed(struct limiter *limiter, struct timespec now)
{
	lower_limit(limiter);
	if (limiter->limit <= limiter->cold_limit)
		begin_pause(limiter, now);
}

/*
 * Add the result of a call. Returns why the upstream counts as cold from now
 * on, in which case limiter_set_cold has to be called, or COLD_NONE. Results
 * of calls dispatched before the upstream was last marked cold are ignored, as
 * they say nothing about its present state.
 */
enum cold_cause
limiter_add_sample(struct limiter *limiter, const struct limiter_sample *sample,
    struct timespec now)
{
	if (sample->stale || sample->outcome == OUTCOME_CANCELLED)
		return COLD_NONE;
	limiter->last_sample = now;
	switch (sample->outcome) {
	case OUTCOME_OK:
		return update_on_success(limiter, sample);
	case OUTCOME_SHED:
		update_on_shed(limiter, now);
		return COLD_NONE;
	case OUTCOME_CONNECTION_REFUSED:
		return update_on_failure(limiter, COLD_CONNECTION_REFUSED, now);
	case OUTCOME_FAILED:
	case OUTCOME_TIMEOUT:
		return update_on_failure(limiter, COLD_FAILURES, now);
	case OUTCOME_CANCELLED:
		break;
	}
	return COLD_NONE;
}
