#include "route/return_time.h"
#include "trefoilhill-proxy/exchange.h"

/* When refused callers are told to come back. */

enum {
	SECONDS_TEXT_MAX = 24,
	/* Estimates run times from the objective before the first response. */
	RUN_ESTIMATE_DIVISOR = 3,
	/* After later returns a request is late, see route/queue_time.c. */
	RUN_MARGIN_FACTOR = 2,
	/* The rest of the time is left for the queue, or one more attempt. */
	RETURN_ON_TIME_PERCENT = 60,
};

/* What the time of a refused caller's return depends on. */
static struct return_situation
return_situation_of(const struct exchange *exchange)
{
	const struct proxy *proxy = exchange->proxy;
	int64_t now_ms = proxy_now_ms(proxy);
	int64_t spent_ms = exchange->spent_ms + now_ms - exchange->started_ms;
	uint32_t run_ms = exchange->work_ms > 0
	    ? exchange->work_ms
	    : exchange->objective_ms / RUN_ESTIMATE_DIVISOR;
	struct return_situation situation = {
		.rejected_with_room = exchange->rejected_with_room,
		.remaining_ms = exchange_remaining_ms(exchange),
		.on_time_ms = (exchange->objective_ms - spent_ms -
				  (int64_t)RUN_MARGIN_FACTOR * run_ms) *
		    RETURN_ON_TIME_PERCENT / 100,
		.service = exchange->service,
		.priority = exchange->priority,
		.now_ms = now_ms,
	};

	if (exchange->service != NULL)
		situation.room = return_room_of(
		    catalog_group(proxy->catalog, exchange->service),
		    g_hash_table_size(catalog_peers(proxy->catalog)), run_ms,
		    now_ms);
	return situation;
}

/*
 * Append when a refused caller is to retry, in seconds with three decimals.
 */
void
exchange_write_retry_after(struct exchange *exchange)
{
	struct proxy *proxy = exchange->proxy;
	struct return_situation situation = return_situation_of(exchange);
	int64_t ms = exchange->quota_retry_ms > 0
	    ? exchange->quota_retry_ms
	    : return_time_ms(&situation, proxy->return_queue, proxy->rng);
	char seconds[SECONDS_TEXT_MAX];

	proxy_count(&proxy->stats, STAT_RETURNS_PROMISED);
	proxy_record_latency(&proxy->stats, LATENCY_RETURN, ms);
	g_snprintf(seconds, sizeof(seconds), "%d.%03d", (int)(ms / 1000),
	    (int)(ms % 1000));
	http_field_store(&exchange->response_head, str_from("Retry-After"),
	    str_from(seconds));
}
