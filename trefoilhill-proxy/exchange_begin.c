#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/gate.h"
#include "trefoilhill-proxy/heartbeat.h"
#include "trefoilhill-proxy/quarantine_news.h"
#include "trefoilhill-proxy/quota_link.h"

enum {
	DEADLINE_DEFAULT_MS = 10000, /* if the request names none */
};

static struct exchange *
exchange_new(struct caller *caller)
{
	struct exchange *exchange = g_new0(struct exchange, 1);
	struct http_stream *stream = caller->stream;

	exchange->caller = caller;
	exchange->proxy = caller->proxy;
	exchange->origin = caller->origin;
	exchange->started_ms = proxy_now_ms(caller->proxy);
	exchange->head = stream->head;
	stream->head = http_head_new(stream->holder);
	exchange->holder = account_holder_ref(stream->holder);
	account_charge(exchange->holder, EXCHANGE_BYTES);
	account_buffer_init(&exchange->body, exchange->holder);
	account_buffer_init(&exchange->buffered_body, exchange->holder);
	account_buffer_init(&exchange->response_head, exchange->holder);
	exchange->has_length = stream->has_length;
	exchange->length = stream->length;
	exchange->body_complete = stream->has_length && stream->length == 0;
	exchange->keep_alive = stream->keep_alive;
	exchange->http_1_0 = stream->parser.http_major < 1 ||
	    (stream->parser.http_major == 1 && stream->parser.http_minor < 1);
	exchange->is_head_method =
	    str_equal(http_head_span(exchange->head, exchange->head->method),
		str_from("HEAD"));
	uv_timer_init(exchange->proxy->loop, &exchange->timer);
	uv_timer_init(exchange->proxy->loop, &exchange->hedge);
	exchange->timer.data = exchange->hedge.data = exchange;
	exchange->open_timers = 2;
	exchange->proxy->exchanges++;
	caller_add_exchange(caller, exchange);
	return exchange;
}

static void
set_deadline(struct exchange *exchange, int64_t ms)
{
	exchange->deadline_ms = exchange->started_ms + ms;
	uv_timer_start(&exchange->timer, exchange_handle_deadline,
	    (uint64_t)MAX(ms, 1), 0);
}

/*
 * Draw one of a weighted route's services for this request: the first one if
 * all weights are 0.
 */
static const char *
choose_service(struct exchange *exchange)
{
	const GArray *destinations = exchange->route->destinations;
	const struct route_destination *list =
	    (const struct route_destination *)(void *)destinations->data;
	const struct route_destination *chosen = &list[0];
	double total = 0, drawn;

	for (guint i = 0; i < destinations->len; i++)
		total += list[i].weight;
	drawn = rng_unit(exchange->proxy->rng) * total;
	for (guint i = 0; i < destinations->len; i++) {
		if (list[i].weight <= 0)
			continue;
		chosen = &list[i];
		if (drawn < chosen->weight)
			break;
		drawn -= chosen->weight;
	}
	return chosen->service;
}

/*
 * Count a request in the retry budget of its service. Whether the caller is a
 * repeated run of the local upstream is drawn by the share of such runs among
 * those that may have made it.
 */
static void
count_request(struct exchange *exchange)
{
	struct proxy *proxy = exchange->proxy;
	struct run_counts callers = run_list_count_callers(
	    gate_runs(proxy->gate), exchange->deadline_ms);

	fleet_retry_budget_add_request(
	    proxy->retry_budget, exchange->service, exchange->started_ms);
	if (callers.repeats == 0 ||
	    rng_below(proxy->rng, callers.all) >= callers.repeats)
		return;
	exchange->called_by_repeat = true;
	fleet_retry_budget_charge(
	    proxy->retry_budget, exchange->service, exchange->started_ms);
}

/* That of the workspace, if it has one, else of the route. */
static uint32_t
priority_of(const struct exchange *exchange)
{
	const struct workspace *workspace = exchange->workspace;

	return workspace != NULL && workspace->has_priority
	    ? workspace->priority
	    : exchange->route->priority;
}

/*
 * Route a caller's request by the current configuration. caller_ms is the
 * caller's deadline, -1 for none. Returns false if it was responded to.
 */
static bool
route_request(struct exchange *exchange, int64_t caller_ms)
{
	struct proxy *proxy = exchange->proxy;
	struct mesh_config *config = catalog_config(proxy->catalog);
	const struct http_head *head = exchange->head;

	if (config == NULL) {
		exchange_respond(exchange, 503, "no_configuration", true);
		return false;
	}
	exchange->config = mesh_config_ref(config);
	exchange->route =
	    mesh_config_match(config, http_head_find(head, str_from("host")),
		http_head_span(head, head->target));
	if (exchange->route == NULL) {
		proxy_count(&proxy->stats, STAT_NO_ROUTE);
		exchange_respond(exchange, 404, "no_route", false);
		return false;
	}
	if (!exchange_check_key(exchange))
		return false;
	exchange->idempotent = exchange->route->idempotent;
	exchange->bulk = exchange->route->bulk;
	exchange->priority = priority_of(exchange);
	exchange->objective_ms = exchange->route->objective_ms;
	exchange->service = choose_service(exchange);
	exchange->spent_ms = run_times_retrying_ms(
	    proxy->run_times, exchange->route->name, caller_ms);
	if (caller_ms < 0 || caller_ms > exchange->route->timeout_ms)
		caller_ms = exchange->route->timeout_ms;
	set_deadline(exchange, caller_ms);
	if (!exchange_take_quota(exchange))
		return false;
	count_request(exchange);
	if (proxy_exits_before(proxy, exchange->deadline_ms)) {
		exchange_respond(exchange, 503, EXCHANGE_REASON_STOPPING, true);
		return false;
	}
	if (exchange->has_length &&
	    exchange->length > config->limits.body_max_bytes) {
		exchange_respond(exchange, 413, "body_too_large", false);
		return false;
	}
	return true;
}

static void
begin_peer_request(struct exchange *exchange)
{
	const struct http_head *head = exchange->head;

	proxy_count(&exchange->proxy->stats, STAT_PEER_REQUESTS);
	set_deadline(exchange, DEADLINE_DEFAULT_MS);
	if (heartbeat_is_target(http_head_span(head, head->target)))
		return;
	if (!hop_read_request(head, &exchange->hop)) {
		exchange_respond(exchange, 400, "not_from_a_node", false);
		return;
	}
	exchange->idempotent = exchange->hop.idempotent;
	exchange->bulk = exchange->hop.bulk;
	exchange->late = exchange->hop.late;
	exchange->priority = exchange->hop.priority;
	exchange->called_by_repeat = exchange->hop.repeat;
	exchange->key = exchange->hop.key;
	exchange->has_key = exchange->key.high != 0 || exchange->key.low != 0;
	if (exchange->hop.suspect_text.len > 0)
		quarantine_news_read(exchange->proxy->quarantine_news,
		    exchange->hop.suspect_text);
	quota_link_apply(exchange->proxy->quota_link, exchange->hop.quota_text);
	set_deadline(exchange, exchange->hop.remaining_ms);
	if (!exchange->hop.confirm)
		return;
	exchange->has_length = true;
	exchange->length = (uint64_t)exchange->hop.body_length;
	exchange_dispatch(exchange);
}

/*
 * Ask the sender of a request that has a place at the upstream to confirm it.
 * Until then the sender may choose another upstream, and may tell its caller
 * that the request has not run, when this node or the way to it is lost.
 */
bool
exchange_request_confirmation(struct exchange *exchange)
{
	if (!exchange->hop.confirm || exchange->confirmed)
		return false;
	http_stream_write(exchange->caller->stream,
	    str_from("HTTP/1.1 100 Continue\r\n\r\n"));
	return true;
}

/*
 * Begin the exchange for the request head that the caller's connection has
 * just parsed.
 */
void
exchange_begin(struct caller *caller)
{
	struct exchange *exchange = exchange_new(caller);
	struct platform_request_headers headers;

	platform_parse_request_headers(exchange->head, &headers);
	exchange->id = headers.id;
	if (exchange->origin == CALLER_PEER) {
		begin_peer_request(exchange);
		return;
	}
	proxy_count(&exchange->proxy->stats, STAT_REQUESTS);
	set_deadline(exchange,
	    headers.deadline_ms < 0 ? DEADLINE_DEFAULT_MS
				    : headers.deadline_ms);
	route_request(exchange, headers.deadline_ms);
}
