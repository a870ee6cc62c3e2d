#include "guard/admission_private.h"

/* When requests may start: by concurrency, and by the rates in force. */

/*
 * Return how many requests may run at once.
 */
uint32_t
admission_limit(const struct admission *admission)
{
	/* After a pause a single request probes the upstream. */
	if (admission->pause_ms > 0)
		return 1;
	return MAX(1, admission->limit / LIMIT_SCALE);
}

/*
 * Tell whether the upstream is treated as cold.
 */
bool
admission_is_cold(const struct admission *admission, int64_t now_ms)
{
	return admission->cold_until_ms > now_ms;
}

static void
prune_starts(struct admission *admission, int64_t now_ms)
{
	while (!g_queue_is_empty(&admission->starts)) {
		const int64_t *oldest = g_queue_peek_head(&admission->starts);

		if (now_ms - *oldest < COLD_WINDOW_MS &&
		    g_queue_get_length(&admission->starts) < COLD_STARTS_MAX)
			return;
		g_free(g_queue_pop_head(&admission->starts));
	}
}

/*
 * Count a request that starts now.
 */
void
admission_record_start(struct admission *admission,
    const struct admission_waiter *waiter, int64_t now_ms)
{
	int64_t *start_ms = g_new(int64_t, 1);

	*start_ms = now_ms;
	g_queue_push_tail(&admission->starts, start_ms);
	pacer_record_start(&admission->pacer, now_ms);
	admission->in_flight++;
	admission->bulk_in_flight += waiter->bulk;
	admission->alone_in_flight += waiter->alone;
}

/*
 * Return the earliest time for the next start; now_ms or earlier means at once.
 */
int64_t
admission_next_start_ms(struct admission *admission, int64_t now_ms)
{
	int64_t paced_ms = pacer_next_ms(&admission->pacer);
	const int64_t *oldest;
	uint32_t starts_max;

	if (admission->paused_until_ms > now_ms)
		return admission->paused_until_ms;
	prune_starts(admission, now_ms);
	if (!admission_is_cold(admission, now_ms))
		return paced_ms;
	starts_max = MAX(1, (uint32_t)admission->cold_per_s);
	if (g_queue_get_length(&admission->starts) < starts_max)
		return paced_ms;
	oldest = g_queue_peek_nth(&admission->starts,
	    g_queue_get_length(&admission->starts) - starts_max);
	return MAX(
	    paced_ms, MIN(*oldest + COLD_WINDOW_MS, admission->cold_until_ms));
}

/*
 * Return the expected wait of a request with ahead others before it in the
 * queue.
 */
int64_t
admission_expected_wait_ms(const struct admission *admission,
    const struct admission_waiter *waiter, uint32_t ahead, int64_t now_ms)
{
	double by_limit = (double)(ahead + 1) * admission->latency_us / 1000 /
	    admission_limit(admission);
	double by_rate =
	    (double)pacer_wait_ms(&admission->pacer, ahead, now_ms);
	double by_link = 0, by_turn = 0;

	if (admission_is_cold(admission, now_ms) && admission->cold_per_s > 0)
		by_rate = MAX(by_rate,
		    (double)(ahead + 1) * 1000 / admission->cold_per_s);
	if (waiter->bulk && admission->bulk_limit > 0)
		by_link = (double)admission_bulk_ahead(admission, waiter) *
		    admission->bulk_transfer_ms;
	if (waiter->alone)
		by_turn = (double)admission_alone_ahead(admission, waiter) *
		    admission->latency_us / 1000;
	return (int64_t)MAX(MAX(by_limit, by_rate), MAX(by_link, by_turn));
}

/* Refuse the queued requests that will not start in time. */
static void
refuse_late_starts(struct admission *admission, int64_t now_ms)
{
	GList *link = admission->queue.head;
	uint32_t ahead = 0;

	while (link != NULL) {
		struct admission_waiter *waiter = link->data;

		if (now_ms +
			admission_expected_wait_ms(
			    admission, waiter, ahead, now_ms) <=
		    waiter->latest_start_ms) {
			ahead++;
			link = link->next;
			continue;
		}
		/* The handler may change the queue. */
		admission_dequeue(admission, waiter, ADMISSION_TOO_LATE);
		link = admission->queue.head;
		ahead = 0;
	}
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
		refuse_late_starts(admission, now_ms);
}

/*
 * Treat the upstream as cold until a time, and limit its rate until then.
 */
void
admission_set_cold(struct admission *admission, int64_t until_ms, double per_s)
{
	admission->cold_until_ms = until_ms;
	admission->cold_per_s = per_s;
}
