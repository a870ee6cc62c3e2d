#include "guard/guard_private.h"

/*
 * Count a refusal by its reason.
 */
void
guard_count_refusal(struct guard *guard, enum refusal_reason reason)
{
	counter_add(&guard->counters, GUARD_REFUSED + reason, 1);
}

/*
 * Count a refused call and record it, so that a copy of it can't be admitted
 * after its sender was told that it did not run. If there is no room to record
 * it, the fence rejects everything as old as this call. A call with another
 * incarnation needs no entry, as the fence rejects every copy of it.
 */
static enum refusal_reason
refuse_call(struct guard *guard, const struct guard_call *call,
    enum refusal_reason reason)
{
	struct timespec now = clock_now(guard->clock);

	guard_count_refusal(guard, reason);
	if (call->idempotent || call->incarnation != guard->fence.incarnation)
		return reason;
	if (!dedup_record_add_refusal(
		guard->dedup, call->request, call->attempt, now))
		fence_raise_floor(&guard->fence, now);
	return reason;
}

/*
 * Check everything that does not depend on the load. The deduplication record
 * comes first: the sender of a copy of a call that is running here must not be
 * told "not run" for another reason.
 */
static enum refusal_reason
check_call(struct guard *guard, const struct guard_call *call)
{
	struct timespec now = clock_now(guard->clock);
	enum dedup_verdict verdict = DEDUP_NEW;

	if (!call->idempotent)
		verdict = dedup_record_check(
		    guard->dedup, call->request, call->key, call->attempt, now);
	if (verdict == DEDUP_DUPLICATE)
		return REFUSAL_DUPLICATE;
	if (!fence_allows(&guard->fence, call->incarnation, call->tick, now) ||
	    verdict == DEDUP_REFUSED)
		return REFUSAL_FENCED;
	if (!guard->ready)
		return REFUSAL_NOT_READY;
	if (guard->draining)
		return REFUSAL_DRAINING;
	if (!guard->in_service)
		return REFUSAL_OUT_OF_SERVICE;
	if (!timespec_before(now, call->deadline))
		return REFUSAL_DEADLINE;
	return REFUSAL_NONE;
}

static bool
has_room(const struct guard *guard)
{
	return guard->in_flight <
	    limiter_current_limit(&guard->limiter, clock_now(guard->clock));
}

/*
 * Tell whether the call may be queued. The queue is bounded by its length and
 * by the expected wait, which must also end before the call's deadline.
 */
static enum refusal_reason
check_queue(const struct guard *guard, const struct guard_call *call)
{
	struct timespec now = clock_now(guard->clock);
	int64_t wait_ms = guard_expected_wait_ms(guard, guard->queue.length);

	if (guard->queue.length >= guard->settings.queue_limit)
		return REFUSAL_LIMIT;
	if (wait_ms > guard->settings.queue_wait_ms)
		return REFUSAL_QUEUE_WAIT;
	if (wait_ms >= timespec_ms_between(now, call->deadline))
		return REFUSAL_QUEUE_WAIT;
	return REFUSAL_NONE;
}

static struct admitted_call *
add_call(struct guard *guard, const struct guard_call *call,
    struct dedup_entry *dedup)
{
	struct admitted_call *admitted = g_new0(struct admitted_call, 1);

	admitted->ticket = ++guard->next_ticket;
	admitted->tick = call->tick;
	admitted->deadline = call->deadline;
	admitted->dedup = dedup;
	g_hash_table_insert(guard->calls, &admitted->ticket, admitted);
	return admitted;
}

static void
grant(struct guard *guard, struct admitted_call *admitted)
{
	admitted->phase = CALL_GRANTED;
	admitted->cold_epoch = guard->cold_epoch;
	guard->in_flight++;
}

static void
enqueue(struct guard *guard, struct admitted_call *admitted)
{
	struct timespec limit = timespec_plus_ms(
	    clock_now(guard->clock), guard->settings.queue_wait_ms);

	admitted->phase = CALL_QUEUED;
	admitted->queue_deadline = timespec_before(limit, admitted->deadline)
	    ? limit
	    : admitted->deadline;
	g_queue_push_tail(&guard->queue, admitted);
	counter_add(&guard->counters, GUARD_QUEUED, 1);
}

/*
 * Decide whether a call runs now, is queued, or is refused before the upstream
 * sees a byte of it. The call's strings are copied if needed. ticket is set
 * unless the call is refused; reason is REFUSAL_NONE unless it is.
 */
enum guard_decision
guard_admit(struct guard *guard, const struct guard_call *call,
    uint64_t *ticket, enum refusal_reason *reason)
{
	struct timespec now = clock_now(guard->clock);
	struct dedup_entry *dedup = NULL;
	struct admitted_call *admitted;
	bool run;

	*reason = check_call(guard, call);
	if (*reason == REFUSAL_DUPLICATE) {
		guard_count_refusal(guard, *reason);
		return GUARD_REFUSE;
	}
	if (guard->in_flight == 0 && limiter_is_stale(&guard->limiter, now))
		guard_mark_cold(guard, COLD_IDLE);
	run = guard->queue.length == 0 && has_room(guard);
	if (*reason == REFUSAL_NONE && !run)
		*reason = check_queue(guard, call);
	if (*reason == REFUSAL_NONE && !call->idempotent &&
	    dedup_record_insert(guard->dedup, call->request, call->key,
		call->attempt, now, &dedup) != DEDUP_NEW)
		*reason = REFUSAL_RECORD_FULL;
	if (*reason != REFUSAL_NONE) {
		*reason = refuse_call(guard, call, *reason);
		return GUARD_REFUSE;
	}
	admitted = add_call(guard, call, dedup);
	*ticket = admitted->ticket;
	if (!run) {
		enqueue(guard, admitted);
		return GUARD_QUEUE;
	}
	grant(guard, admitted);
	counter_add(&guard->counters, GUARD_ADMITTED, 1);
	return GUARD_RUN;
}

/*
 * Return a queued call that has to be refused now, and the reason; NULL if
 * there is none.
 */
static struct admitted_call *
find_overdue(struct guard *guard, enum refusal_reason *reason)
{
	struct timespec now = clock_now(guard->clock);

	for (GList *l = guard->queue.head; l != NULL; l = l->next) {
		struct admitted_call *admitted = l->data;

		if (!guard->in_service) {
			*reason = REFUSAL_OUT_OF_SERVICE;
			return admitted;
		}
		if (!timespec_before(now, admitted->queue_deadline)) {
			*reason = timespec_before(now, admitted->deadline)
			    ? REFUSAL_QUEUE_WAIT
			    : REFUSAL_DEADLINE;
			return admitted;
		}
	}
	return NULL;
}

/*
 * Take the next call that may run or has to be refused now out of the queue;
 * returns false when there is none. Has to be called until it returns false
 * after each completion, each tick and each change of the guard's state.
 */
bool
guard_dequeue(struct guard *guard, uint64_t *ticket,
    enum guard_decision *decision, enum refusal_reason *reason)
{
	struct admitted_call *admitted = find_overdue(guard, reason);

	if (admitted != NULL) {
		*ticket = admitted->ticket;
		*decision = GUARD_REFUSE;
		guard_count_refusal(guard, *reason);
		guard_release(guard, admitted);
		return true;
	}
	if (guard->queue.length == 0 || !has_room(guard))
		return false;
	admitted = g_queue_pop_head(&guard->queue);
	grant(guard, admitted);
	counter_add(&guard->counters, GUARD_DEQUEUED, 1);
	*ticket = admitted->ticket;
	*decision = GUARD_RUN;
	*reason = REFUSAL_NONE;
	return true;
}
