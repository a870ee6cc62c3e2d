#include "guard/guard_private.h"

/*
 * Free a call that certainly did not run, and its place in the queue or in the
 * limit.
 */
void
guard_release(struct guard *guard, struct admitted_call *call)
{
	if (call->phase == CALL_QUEUED)
		g_queue_remove(&guard->queue, call);
	else
		guard->in_flight--;
	if (call->phase == CALL_RUNNING)
		guard->running--;
	if (call->dedup != NULL)
		dedup_record_mark_not_run(
		    guard->dedup, call->dedup, clock_now(guard->clock));
	g_hash_table_remove(guard->calls, &call->ticket);
}

/*
 * Tell whether the call's tick is older than the fence allows, plus the
 * maximum time in the queue.
 */
static bool
is_too_old(const struct guard *guard, const struct admitted_call *call)
{
	const struct fence *fence = &guard->fence;
	uint64_t age = fence_tick(fence, clock_now(guard->clock)) - call->tick;
	uint64_t queue_ticks =
	    guard->settings.queue_wait_ms / fence->tick_ms + 1;

	return age > fence->tick_bound + queue_ticks;
}

static enum refusal_reason
check_dispatch(const struct guard *guard, const struct admitted_call *call)
{
	struct timespec now = clock_now(guard->clock);

	if (call->cancelled)
		return REFUSAL_CANCELLED;
	if (!guard->in_service)
		return REFUSAL_OUT_OF_SERVICE;
	if (!timespec_before(now, call->deadline))
		return REFUSAL_DEADLINE;
	if (is_too_old(guard, call))
		return REFUSAL_FENCED;
	if (call->cold_epoch != guard->cold_epoch &&
	    guard->running >= limiter_current_limit(&guard->limiter, now))
		return REFUSAL_LIMIT;
	return REFUSAL_NONE;
}

/*
 * Check a granted call again right before its first byte is sent: this process
 * may have been suspended since, or the upstream may have been marked cold. On
 * false the call did not run and its ticket is invalid.
 */
bool
guard_confirm(struct guard *guard, uint64_t ticket, enum refusal_reason *reason)
{
	struct admitted_call *call = g_hash_table_lookup(guard->calls, &ticket);

	if (call == NULL || call->phase != CALL_GRANTED) {
		*reason = REFUSAL_CANCELLED;
		return false;
	}
	*reason = check_dispatch(guard, call);
	if (*reason != REFUSAL_NONE) {
		guard_count_refusal(guard, *reason);
		guard_release(guard, call);
		return false;
	}
	call->phase = CALL_RUNNING;
	call->cold_epoch = guard->cold_epoch;
	guard->running++;
	return true;
}

/*
 * Cancel a call for its sender. A queued call ends here and true is returned;
 * for any other, guard_confirm or guard_complete has to follow.
 */
bool
guard_cancel(struct guard *guard, uint64_t ticket)
{
	struct admitted_call *call = g_hash_table_lookup(guard->calls, &ticket);

	if (call == NULL)
		return false;
	call->cancelled = true;
	if (call->phase != CALL_QUEUED)
		return false;
	guard_count_refusal(guard, REFUSAL_CANCELLED);
	guard_release(guard, call);
	return true;
}

static bool
did_not_run(const struct admitted_call *call, enum guard_outcome outcome)
{
	return outcome == OUTCOME_SHED ||
	    outcome == OUTCOME_CONNECTION_REFUSED ||
	    call->phase == CALL_GRANTED;
}

static void
update_limiter(struct guard *guard, const struct admitted_call *call,
    enum guard_outcome outcome, uint32_t latency_us)
{
	bool cold = guard->limiter.phase == LIMITER_COLD;
	struct limiter_sample sample = {
		.outcome = outcome,
		.latency_us = latency_us,
		.in_flight = guard->in_flight,
		.stale = call->cold_epoch != guard->cold_epoch,
	};
	enum cold_cause cause = limiter_add_sample(
	    &guard->limiter, &sample, clock_now(guard->clock));

	if (cause != COLD_NONE)
		guard_mark_cold(guard, cause);
	if (!cold || guard->limiter.phase != LIMITER_WARM)
		return;
	counter_add(&guard->counters, GUARD_WARMED, 1);
	event_record(guard->events, EVENT_UPSTREAM_WARM, 0, 0,
	    guard->limiter.limit, guard->settings.upstream);
}

/*
 * Report how a call ended in the upstream. latency_us is the time from its
 * first byte sent to the first byte of the response, so that large responses
 * don't count as slow.
 */
void
guard_complete(struct guard *guard, uint64_t ticket, enum guard_outcome outcome,
    uint32_t latency_us)
{
	struct admitted_call *call = g_hash_table_lookup(guard->calls, &ticket);

	if (call == NULL || call->phase == CALL_QUEUED)
		return;
	counter_add(&guard->counters, GUARD_COMPLETED + outcome, 1);
	update_limiter(guard, call, outcome, latency_us);
	if (did_not_run(call, outcome)) {
		guard_release(guard, call);
		return;
	}
	guard->in_flight--;
	guard->running--;
	if (call->dedup != NULL)
		dedup_record_mark_ran(guard->dedup, call->dedup,
		    clock_now(guard->clock), call->deadline);
	g_hash_table_remove(guard->calls, &ticket);
}
