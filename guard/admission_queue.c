#include "guard/admission_private.h"
#include "guard/queue_order.h"

/* The queue of an admission: its order, and which request starts next. */

static void
queue_remove(struct admission *admission, struct admission_waiter *waiter)
{
	g_queue_unlink(&admission->queue, &waiter->link);
	waiter->queued = false;
	admission->bulk_queued -= waiter->bulk;
	admission->passable -= waiter->bulk || waiter->alone;
}

/* A promoted request was counted as served when it was queued. */
static void
end_promotion(struct admission *admission, struct admission_waiter *waiter)
{
	if (waiter->promoted)
		class_share_remove_served(&admission->shares, waiter->priority);
	waiter->promoted = false;
}

/*
 * Count a request that is refused.
 */
void
admission_count_refused(struct admission *admission,
    const struct admission_waiter *waiter, enum admission_reason reason)
{
	admission->refused[reason][class_share_index(waiter->priority)]++;
}

/*
 * Take a request that is refused out of the queue without calling its handler.
 */
void
admission_remove_refused(struct admission *admission,
    struct admission_waiter *waiter, enum admission_reason reason)
{
	queue_remove(admission, waiter);
	end_promotion(admission, waiter);
	admission_count_refused(admission, waiter, reason);
}

/*
 * Take a request out of the queue and call its handler with the reason.
 */
void
admission_dequeue(struct admission *admission, struct admission_waiter *waiter,
    enum admission_reason reason)
{
	if (reason == ADMISSION_OK)
		queue_remove(admission, waiter);
	else
		admission_remove_refused(admission, waiter, reason);
	waiter->handle_dequeue(waiter, reason);
}

/*
 * Refuse all queued requests.
 */
void
admission_refuse_queued(
    struct admission *admission, enum admission_reason reason)
{
	while (!g_queue_is_empty(&admission->queue))
		admission_dequeue(
		    admission, g_queue_peek_head(&admission->queue), reason);
}

/*
 * Insert a request into the queue.
 */
void
admission_enqueue(struct admission *admission, struct admission_waiter *waiter)
{
	GList *before = admission->queue.head;

	while (before != NULL && !queue_order_is_before(waiter, before->data))
		before = before->next;
	waiter->link.data = waiter;
	g_queue_insert_before_link(&admission->queue, before, &waiter->link);
	waiter->queued = true;
	admission->bulk_queued += waiter->bulk;
	admission->passable += waiter->bulk || waiter->alone;
}

/*
 * Remove a request from the queue without calling its handler. Does nothing if
 * it is not queued.
 */
void
admission_withdraw(struct admission *admission, struct admission_waiter *waiter)
{
	if (!waiter->queued)
		return;
	queue_remove(admission, waiter);
	end_promotion(admission, waiter);
	class_share_remove_offered(&admission->shares, waiter->priority);
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
 * Tell whether a request waits for the limit of large responses, or for another
 * that has to run alone.
 */
bool
admission_must_wait(
    const struct admission *admission, const struct admission_waiter *waiter)
{
	return (waiter->bulk && admission_is_bulk_full(admission)) ||
	    (waiter->alone && admission->alone_in_flight > 0);
}

/*
 * Return the first request that may start, skipping those that must wait; NULL
 * if there is none.
 */
struct admission_waiter *
admission_next_startable(struct admission *admission)
{
	for (GList *link = admission->queue.head; link != NULL;
	     link = link->next) {
		struct admission_waiter *waiter = link->data;

		if (!admission_must_wait(admission, waiter))
			return waiter;
	}
	return NULL;
}
