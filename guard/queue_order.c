#include "guard/queue_order.h"

enum {
	/*
	 * A response after the objective is worth 10 to 45% of one within it,
	 * so the work of such a request counts as so many times more.
	 */
	LATE_WORK_FACTOR = 4,
	/*
	 * A queued request is refused in favour of a newer one only if it needs
	 * this many times the work. Run times are estimates, and a request
	 * that gives way to each slightly shorter one would never start.
	 */
	VICTIM_WORK_FACTOR = 2,
	/*
	 * A run that has exceeded its expected time is probably one of the few
	 * that take seven times as long: it is expected to go on for this part
	 * of the time that it has run already.
	 */
	OVERDUE_DIVISOR = 2,
	/* Bounds the effect of more urgent arrivals on the expected wait. */
	SLOTS_LEFT_MIN_PERCENT = 5,
	/*
	 * More urgent arrivals are counted only behind this many requests for
	 * each slot. Refusing behind fewer left slots of a mesh of three nodes
	 * unused, which cost six points of the requests served.
	 */
	QUEUED_PER_SLOT_MIN = 2,
};

/*
 * Tell whether a goes before b: by rank, then by whether it can still meet its
 * objective, then by its latest start.
 */
bool
queue_order_is_before(
    const struct admission_waiter *a, const struct admission_waiter *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank;
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
 * Return the expected rest of a run.
 */
double
queue_order_remaining_us(double run_us, double elapsed_us)
{
	return MAX(run_us - elapsed_us, elapsed_us / OVERDUE_DIVISOR);
}

/*
 * Return the expected wait for a slot. As run times vary, the running requests
 * end evenly spread over their expected rest, and each slot that becomes free
 * takes its part of the work queued ahead. More urgent requests go on arriving:
 * without counting them, those of the last priority wait for most of their time
 * in a burst before they are refused.
 */
double
queue_order_slot_wait_us(const struct queue_slots *slots, uint32_t count,
    double work_us, double slots_before)
{
	double limit = MAX(slots->limit, 1);

	if (count < slots->free)
		return 0;
	if (count < limit * QUEUED_PER_SLOT_MIN)
		slots_before = 0;
	return (slots->remaining_us + work_us) /
	    MAX(limit - slots_before, limit * SLOTS_LEFT_MIN_PERCENT / 100);
}

/* The work of a request relative to the value of its response. */
static double
cost_of(const struct admission_waiter *waiter)
{
	return (double)waiter->run_us * (waiter->late ? LATE_WORK_FACTOR : 1);
}

/*
 * Has a request been queued for over half of its time? A newer one no longer
 * displaces it then.
 */
static bool
is_settled(const struct admission_waiter *waiter, int64_t now_ms)
{
	return now_ms - waiter->since_ms > waiter->latest_start_ms - now_ms;
}

/*
 * Return the request to refuse so that late, or most of those ahead of it, can
 * start in time. Refusing the one that needs the most work whenever one would
 * be late keeps the most requests on time (the rule of Moore and Hodgson); of
 * requests that need about the same, the newest one is refused, so that those
 * already queued keep their place.
 */
struct admission_waiter *
queue_order_victim(
    const GQueue *queue, struct admission_waiter *late, int64_t now_ms)
{
	struct admission_waiter *newest = late, *heaviest = late;

	for (GList *link = queue->head; link != NULL; link = link->next) {
		struct admission_waiter *waiter = link->data;

		if (waiter == late)
			break;
		/* Those that wait for other than slots free none. */
		if (waiter->rank != late->rank || waiter->bulk || waiter->alone)
			continue;
		if (waiter->since_ms > newest->since_ms)
			newest = waiter;
		if (cost_of(waiter) > cost_of(heaviest) &&
		    !is_settled(waiter, now_ms))
			heaviest = waiter;
	}
	return cost_of(heaviest) > cost_of(newest) * VICTIM_WORK_FACTOR
	    ? heaviest
	    : newest;
}

/*
 * Return the request to evict from a full queue: of those of the last rank the
 * one that needs the most work, or else the last one.
 */
struct admission_waiter *
queue_order_last(const GQueue *queue)
{
	struct admission_waiter *last = queue->tail->data, *victim = last;

	for (GList *link = queue->tail; link != NULL; link = link->prev) {
		struct admission_waiter *waiter = link->data;

		if (waiter->rank != last->rank)
			break;
		if (cost_of(waiter) > cost_of(last) * VICTIM_WORK_FACTOR &&
		    cost_of(waiter) > cost_of(victim))
			victim = waiter;
	}
	return victim;
}
