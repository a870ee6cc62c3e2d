#include "guard/state.h"

/*
 * Forget a held call that surely did not run.
 */
void
guard_release(struct guard *guard, struct held_call *call)
{
	if (call->phase == HELD_QUEUED)
		g_queue_remove(&guard->queue, call);
	else
		guard->in_flight--;
	if (call->phase == HELD_RUNNING)
		guard->running--;
	if (call->once != NULL)
		once_record_not_run(
		    guard->once, call->once, clock_now(guard->clock));
	g_hash_table_remove(guard->calls, &call->ticket);
}

/*
 * Has the call grown too old since its sender heard of this guard? The time
 * that it may spend in the queue is allowed on top.
 */
static bool
is_outdated(const struct guard *guard, const struct held_call *call)
{
	const struct fence *fence = &guard->fence;
	uint64_t age = fence_tick(fence, clock_now(guard->clock)) - call->tick;
	uint64_t queue_ticks =
	    guard->settings.queue_wait_ms / fence->tick_ms + 1;

	return age > fence->tick_bound + queue_ticks;
}

static enum refusal_reason
check_dispatch(const struct guard *guard, const struct held_call *call)
{
	struct timespec now = clock_now(guard->clock);

	if (call->cancelled)
		return REFUSAL_CANCELLED;
	if (!guard->in_service)
		return REFUSAL_OUT;
	if (!timespec_before(now, call->deadline))
		return REFUSAL_DEADLINE;
	if (is_outdated(guard, call))
		return REFUSAL_FENCED;
	if (call->epoch != guard->epoch &&
	    guard->running >= limiter_allowance(&guard->limiter, now))
		return REFUSAL_LIMIT;
	return REFUSAL_NONE;
}

/*
 * Re-check a granted call right before its first byte goes out: this process
 * may have stood still since, or the upstream have turned cold. False ends
 * the ticket, and the call did not run.
 */
bool
guard_confirm(struct guard *guard, uint64_t ticket, enum refusal_reason *reason)
{
	struct held_call *call = g_hash_table_lookup(guard->calls, &ticket);

	if (call == NULL || call->phase != HELD_GRANTED) {
		*reason = REFUSAL_CANCELLED;
		return false;
	}
	*reason = check_dispatch(guard, call);
	if (*reason != REFUSAL_NONE) {
		guard_refuse(guard, *reason);
		guard_release(guard, call);
		return false;
	}
	call->phase = HELD_RUNNING;
	call->epoch = guard->epoch;
	guard->running++;
	return true;
}

/*
 * The sender gave the call up. A queued one ends here; of any other the
 * outcome is still to come.
 */
bool
guard_cancel(struct guard *guard, uint64_t ticket)
{
	struct held_call *call = g_hash_table_lookup(guard->calls, &ticket);

	if (call == NULL)
		return false;
	call->cancelled = true;
	if (call->phase != HELD_QUEUED)
		return false;
	guard_refuse(guard, REFUSAL_CANCELLED);
	guard_release(guard, call);
	return true;
}

static bool
did_not_run(const struct held_call *call, enum guard_outcome outcome)
{
	return outcome == OUTCOME_SHED || outcome == OUTCOME_REFUSED ||
	    call->phase == HELD_GRANTED;
}

static void
learn(struct guard *guard, const struct held_call *call,
    enum guard_outcome outcome, uint32_t latency_us)
{
	bool cold = guard->limiter.phase == LIMITER_COLD;
	struct limiter_sample sample = {
		.outcome = outcome,
		.latency_us = latency_us,
		.in_flight = guard->in_flight,
		.stale = call->epoch != guard->epoch,
	};
	enum cold_cause cause =
	    limiter_learn(&guard->limiter, &sample, clock_now(guard->clock));

	if (cause != COLD_NONE)
		guard_chill(guard, cause);
	if (!cold || guard->limiter.phase != LIMITER_WARM)
		return;
	counter_add(&guard->counters, GUARD_WARMED, 1);
	event_record(guard->events, EVENT_UPSTREAM_WARM, 0, 0,
	    guard->limiter.limit, guard->settings.upstream);
}

/*
 * A call has ended in the upstream. latency_us is the time from its first
 * byte sent to the first byte of the answer, so that the size of an answer
 * does not pass for slowness.
 */
void
guard_complete(struct guard *guard, uint64_t ticket, enum guard_outcome outcome,
    uint32_t latency_us)
{
	struct held_call *call = g_hash_table_lookup(guard->calls, &ticket);

	if (call == NULL || call->phase == HELD_QUEUED)
		return;
	counter_add(&guard->counters, GUARD_COMPLETED + outcome, 1);
	learn(guard, call, outcome, latency_us);
	if (did_not_run(call, outcome)) {
		guard_release(guard, call);
		return;
	}
	guard->in_flight--;
	guard->running--;
	if (call->once != NULL)
		once_record_ran(guard->once, call->once,
		    clock_now(guard->clock), call->deadline);
	g_hash_table_remove(guard->calls, &ticket);
}
