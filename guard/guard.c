#include "guard/guard_private.h"

enum {
	US_PER_MS = 1000,
	FROZEN_TICKS = 5, /* a longer gap means that the process hung */
	DEDUP_LEASE_DEFAULT_MS = 60000,
	RETRY_AFTER_UNAVAILABLE_MS = 1000,
	RETRY_AFTER_MIN_MS = 50,
	RETRY_AFTER_MAX_MS = 2000,
};

static void
record_event(struct guard *guard, enum event_kind kind, int64_t value)
{
	event_record(
	    guard->events, kind, 0, 0, value, guard->settings.upstream);
}

static bool
is_open(const struct guard *guard)
{
	return guard->ready && guard->in_service && !guard->draining;
}

/*
 * Create a guard. It starts with a cold upstream, and refuses every call until
 * guard_set_in_service is called. The clock and the event log are borrowed and
 * must outlive the guard; events may be NULL.
 */
struct guard *
guard_new(const struct guard_settings *settings, struct clock *clock,
    struct event_log *events)
{
	struct guard *guard = g_new0(struct guard, 1);
	struct timespec now = clock_now(clock);
	uint32_t lease_ms = settings->dedup_lease_ms;

	guard->settings = *settings;
	guard->settings.upstream = str_dup(settings->upstream);
	guard->clock = clock;
	guard->events = events;
	guard->last_tick = now;
	guard->calls =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&guard->queue);
	guard_stats_init(&guard->counters);
	fence_init(&guard->fence, settings->incarnation, settings->tick_ms,
	    settings->tick_bound, now);
	guard->dedup = dedup_record_new(settings->dedup_entries,
	    lease_ms > 0 ? lease_ms : DEDUP_LEASE_DEFAULT_MS,
	    (guard->fence.tick_bound + 1) * guard->fence.tick_ms);
	limiter_init(
	    &guard->limiter, settings->slots, settings->cold_limit, now);
	counter_add(&guard->counters, GUARD_TURNED_COLD + COLD_STARTED, 1);
	record_event(guard, EVENT_UPSTREAM_COLD, COLD_STARTED);
	return guard;
}

/*
 * Free a guard and its calls. NULL is allowed.
 */
void
guard_free(struct guard *guard)
{
	if (guard == NULL)
		return;
	g_queue_clear(&guard->queue);
	g_hash_table_destroy(guard->calls);
	dedup_record_free(guard->dedup);
	str_release(&guard->settings.upstream);
	g_free(guard);
}

/*
 * Treat the upstream as cold from now on; count and record the cause.
 */
void
guard_mark_cold(struct guard *guard, enum cold_cause cause)
{
	limiter_set_cold(&guard->limiter, clock_now(guard->clock));
	guard->cold_epoch++;
	counter_add(&guard->counters, GUARD_TURNED_COLD + cause, 1);
	record_event(guard, EVENT_UPSTREAM_COLD, cause);
}

/*
 * Count a gap between ticks that shows that this process was suspended. The
 * fence and the deadlines use the clock and don't depend on this. Afterwards
 * the user calls guard_dequeue, which refuses the queued calls that expired in
 * the meantime.
 */
void
guard_tick(struct guard *guard)
{
	struct timespec now = clock_now(guard->clock);
	int64_t ms = timespec_ms_between(guard->last_tick, now);

	if (ms > (int64_t)FROZEN_TICKS * guard->fence.tick_ms)
		counter_add(&guard->counters, GUARD_FROZEN, 1);
	guard->last_tick = now;
}

/*
 * Apply whether the configuration in force has host and zone in service. When
 * they return to service the upstream counts as cold, whatever it was before.
 */
void
guard_set_in_service(struct guard *guard, bool in_service)
{
	bool first = !guard->ready;

	if (!first && guard->in_service == in_service)
		return;
	guard->ready = true;
	guard->in_service = in_service;
	if (in_service && !first)
		guard_mark_cold(guard, COLD_BACK_IN_SERVICE);
	record_event(
	    guard, in_service ? EVENT_GUARD_OPENED : EVENT_GUARD_CLOSED, 0);
}

/*
 * Refuse all further calls. Calls admitted or queued before still complete.
 */
void
guard_drain(struct guard *guard)
{
	if (guard->draining)
		return;
	guard->draining = true;
	record_event(guard, EVENT_GUARD_CLOSED, guard->in_flight);
}

/*
 * Tell whether no call is queued or running.
 */
bool
guard_is_idle(const struct guard *guard)
{
	return g_hash_table_size(guard->calls) == 0;
}

/*
 * Return the present state, to be sent with a response.
 */
struct guard_hint
guard_hint(const struct guard *guard)
{
	struct timespec now = clock_now(guard->clock);
	struct guard_hint hint = {
		.incarnation = guard->fence.incarnation,
		.tick = fence_tick(&guard->fence, now),
		.limit = limiter_current_limit(&guard->limiter, now),
		.in_flight = guard->in_flight,
		.queued = guard->queue.length,
		.latency_us = guard->limiter.mean_us,
		.accepting = is_open(guard),
	};

	return hint;
}

/*
 * Estimate from the mean latency and the present limit how long a call with
 * ahead calls before it waits in the queue, in milliseconds.
 */
int64_t
guard_expected_wait_ms(const struct guard *guard, uint32_t ahead)
{
	const struct limiter *limiter = &guard->limiter;
	uint64_t wait_us =
	    (uint64_t)limiter->mean_us * (ahead + 1) / MAX(limiter->limit, 1);

	return (int64_t)(wait_us / US_PER_MS) +
	    limiter_pause_ms(limiter, clock_now(guard->clock));
}

/*
 * Return the time after which a refused caller should retry, in milliseconds;
 * 0 when a later retry would not help.
 */
uint32_t
guard_retry_after_ms(const struct guard *guard, enum refusal_reason reason)
{
	int64_t wait_ms;

	switch (reason) {
	case REFUSAL_LIMIT:
	case REFUSAL_QUEUE_WAIT:
	case REFUSAL_SHED:
	case REFUSAL_UNREACHABLE:
		wait_ms = guard_expected_wait_ms(guard, guard->queue.length);
		return (uint32_t)CLAMP(
		    wait_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
	case REFUSAL_DRAINING:
	case REFUSAL_OUT_OF_SERVICE:
	case REFUSAL_NOT_READY:
	case REFUSAL_RECORD_FULL:
		return RETRY_AFTER_UNAVAILABLE_MS;
	default:
		return 0;
	}
}

/*
 * Return the guard's counters; reading them needs no lock.
 */
const struct counter_set *
guard_counters(const struct guard *guard)
{
	return &guard->counters;
}
