#include "guard/admission_private.h"
#include "guard/queue_order.h"

/* How long queued requests have to wait, and which won't start in time. */

enum {
	US_PER_MS = 1000,
};

/* What is ahead of the present place in a walk along the queue. */
struct wait_walk {
	struct queue_slots slots;
	uint32_t ahead;      /* requests */
	uint32_t slot_count; /* of these, those that wait for a slot */
	double slot_us;      /* their work */
	uint32_t bulk_ahead; /* large responses to be transferred before */
	double alone_us;     /* work of requests that have to run alone */
};

static void
walk_begin(
    const struct admission *admission, struct wait_walk *walk, int64_t now_ms)
{
	const GArray *runs = admission->runs;
	uint32_t limit = admission_limit(admission);
	double remaining_us = 0, alone_us = 0;

	for (guint i = 0; i < runs->len; i++) {
		const struct admission_run *run =
		    &g_array_index(runs, struct admission_run, i);

		double rest_us = queue_order_remaining_us(run->run_us,
		    (double)(now_ms - run->started_ms) * US_PER_MS);

		remaining_us += rest_us;
		if (run->alone)
			alone_us += rest_us;
	}
	*walk = (struct wait_walk){
		.slots = {
			.limit = limit,
			.free = limit - MIN(limit, admission->in_flight),
			.remaining_us = remaining_us / MAX(runs->len, 1),
		},
		.alone_us = alone_us,
	};
	if (admission->bulk_in_flight + 1 > admission->bulk_limit)
		walk->bulk_ahead =
		    admission->bulk_in_flight + 1 - admission->bulk_limit;
}

/* The wait for a slot at the present place. */
static double
walk_slot_wait_ms(const struct admission *admission,
    const struct admission_waiter *waiter, const struct wait_walk *walk)
{
	double slots_before = waiter->promoted
	    ? 0
	    : class_share_slots_before(&admission->shares, waiter->priority);

	return queue_order_slot_wait_us(&walk->slots, walk->slot_count,
		   walk->slot_us, slots_before) /
	    US_PER_MS;
}

/* The wait for anything but a slot at the present place. */
static double
walk_other_wait_ms(const struct admission *admission,
    const struct admission_waiter *waiter, const struct wait_walk *walk,
    int64_t now_ms)
{
	double by_rate =
	    (double)pacer_wait_ms(&admission->pacer, walk->ahead, now_ms);
	double by_link = 0, by_turn = 0;

	if (admission_is_cold(admission, now_ms) && admission->cold_per_s > 0)
		by_rate = MAX(by_rate,
		    (double)(walk->ahead + 1) * MS_PER_S /
			admission->cold_per_s);
	if (waiter->bulk && admission->bulk_limit > 0)
		by_link =
		    (double)walk->bulk_ahead * admission->bulk_transfer_ms;
	if (waiter->alone)
		by_turn = walk->alone_us / US_PER_MS;
	return MAX(by_rate, MAX(by_link, by_turn));
}

static void
walk_pass(const struct admission *admission,
    const struct admission_waiter *waiter, struct wait_walk *walk)
{
	walk->ahead++;
	walk->bulk_ahead += waiter->bulk;
	if (waiter->alone)
		walk->alone_us += waiter->run_us;
	/* The others go before one that waits for the link or its turn. */
	if (admission_must_wait(admission, waiter))
		return;
	walk->slot_count++;
	walk->slot_us += waiter->run_us;
}

/*
 * Return the expected wait of a queued request.
 */
int64_t
admission_wait_ms(const struct admission *admission,
    const struct admission_waiter *waiter, int64_t now_ms)
{
	struct wait_walk walk;

	walk_begin(admission, &walk, now_ms);
	for (GList *link = admission->queue.head;
	     link != NULL && link->data != waiter; link = link->next)
		walk_pass(admission, link->data, &walk);
	return (int64_t)MAX(walk_slot_wait_ms(admission, waiter, &walk),
	    walk_other_wait_ms(admission, waiter, &walk, now_ms));
}

/*
 * Return a request to refuse because it, or one behind it, is not expected to
 * start in time; NULL if there is none.
 */
struct admission_waiter *
admission_find_infeasible(struct admission *admission, int64_t now_ms)
{
	struct wait_walk walk;

	walk_begin(admission, &walk, now_ms);
	for (GList *link = admission->queue.head; link != NULL;
	     link = link->next) {
		struct admission_waiter *waiter = link->data;
		int64_t spare_ms = waiter->latest_start_ms - now_ms;

		/* The upstream may have become slower or faster. */
		waiter->run_us = latency_estimate_run_us(
		    &admission->latency, waiter->work_ms);
		if ((int64_t)walk_other_wait_ms(
			admission, waiter, &walk, now_ms) > spare_ms)
			return waiter;
		if ((int64_t)walk_slot_wait_ms(admission, waiter, &walk) >
		    spare_ms)
			return waiter->bulk || waiter->alone
			    ? waiter
			    : queue_order_victim(
				  &admission->queue, waiter, now_ms);
		walk_pass(admission, waiter, &walk);
	}
	return NULL;
}

/*
 * Refuse queued requests until all others are expected to start in time.
 */
void
admission_refuse_infeasible(struct admission *admission, int64_t now_ms)
{
	struct admission_waiter *waiter;

	/* The handler may change the queue. */
	while ((waiter = admission_find_infeasible(admission, now_ms)) != NULL)
		admission_dequeue(admission, waiter, ADMISSION_TOO_LATE);
}

/*
 * Limit the rate of starts, beside the limit of a cold upstream.
 */
void
admission_set_rate_limit(
    struct admission *admission, uint32_t per_ks, int64_t now_ms)
{
	int64_t interval_us = admission->pacer.interval_us;

	pacer_set_rate(&admission->pacer, per_ks, now_ms);
	if (admission->pacer.interval_us > interval_us)
		admission_refuse_infeasible(admission, now_ms);
}
