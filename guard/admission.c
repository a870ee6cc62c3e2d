#include "guard/admission_private.h"
#include "guard/queue_order.h"

enum {
	/*
	 * Whether queued requests can still start in time is checked again
	 * after so long if no request ends meanwhile: the upstream may have
	 * become slower.
	 */
	RECHECK_MS = 50,
	RANK_FIRST = -1, /* before all priorities */
};

/*
 * Create an admission that is closed and has no slots yet. The bounds are
 * copied.
 */
struct admission *
admission_new(const struct admission_bounds *bounds)
{
	struct admission *admission = g_new0(struct admission, 1);

	admission->bounds = *bounds;
	admission->pacer.burst_us = RATE_BURST_US;
	admission->cold_pacer.burst_us = COLD_BURST_US;
	latency_estimate_reset(&admission->latency);
	admission->runs =
	    g_array_new(FALSE, FALSE, sizeof(struct admission_run));
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
	g_array_free(admission->runs, TRUE);
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
	latency_estimate_reset(&admission->latency);
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

static bool
can_start_now(struct admission *admission,
    const struct admission_waiter *waiter, int64_t now_ms)
{
	return g_queue_get_length(&admission->queue) == admission->passable &&
	    admission->in_flight < admission_limit(admission) &&
	    !(waiter->bulk && admission->bulk_queued > 0) &&
	    !admission_must_wait(admission, waiter) &&
	    admission_next_start_ms(admission, now_ms) <= now_ms;
}

/*
 * Promote a request of a priority that is served less than its guaranteed
 * share. It counts as served from now on, so that not all are promoted.
 */
static void
promote_deprived(struct admission *admission, struct admission_waiter *waiter)
{
	if (!class_share_is_deprived(&admission->shares, waiter->priority))
		return;
	waiter->promoted = true;
	waiter->rank = RANK_FIRST;
	class_share_add_served(&admission->shares, waiter->priority);
}

/*
 * Queue a request, and refuse what can't start in time with it: others, or
 * itself.
 */
static enum admission_verdict
queue_request(struct admission *admission, struct admission_waiter *waiter,
    int64_t now_ms, enum admission_reason *reason)
{
	struct admission_waiter *victim;

	promote_deprived(admission, waiter);
	admission_enqueue(admission, waiter);
	waiter->expected_ms =
	    (uint32_t)admission_wait_ms(admission, waiter, now_ms);
	/* Handlers may change the queue, and take the request out of it. */
	while (waiter->queued) {
		*reason = ADMISSION_TOO_LATE;
		victim = admission_find_infeasible(admission, now_ms);
		if (victim == NULL &&
		    g_queue_get_length(&admission->queue) >
			admission->bounds.queue_max) {
			victim = queue_order_last(&admission->queue);
			*reason = victim == waiter ? ADMISSION_FULL
						   : ADMISSION_DISPLACED;
		}
		if (victim == NULL)
			break;
		if (victim == waiter) {
			admission_remove_refused(admission, waiter, *reason);
			return ADMISSION_REFUSED;
		}
		admission_dequeue(admission, victim, *reason);
	}
	*reason = ADMISSION_OK;
	return ADMISSION_QUEUED;
}

/*
 * Start, queue or refuse a request. The waiter must stay valid while it is
 * queued. A full queue evicts its last request, unless that is the new one.
 */
enum admission_verdict
admission_offer(struct admission *admission, struct admission_waiter *waiter,
    int64_t now_ms, enum admission_reason *reason)
{
	waiter->since_ms = now_ms;
	waiter->queued = false;
	waiter->promoted = false;
	waiter->rank = waiter->priority;
	waiter->expected_ms = 0;
	waiter->run_us =
	    latency_estimate_run_us(&admission->latency, waiter->work_ms);
	*reason = ADMISSION_OK;
	if (!admission->open)
		*reason = ADMISSION_CLOSED;
	else if (admission->paused_until_ms > now_ms ||
	    (admission->pause_ms > 0 && admission->in_flight > 0))
		*reason = ADMISSION_UNREACHABLE;
	if (*reason != ADMISSION_OK) {
		admission_count_refused(admission, waiter, *reason);
		return ADMISSION_REFUSED;
	}
	class_share_add_offered(&admission->shares, waiter->priority, now_ms);
	if (can_start_now(admission, waiter, now_ms)) {
		admission_record_start(admission, waiter, now_ms);
		return ADMISSION_RUN;
	}
	return queue_request(admission, waiter, now_ms, reason);
}

/* Refuse requests past their latest start; returns the earliest of others. */
static int64_t
refuse_expired(struct admission *admission, int64_t now_ms)
{
	GList *link, *next;
	int64_t earliest_ms = 0;

	for (link = admission->queue.head; link != NULL; link = next) {
		struct admission_waiter *waiter = link->data;

		next = link->next;
		if (waiter->latest_start_ms < now_ms) {
			admission_dequeue(admission, waiter, ADMISSION_EXPIRED);
			/* The handler may have changed the queue. */
			next = admission->queue.head;
			earliest_ms = 0;
		} else if (earliest_ms == 0 ||
		    waiter->latest_start_ms < earliest_ms) {
			earliest_ms = waiter->latest_start_ms;
		}
	}
	return earliest_ms;
}

/*
 * Start queued requests, and refuse those past their latest start or not
 * expected to start by it. Returns when it has to be called again at the
 * latest; 0 when only the end of a request can change anything.
 */
int64_t
admission_poll(struct admission *admission, int64_t now_ms)
{
	int64_t earliest_ms = refuse_expired(admission, now_ms);
	int64_t wake_ms = earliest_ms == 0 ? 0 : earliest_ms + 1;

	admission_refuse_infeasible(admission, now_ms);
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
	if (g_queue_is_empty(&admission->queue))
		return 0;
	return wake_ms == 0 ? now_ms + RECHECK_MS
			    : MIN(wake_ms, now_ms + RECHECK_MS);
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
