#include "guard/state.h"

/*
 * Count a refusal.
 */
void
guard_refuse(struct guard *guard, enum refusal_reason reason)
{
	counter_add(&guard->counters, GUARD_REFUSED + reason, 1);
}

/*
 * Remember a refused call, so that a second copy of it can't be admitted
 * after its sender was told that it did not run. A copy that bears another
 * incarnation can never be.
 */
static enum refusal_reason
refuse_new(struct guard *guard, const struct guard_call *call,
    enum refusal_reason reason)
{
	struct timespec now = clock_now(guard->clock);

	guard_refuse(guard, reason);
	if (call->idempotent || call->incarnation != guard->fence.incarnation)
		return reason;
	if (!once_record_refuse(guard->once, call->request, call->attempt, now))
		fence_raise(&guard->fence, now);
	return reason;
}

/*
 * Everything that refuses a call whatever the load is. The look at the record
 * comes first: a copy of a call that runs here must not be told "not run" for
 * any other reason.
 */
static enum refusal_reason
check_call(struct guard *guard, const struct guard_call *call)
{
	struct timespec now = clock_now(guard->clock);
	enum once_verdict verdict = ONCE_NEW;

	if (!call->idempotent)
		verdict = once_record_check(
		    guard->once, call->request, call->key, call->attempt, now);
	if (verdict == ONCE_DUPLICATE)
		return REFUSAL_DUPLICATE;
	if (!fence_allows(&guard->fence, call->incarnation, call->tick, now) ||
	    verdict == ONCE_REFUSED)
		return REFUSAL_FENCED;
	if (!guard->ready)
		return REFUSAL_NOT_READY;
	if (guard->draining)
		return REFUSAL_DRAINING;
	if (!guard->in_service)
		return REFUSAL_OUT;
	if (!timespec_before(now, call->deadline))
		return REFUSAL_DEADLINE;
	return REFUSAL_NONE;
}

static bool
has_room(const struct guard *guard)
{
	return guard->in_flight <
	    limiter_allowance(&guard->limiter, clock_now(guard->clock));
}

/*
 * Would the call's turn come in time? The queue is bounded by count and by
 * the wait that it means.
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

static struct held_call *
hold_call(
    struct guard *guard, const struct guard_call *call, struct once_entry *once)
{
	struct held_call *held = g_new0(struct held_call, 1);

	held->ticket = ++guard->next_ticket;
	held->tick = call->tick;
	held->deadline = call->deadline;
	held->once = once;
	g_hash_table_insert(guard->calls, &held->ticket, held);
	return held;
}

static void
grant(struct guard *guard, struct held_call *held)
{
	held->phase = HELD_GRANTED;
	held->epoch = guard->epoch;
	guard->in_flight++;
}

static void
enqueue(struct guard *guard, struct held_call *held)
{
	struct timespec limit = timespec_plus_ms(
	    clock_now(guard->clock), guard->settings.queue_wait_ms);

	held->phase = HELD_QUEUED;
	held->give_up =
	    timespec_before(limit, held->deadline) ? limit : held->deadline;
	g_queue_push_tail(&guard->queue, held);
	counter_add(&guard->counters, GUARD_QUEUED, 1);
}

/*
 * Decide one call: run it now, queue it, or refuse it before the upstream
 * sees a byte of it. The strings of the call are copied where kept.
 */
enum guard_decision
guard_admit(struct guard *guard, const struct guard_call *call,
    uint64_t *ticket, enum refusal_reason *reason)
{
	struct timespec now = clock_now(guard->clock);
	struct once_entry *once = NULL;
	struct held_call *held;
	bool run;

	*reason = check_call(guard, call);
	if (*reason == REFUSAL_DUPLICATE) {
		guard_refuse(guard, *reason);
		return GUARD_REFUSE;
	}
	if (guard->in_flight == 0 && limiter_is_outdated(&guard->limiter, now))
		guard_chill(guard, COLD_IDLE);
	run = guard->queue.length == 0 && has_room(guard);
	if (*reason == REFUSAL_NONE && !run)
		*reason = check_queue(guard, call);
	if (*reason == REFUSAL_NONE && !call->idempotent &&
	    once_record_enter(guard->once, call->request, call->key,
		call->attempt, now, &once) != ONCE_NEW)
		*reason = REFUSAL_RECORD_FULL;
	if (*reason != REFUSAL_NONE) {
		*reason = refuse_new(guard, call, *reason);
		return GUARD_REFUSE;
	}
	held = hold_call(guard, call, once);
	*ticket = held->ticket;
	if (!run) {
		enqueue(guard, held);
		return GUARD_QUEUE;
	}
	grant(guard, held);
	counter_add(&guard->counters, GUARD_ADMITTED, 1);
	return GUARD_RUN;
}

/*
 * Find a queued call that has to be refused now, and why.
 */
static struct held_call *
find_overdue(struct guard *guard, enum refusal_reason *reason)
{
	struct timespec now = clock_now(guard->clock);

	for (GList *l = guard->queue.head; l != NULL; l = l->next) {
		struct held_call *held = l->data;

		if (!guard->in_service) {
			*reason = REFUSAL_OUT;
			return held;
		}
		if (!timespec_before(now, held->give_up)) {
			*reason = timespec_before(now, held->deadline)
			    ? REFUSAL_QUEUE_WAIT
			    : REFUSAL_DEADLINE;
			return held;
		}
	}
	return NULL;
}

/*
 * Name the next queued call that is to be refused or may run now; false when
 * there is none. To be called until then after each completion and tick and
 * whenever the guard's state was changed.
 */
bool
guard_next(struct guard *guard, uint64_t *ticket, enum guard_decision *decision,
    enum refusal_reason *reason)
{
	struct held_call *held = find_overdue(guard, reason);

	if (held != NULL) {
		*ticket = held->ticket;
		*decision = GUARD_REFUSE;
		guard_refuse(guard, *reason);
		guard_release(guard, held);
		return true;
	}
	if (guard->queue.length == 0 || !has_room(guard))
		return false;
	held = g_queue_pop_head(&guard->queue);
	grant(guard, held);
	counter_add(&guard->counters, GUARD_DEQUEUED, 1);
	*ticket = held->ticket;
	*decision = GUARD_RUN;
	*reason = REFUSAL_NONE;
	return true;
}
