#include "guard/admission_private.h"

/* Updates the statistics of the upstream with the outcomes of requests. */

enum {
	/* Run times vary by a factor of five in rare cases. */
	OVERDUE_LATENCIES = 5,
	HALVINGS_MAX = 16, /* after so many half-lives nothing is left */
	/* A new connection, or a health check, takes one of the slots. */
	SLOTS_TAKEN_BY_OTHERS = 1,
	US_PER_MS = 1000,
};

static void
update_on_success(struct admission *admission,
    const struct admission_waiter *waiter, uint32_t latency_us, int64_t now_ms)
{
	latency_estimate_add(
	    &admission->latency, latency_us, waiter->work_ms, now_ms);
	if (admission->limit < admission->slots * LIMIT_SCALE)
		admission->limit++;
	if (admission->pause_ms > 0) {
		admission->pause_ms = 0;
		admission->recovered = true;
	}
}

static void
update_on_connection_refused(struct admission *admission, int64_t now_ms)
{
	uint32_t next = admission->pause_ms == 0
	    ? admission->bounds.pause_first_ms
	    : admission->pause_ms * 2;

	admission->pause_ms = MIN(next, admission->bounds.pause_max_ms);
	admission->paused_until_ms = now_ms + admission->pause_ms;
	admission_refuse_queued(admission, ADMISSION_UNREACHABLE);
}

static void
update_failure_rate(struct admission *admission, bool failed, int64_t now_ms)
{
	int32_t target = failed ? FAILURE_SCALE : 0;
	int32_t change;

	admission->failures_per_mille =
	    admission_failures_per_mille(admission, now_ms);
	admission->failures_updated_ms = now_ms;
	change = target - (int32_t)admission->failures_per_mille;

	/* Round away from zero, so that 0 and FAILURE_SCALE are reached. */
	if (change > 0)
		change = (change + FAILURE_WEIGHT - 1) / FAILURE_WEIGHT;
	else
		change = (change - FAILURE_WEIGHT + 1) / FAILURE_WEIGHT;
	admission->failures_per_mille =
	    (uint32_t)((int32_t)admission->failures_per_mille + change);
}

/*
 * Tell whether a request has run for much longer than is usual. An upstream may
 * hang, or its connections may go silent without being closed: its requests
 * then end only when their callers give up, which says nothing else about it.
 */
bool
admission_is_overdue(const struct admission *admission, int64_t run_ms)
{
	return run_ms * 1000 >=
	    (int64_t)latency_estimate_mean_us(&admission->latency) *
	    OVERDUE_LATENCIES;
}

/* Cancelled requests that the upstream probably still works on. */
static uint32_t
count_abandoned(const struct admission *admission, int64_t now_ms)
{
	int64_t halvings = (now_ms - admission->abandoned_ms) * US_PER_MS /
	    MAX(latency_estimate_mean_us(&admission->latency), US_PER_MS);

	return halvings >= HALVINGS_MAX ? 0 : admission->abandoned >> halvings;
}

/* Lower the limit by one. */
static void
lower_limit(struct admission *admission)
{
	uint32_t limit_min =
	    admission->slots * LIMIT_SCALE / LIMIT_FLOOR_DIVISOR;

	if (admission->limit >= limit_min + LIMIT_SCALE)
		admission->limit -= LIMIT_SCALE;
}

/*
 * Lower the limit after a shed, if the upstream may have had as many requests
 * as it has slots: those that run, and cancelled ones that it still works on.
 * One that sheds with free slots does so for other reasons, and would do it at
 * any limit; a lower one would only have requests refused here as well.
 */
static void
update_on_shed(struct admission *admission, int64_t now_ms)
{
	uint32_t requests = admission->in_flight + 1 +
	    count_abandoned(admission, now_ms) + SLOTS_TAKEN_BY_OTHERS;

	if (requests >= admission->slots)
		lower_limit(admission);
}

/*
 * Tell whether the upstream has all the requests that it takes. Some reset the
 * connection of any further one.
 */
bool
admission_is_full(const struct admission *admission, int64_t now_ms)
{
	uint32_t requests =
	    admission->in_flight + count_abandoned(admission, now_ms);

	return requests * LIMIT_SCALE >= admission->limit ||
	    !g_queue_is_empty((GQueue *)&admission->queue);
}

/*
 * Update the statistics with the outcome of a started request, and start
 * queued ones. latency_us is the time that it took, in microseconds.
 */
void
admission_finish(struct admission *admission,
    const struct admission_waiter *waiter, enum admission_outcome outcome,
    uint32_t latency_us, int64_t now_ms)
{
	admission_record_end(admission, waiter);
	switch (outcome) {
	case ADMISSION_SUCCEEDED:
		update_on_success(admission, waiter, latency_us, now_ms);
		update_failure_rate(admission, false, now_ms);
		break;
	case ADMISSION_SHED:
		update_on_shed(admission, now_ms);
		update_failure_rate(admission, true, now_ms);
		break;
	case ADMISSION_RESET_FULL:
		/* It refuses more work, which is no failure to respond. */
		lower_limit(admission);
		break;
	case ADMISSION_FAILED:
	case ADMISSION_CONNECTION_LOST:
	case ADMISSION_TIMED_OUT:
		update_failure_rate(admission, true, now_ms);
		if (outcome == ADMISSION_FAILED && admission->pause_ms > 0)
			admission->pause_ms = 0;
		break;
	case ADMISSION_CONNECTION_REFUSED:
		update_on_connection_refused(admission, now_ms);
		break;
	case ADMISSION_DEADLINE_PASSED:
		update_on_success(admission, waiter, latency_us, now_ms);
		break;
	case ADMISSION_CANCELLED:
		admission->abandoned = count_abandoned(admission, now_ms) + 1;
		admission->abandoned_ms = now_ms;
		break;
	}
	admission_poll(admission, now_ms);
}
