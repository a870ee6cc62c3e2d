#ifndef TREFOILHILL_GUARD_QUEUE_ORDER_H
#define TREFOILHILL_GUARD_QUEUE_ORDER_H

#include "guard/admission.h"

/*
 * The order of an admission's queue, the expected wait in it, and which request
 * to shed. Answers bursts of 1.4 to 1.7 times the capacity and spells in which
 * the upstream is slow: what is refused then should cost callers least. Pure.
 */

/* What the wait for a slot is derived from. */
struct queue_slots {
	uint32_t limit;      /* requests that may run at once */
	uint32_t free;       /* of these, not in use */
	double remaining_us; /* mean expected rest of the running requests */
};

/* Does a go before b? */
bool queue_order_is_before(
    const struct admission_waiter *a, const struct admission_waiter *b);
/* Expected rest of a request that has run for elapsed_us. */
double queue_order_remaining_us(double run_us, double elapsed_us);
/*
 * Wait for a slot behind count requests that need work_us together, while more
 * urgent requests that arrive meanwhile use slots_before slots.
 */
double queue_order_slot_wait_us(const struct queue_slots *slots, uint32_t count,
    double work_us, double slots_before);
/*
 * The request to refuse when late, a member of the queue, can't start in time
 * for want of a slot: of its own priority, not behind it.
 */
struct admission_waiter *queue_order_victim(
    const GQueue *queue, struct admission_waiter *late, int64_t now_ms);
/* The request to evict from a full queue. */
struct admission_waiter *queue_order_last(const GQueue *queue);

#endif
