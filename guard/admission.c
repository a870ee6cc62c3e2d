#include <string.h>

#include "guard/admission_private.h"

static const char *const reason_names[] = {
	[ADMISSION_OK] = "ok",
	[ADMISSION_FULL] = "full",
	[ADMISSION_TOO_LATE] = "too_late",
	[ADMISSION_EXPIRED] = "expired",
	[ADMISSION_DISPLACED] = "displaced",
	[ADMISSION_CLOSED] = "closed",
	[ADMISSION_UNREACHABLE] = "unreachable",
};

/*
 * Return the name of a reason in logs and in messages to peers.
 */
const char *
admission_reason_name(enum admission_reason reason)
{
	return reason_names[reason];
}

/*
 * Create an admission that is closed and has no slots yet. The bounds are
 * copied.
 */
struct admission *
admission_new(const struct admission_bounds *bounds)
{
	struct admission *admission = g_new0(struct admission, 1);

	admission->bounds = *bounds;
	admission->latency_us = LATENCY_INITIAL_US;
	g_queue_init(&admission->queue);
	g_queue_init(&admission->starts);
	return admission;
}

/*
 * Free an admission. The handlers of queued requests are not called. NULL is
 * allowed.
 */
void
admission_free(struct admission *admission)
{
	if (admission == NULL)
		return;
	g_queue_clear_full(&admission->starts, g_free);
	g_free(admission);
}

/*
 * Set the number of requests that the upstream can run at once. A change also
 * resets the limit to it.
 */
void
admission_set_slots(struct admission *admission, uint32_t slots)
{
	if (slots == admission->slots)
		return;
	admission->slots = slots;
	admission->limit = slots * LIMIT_SCALE;
}

/*
 * Open or close. Closing refuses the queued requests.
 */
void
admission_set_open(struct admission *admission, bool open)
{
	admission->open = open;
	if (!open)
		admission_refuse_queued(admission, ADMISSION_CLOSED);
}

/*
 * Reset the statistics of the upstream, but not the counts of running requests.
 */
void
admission_reset(struct admission *admission)
{
	admission->latency_us = LATENCY_INITIAL_US;
	admission->latency_known = false;
	admission->failures_per_mille = 0;
	admission->pause_ms = 0;
	admission->paused_until_ms = 0;
	admission->limit = admission->slots * LIMIT_SCALE;
	admission->recovered = false;
}

/*
 * Set the limit of requests with large responses. More of them than the
 * network link can carry would occupy slots that short requests need.
 */
void
admission_set_bulk(
    struct admission *admission, uint32_t limit, uint32_t transfer_ms)
{
	admission->bulk_limit = limit;
	admission->bulk_transfer_ms = transfer_ms;
}

/*
 * Tell whether the limit of requests with large responses is reached.
 */
bool
admission_is_bulk_full(const struct admission *admission)
{
	return admission->bulk_limit > 0 &&
	    admission->bulk_in_flight >= admission->bulk_limit;
}

/*
 * Start, queue or refuse a request. The waiter must stay valid while it is
 * queued. A full queue evicts its last request, unless that is the new one.
 */
enum admission_verdict
admission_offer(struct admission *admission, struct admission_waiter *waiter,
    int64_t now_ms, enum admission_reason *reason)
{
	uint32_t ahead;

	waiter->since_ms = now_ms;
	waiter->queued = false;
	*reason = ADMISSION_OK;
	if (!admission->open) {
		*reason = ADMISSION_CLOSED;
		return ADMISSION_REFUSED;
	}
	if (admission->paused_until_ms > now_ms ||
	    (admission->pause_ms > 0 && admission->in_flight > 0)) {
		*reason = ADMISSION_UNREACHABLE;
		return ADMISSION_REFUSED;
	}
	if (g_queue_get_length(&admission->queue) == admission->passable &&
	    admission->in_flight < admission_limit(admission) &&
	    !(waiter->bulk && admission->bulk_queued > 0) &&
	    !admission_must_wait(admission, waiter) &&
	    admission_next_start_ms(admission, now_ms) <= now_ms) {
		admission_record_start(admission, waiter, now_ms);
		return ADMISSION_RUN;
	}
	ahead = admission_enqueue(admission, waiter);
	if (now_ms +
		admission_expected_wait_ms(admission, waiter, ahead, now_ms) >
	    waiter->latest_start_ms)
		*reason = ADMISSION_TOO_LATE;
	else if (g_queue_get_length(&admission->queue) >
	    admission->bounds.queue_max)
		*reason = ADMISSION_FULL;
	if (*reason == ADMISSION_OK)
		return ADMISSION_QUEUED;
	if (*reason == ADMISSION_FULL &&
	    g_queue_peek_tail(&admission->queue) != waiter) {
		*reason = ADMISSION_OK;
		admission_dequeue(admission,
		    g_queue_peek_tail(&admission->queue), ADMISSION_DISPLACED);
		return ADMISSION_QUEUED;
	}
	admission_withdraw(admission, waiter);
	return ADMISSION_REFUSED;
}

/*
 * Start queued requests and expire those past their latest start. Returns when
 * it has to be called again at the latest; 0 when only the end of a request
 * can change anything.
 */
int64_t
admission_poll(struct admission *admission, int64_t now_ms)
{
	GList *link, *next;
	int64_t wake_ms = 0;

	for (link = admission->queue.head; link != NULL; link = next) {
		struct admission_waiter *waiter = link->data;

		next = link->next;
		if (waiter->latest_start_ms < now_ms) {
			admission_dequeue(admission, waiter, ADMISSION_EXPIRED);
			next = admission->queue.head;
		} else if (wake_ms == 0 || waiter->latest_start_ms < wake_ms) {
			wake_ms = waiter->latest_start_ms + 1;
		}
	}
	while (admission->in_flight < admission_limit(admission)) {
		struct admission_waiter *waiter =
		    admission_next_startable(admission);
		int64_t allowed_ms = admission_next_start_ms(admission, now_ms);

		if (waiter == NULL)
			break;
		if (allowed_ms > now_ms)
			return wake_ms == 0 ? allowed_ms
					    : MIN(wake_ms, allowed_ms);
		admission_record_start(admission, waiter, now_ms);
		admission_dequeue(admission, waiter, ADMISSION_OK);
	}
	return g_queue_is_empty(&admission->queue) ? 0 : wake_ms;
}

/*
 * Tell whether the upstream has recovered from refusing connections, and reset
 * that. It has probably been restarted, and is cold.
 */
bool
admission_take_recovered(struct admission *admission)
{
	bool recovered = admission->recovered;

	admission->recovered = false;
	return recovered;
}

/*
 * Return the present load, to be reported to peers.
 */
struct load_report
admission_report(const struct admission *admission, int64_t now_ms)
{
	uint32_t limit = admission_limit(admission);

	if (admission_is_cold(admission, now_ms)) {
		double rate =
		    admission->cold_per_s * admission->latency_us / 1e6;

		limit = MIN(limit, MAX(1, (uint32_t)rate));
	}
	return (struct load_report){
		.limit = limit,
		.in_flight = admission->in_flight,
		.queued = g_queue_get_length((GQueue *)&admission->queue),
		.latency_us =
		    admission->latency_known ? admission->latency_us : 0,
		.failures_per_mille =
		    admission_failures_per_mille(admission, now_ms),
		.bulk_waiting = admission_is_bulk_full(admission)
		    ? admission->bulk_queued + 1
		    : admission->bulk_queued,
		.bulk_transfer_ms = admission->bulk_transfer_ms,
		.rate_wait_ms = (uint32_t)pacer_wait_ms(&admission->pacer,
		    g_queue_get_length((GQueue *)&admission->queue), now_ms),
		.accepting =
		    admission->open && admission->paused_until_ms <= now_ms,
	};
}

/*
 * Tell whether no request is running or queued.
 */
bool
admission_is_idle(const struct admission *admission)
{
	return admission->in_flight == 0 &&
	    g_queue_is_empty((GQueue *)&admission->queue);
}
