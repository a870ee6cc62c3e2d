#include "guard/admission_private.h"

/* The queue at the gate: who stands where, and whose turn it is. */

static void
queue_remove(struct admission *admission, struct admission_waiter *waiter)
{
	g_queue_unlink(&admission->queue, &waiter->link);
	waiter->queued = false;
	admission->bulk_queued -= waiter->bulk;
}

/*
 * Take a request out of the queue and tell it its turn, or why it has none.
 */
void
admission_dequeue(struct admission *admission, struct admission_waiter *waiter,
    enum admission_reason reason)
{
	queue_remove(admission, waiter);
	waiter->handle_turn(waiter, reason);
}

/*
 * Refuse all that is queued.
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
 * Does one go before another? More urgent first, then what can still be on
 * time, then whose time is up first.
 */
static bool
is_before(const struct admission_waiter *a, const struct admission_waiter *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a->late != b->late)
		return b->late;
	/* In turn, so that each keeps the place that it was promised. */
	if (a->bulk && b->bulk)
		return false;
	return a->latest_start_ms < b->latest_start_ms;
}

/*
 * Place a request in the queue; returns how many stand before it.
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
	return ahead;
}

/*
 * Return how many large answers come before one that is queued.
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
 * Take a request out of the queue. Nothing happens if it is not there.
 */
void
admission_withdraw(struct admission *admission, struct admission_waiter *waiter)
{
	if (waiter->queued)
		queue_remove(admission, waiter);
}

/*
 * Return the first that may start; those that wait for the link are passed
 * over. NULL: none.
 */
struct admission_waiter *
admission_next_startable(struct admission *admission)
{
	for (GList *link = admission->queue.head; link != NULL;
	     link = link->next) {
		struct admission_waiter *waiter = link->data;

		if (!waiter->bulk || !admission_is_bulk_full(admission))
			return waiter;
	}
	return NULL;
}
