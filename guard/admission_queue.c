#include "guard/admission_private.h"

/* The queue of an admission: its order, and which request starts next. */

static void
queue_remove(struct admission *admission, struct admission_waiter *waiter)
{
	g_queue_unlink(&admission->queue, &waiter->link);
	waiter->queued = false;
	admission->bulk_queued -= waiter->bulk;
	admission->passable -= waiter->bulk || waiter->alone;
}

/*
 * Take a request out of the queue and call its handler with the reason.
 */
void
admission_dequeue(struct admission *admission, struct admission_waiter *waiter,
    enum admission_reason reason)
{
	queue_remove(admission, waiter);
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
 * Tell whether a goes before b: by priority, then by whether it can still meet
 * its objective, then by its latest start.
 */
static bool
is_before(const struct admission_waiter *a, const struct admission_waiter *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a->late != b->late)
		return b->late;
	/*
	 * Large responses start in order of arrival, so that the wait expected
	 * when they were queued remains valid.
	 */
	if (a->bulk && b->bulk)
		return false;
	return a->latest_start_ms < b->latest_start_ms;
}

/*
 * Insert a request into the queue; returns how many are before it.
 */
uint32_t
admission_enqueue(struct admission *admission, struct admission_waiter *waiter)
{
	GList *before = admission->queue.head;
	uint32_t ahead = 0;

	for (; before != NULL; before = before->next, ahead++) {
		if (is_before(waiter, before->data))
			break;
	}
	waiter->link.data = waiter;
	g_queue_insert_before_link(&admission->queue, before, &waiter->link);
	waiter->queued = true;
	admission->bulk_queued += waiter->bulk;
	admission->passable += waiter->bulk || waiter->alone;
	return ahead;
}

/*
 * Return how many large responses have to be transferred before a queued
 * request with a large response can start.
 */
uint32_t
admission_bulk_ahead(
    const struct admission *admission, const struct admission_waiter *waiter)
{
	uint32_t ahead = admission->bulk_in_flight + 1 > admission->bulk_limit
	    ? admission->bulk_in_flight + 1 - admission->bulk_limit
	    : 0;

	for (GList *link = admission->queue.head;
	     link != NULL && link->data != waiter; link = link->next)
		ahead += ((struct admission_waiter *)link->data)->bulk;
	return ahead;
}

/*
 * Remove a request from the queue without calling its handler. Does nothing if
 * it is not queued.
 */
void
admission_withdraw(struct admission *admission, struct admission_waiter *waiter)
{
	if (waiter->queued)
		queue_remove(admission, waiter);
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
 * Return how many requests that have to run alone go before a queued one,
 * including one that runs.
 */
uint32_t
admission_alone_ahead(
    const struct admission *admission, const struct admission_waiter *waiter)
{
	uint32_t ahead = admission->alone_in_flight;

	for (GList *link = admission->queue.head;
	     link != NULL && link->data != waiter; link = link->next)
		ahead += ((struct admission_waiter *)link->data)->alone;
	return ahead;
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
