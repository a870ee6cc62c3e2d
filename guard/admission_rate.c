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

/* Return the pacer of a cold upstream, with the rate in force. */
static struct pacer *
cold_pacer(struct admission *admission, int64_t now_ms)
{
	pacer_set_rate(&admission->cold_pacer,
	    (uint32_t)(admission->cold_per_s * MS_PER_S), now_ms);
	return &admission->cold_pacer;
}

/*
 * Count a request that starts now.
 */
void
admission_record_start(struct admission *admission,
    const struct admission_waiter *waiter, int64_t now_ms)
{
	struct admission_run run = {
		.waiter = waiter,
		.started_ms = now_ms,
		.run_us = waiter->run_us,
		.alone = waiter->alone,
	};
	int64_t *start_ms = g_new(int64_t, 1);

	*start_ms = now_ms;
	g_queue_push_tail(&admission->starts, start_ms);
	pacer_record_start(&admission->pacer, now_ms);
	if (admission_is_cold(admission, now_ms))
		pacer_record_start(cold_pacer(admission, now_ms), now_ms);
	admission->in_flight++;
	admission->bulk_in_flight += waiter->bulk;
	admission->alone_in_flight += waiter->alone;
	g_array_append_val(admission->runs, run);
	if (!waiter->promoted)
		class_share_add_served(&admission->shares, waiter->priority);
	class_share_add_work(
	    &admission->shares, waiter->priority, waiter->run_us);
}

/*
 * Count a started request that ends now.
 */
void
admission_record_end(
    struct admission *admission, const struct admission_waiter *waiter)
{
	guint found = 0;

	admission->in_flight--;
	admission->bulk_in_flight -= waiter->bulk;
	admission->alone_in_flight -= waiter->alone;
	for (guint i = 0; i < admission->runs->len; i++) {
		if (g_array_index(admission->runs, struct admission_run, i)
			.waiter == waiter) {
			found = i;
			break;
		}
	}
	if (admission->runs->len > 0)
		g_array_remove_index_fast(admission->runs, found);
}

/*
 * When the last second has room for another start at a cold upstream. Counts
 * those from before it was cold.
 */
static int64_t
cold_window_ms(const struct admission *admission)
{
	uint32_t starts_max = MAX(1, (uint32_t)admission->cold_per_s);
	uint32_t count = g_queue_get_length((GQueue *)&admission->starts);
	const int64_t *oldest;

	if (count < starts_max)
		return 0;
	oldest =
	    g_queue_peek_nth((GQueue *)&admission->starts, count - starts_max);
	return *oldest + COLD_WINDOW_MS;
}

/*
 * Return the earliest time for the next start; now_ms or earlier means at once.
 */
int64_t
admission_next_start_ms(struct admission *admission, int64_t now_ms)
{
	int64_t paced_ms = pacer_next_ms(&admission->pacer);
	int64_t cold_ms;

	if (admission->paused_until_ms > now_ms)
		return admission->paused_until_ms;
	prune_starts(admission, now_ms);
	if (!admission_is_cold(admission, now_ms))
		return paced_ms;
	cold_ms = MAX(cold_window_ms(admission),
	    pacer_next_ms(cold_pacer(admission, now_ms)));
	return MAX(paced_ms, MIN(cold_ms, admission->cold_until_ms));
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
