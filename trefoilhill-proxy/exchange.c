#include "trefoilhill-proxy/exchange.h"

/*
 * Return the time until the deadline; negative once it has passed.
 */
int64_t
exchange_remaining_ms(const struct exchange *exchange)
{
	return exchange->deadline_ms - proxy_now_ms(exchange->proxy);
}

/*
 * Return the number of attempts in progress.
 */
uint32_t
exchange_active_attempts(const struct exchange *exchange)
{
	uint32_t count = 0;

	for (size_t i = 0; i < EXCHANGE_ATTEMPTS_MAX; i++)
		count += exchange->attempts[i] != NULL;
	return count;
}

/*
 * Log an event of the request with the state that led to it. attempt may be
 * NULL.
 */
void
exchange_log(struct exchange *exchange, enum log_class class, const char *event,
    const struct attempt *attempt, const char *reason)
{
	struct proxy *proxy = exchange->proxy;
	struct json_line *line = json_log_begin(proxy->log, class, event);

	if (line == NULL)
		return;
	json_line_text(line, "request", exchange->id);
	json_line_cstr(
	    line, "from", exchange->origin == CALLER_PEER ? "peer" : "caller");
	json_line_cstr(line, "reason", reason);
	if (exchange->has_key) {
		char key[REQUEST_KEY_TEXT_MAX];

		request_key_format(exchange->key, key);
		json_line_cstr(line, "key", key);
	}
	exchange_log_key(exchange, line);
	json_line_int(
	    line, "age_ms", proxy_now_ms(proxy) - exchange->started_ms);
	json_line_int(line, "left_ms", exchange_remaining_ms(exchange));
	json_line_cstr(line, "route",
	    exchange->route == NULL ? "" : exchange->route->name);
	json_line_cstr(line, "config",
	    exchange->config == NULL ? "" : exchange->config->label);
	json_line_int(line, "config_age_ms",
	    proxy_now_ms(proxy) - catalog_config_ms(proxy->catalog));
	if (attempt != NULL) {
		const struct upstream *upstream = attempt->upstream;

		json_line_int(line, "attempt", attempt->number);
		json_line_cstr(line, "upstream", upstream->entry.id);
		json_line_bool(line, "local", attempt->local);
		json_line_bool(line, "repeat",
		    attempt->is_retry || exchange->called_by_repeat);
		json_line_int(line, "limit", upstream->load.limit);
		json_line_int(line, "in_flight", upstream->load.in_flight);
		json_line_int(line, "queued", upstream->load.queued);
		if (upstream->notice.has_rate_limit)
			json_line_int(line, "rate_limit_per_ks",
			    upstream->notice.rate_limit_per_ks);
		json_line_bool(line, "leaving", upstream->notice.leaving);
		json_line_int(line, "load_age_ms",
		    upstream->load_ms == 0
			? -1
			: proxy_now_ms(proxy) - upstream->load_ms);
	}
	if (exchange->status != 0)
		json_line_int(line, "status", exchange->status);
	exchange_log_quota(exchange, line);
	json_log_end(line);
}

/*
 * Cancel all attempts except one, which may be NULL.
 */
void
exchange_cancel_attempts(
    struct exchange *exchange, const struct attempt *except)
{
	for (size_t i = 0; i < EXCHANGE_ATTEMPTS_MAX; i++) {
		struct attempt *attempt = exchange->attempts[i];

		if (attempt == NULL || attempt == except)
			continue;
		exchange->attempts[i] = NULL;
		/* The upstream may run it to its end all the same. */
		exchange->runs += attempt->may_run;
		attempt_cancel(attempt);
	}
}

static void
exchange_free(struct exchange *exchange)
{
	for (size_t i = 0; i < exchange->tried_count; i++)
		upstream_unref(exchange->tried_refs[i]);
	http_head_free(exchange->head);
	account_buffer_release(&exchange->body);
	account_buffer_release(&exchange->response_head);
	account_buffer_release(&exchange->buffered_body);
	account_refund(exchange->holder, EXCHANGE_BYTES);
	account_holder_unref(exchange->holder);
	mesh_config_unref(exchange->config);
	g_free(exchange);
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	struct exchange *exchange = handle->data;

	if (--exchange->open_timers == 0)
		exchange_free(exchange);
}

/*
 * End the exchange and cancel what is in progress. It makes no further calls to
 * the caller, and is freed once its timers are closed.
 */
void
exchange_finish(struct exchange *exchange)
{
	if (exchange->ended)
		return;
	exchange->ended = true;
	if (exchange->caller != NULL)
		caller_remove_exchange(exchange->caller, exchange);
	exchange_cancel_attempts(exchange, NULL);
	shaper_flow_end(exchange->proxy->shaper, &exchange->flow);
	exchange->proxy->exchanges--;
	if (exchange->origin == CALLER_LOCAL)
		proxy_record_latency(&exchange->proxy->stats, LATENCY_TOTAL,
		    proxy_now_ms(exchange->proxy) - exchange->started_ms);
	uv_close((uv_handle_t *)&exchange->timer, handle_timer_closed);
	uv_close((uv_handle_t *)&exchange->hedge, handle_timer_closed);
}

/*
 * The caller has closed its connection: end the exchange.
 */
void
exchange_abandon(struct exchange *exchange)
{
	exchange->caller = NULL;
	if (exchange->origin == CALLER_LOCAL)
		proxy_count(&exchange->proxy->stats, STAT_CALLER_GONE);
	exchange_log(exchange, LOG_CLASS_DECISION, "caller_gone", NULL, "");
	if (exchange->attempt_count == 0)
		exchange_return_quota(exchange);
	exchange_finish(exchange);
}

/*
 * Abort a response that has started and can't be completed. The connection is
 * reset, so that the caller detects it.
 */
void
exchange_abort_response(struct exchange *exchange,
    const struct attempt *attempt, const char *reason)
{
	struct caller *caller = exchange->caller;
	bool is_delimited = !exchange->http_1_0;

	if (exchange->origin == CALLER_LOCAL)
		proxy_count(&exchange->proxy->stats, STAT_TRUNCATED);
	exchange_log(
	    exchange, LOG_CLASS_FAILURE, "answer_cut", attempt, reason);
	exchange_finish(exchange);
	caller_cut(caller, is_delimited);
}

/* Cancel all attempts; returns whether the request may have run. */
static bool
give_up(struct exchange *exchange)
{
	bool sent = exchange->may_have_run;

	for (size_t i = 0; i < EXCHANGE_ATTEMPTS_MAX; i++)
		sent = sent ||
		    (exchange->attempts[i] != NULL &&
			exchange->attempts[i]->may_run);
	exchange->may_have_run = sent;
	exchange_cancel_attempts(exchange, NULL);
	return sent;
}

/* The deadline has passed without a response. */
static void
respond_deadline(struct exchange *exchange)
{
	bool sent = give_up(exchange);

	exchange_respond(exchange, sent ? 504 : 503, "deadline", !sent);
}

/*
 * The process ends: respond, or cut a response that has started.
 */
void
exchange_end_by_stop(struct exchange *exchange)
{
	bool sent;

	if (exchange->committed) {
		exchange_abort_response(
		    exchange, exchange->responding, EXCHANGE_REASON_STOPPING);
		return;
	}
	sent = give_up(exchange);
	exchange_respond(
	    exchange, sent ? 502 : 503, EXCHANGE_REASON_STOPPING, !sent);
}

/*
 * The caller's deadline or the route's timeout has passed.
 */
void
exchange_handle_deadline(uv_timer_t *timer)
{
	struct exchange *exchange = (struct exchange *)timer;

	if (exchange->ended)
		return;
	if (!exchange->committed) {
		respond_deadline(exchange);
		return;
	}
	exchange_abort_response(exchange, exchange->responding, "deadline");
}

/*
 * Resume reading the response: the caller's connection is writable again.
 */
void
exchange_resume_response(struct exchange *exchange)
{
	if (exchange->responding != NULL &&
	    exchange->responding->stream != NULL)
		http_stream_resume(exchange->responding->stream);
}
