#include "trefoilhill-proxy/exchange.h"

/* What an exchange does when an attempt fails or its response arrives. */

static size_t
attempt_index(const struct exchange *exchange, const struct attempt *attempt)
{
	size_t i = 0;

	while (i < EXCHANGE_ATTEMPTS_MAX && exchange->attempts[i] != attempt)
		i++;
	return i;
}

static void
respond_peer_failure(
    struct exchange *exchange, enum attempt_failure failure, const char *reason)
{
	exchange->may_have_run = failure == ATTEMPT_FAILURE_UNKNOWN;
	exchange_respond(exchange,
	    failure == ATTEMPT_FAILURE_UNKNOWN ? 502 : 503, reason, false);
}

/*
 * The response being relayed was truncated: abort it if the caller has seen its
 * head, else discard it. Returns true if it was aborted.
 */
static bool
abort_failed_response(struct exchange *exchange, struct attempt *attempt)
{
	exchange->responding = NULL;
	if (!exchange->committed) {
		account_buffer_clear(&exchange->response_head);
		account_buffer_clear(&exchange->buffered_body);
		return false;
	}
	exchange_abort_response(exchange, attempt, "upstream broke off");
	return true;
}

/* Retry after a failed attempt that may have run, if that is allowed. */
static void
handle_unknown_outcome(struct exchange *exchange)
{
	exchange->may_have_run = true;
	exchange->runs++;
	if (exchange_active_attempts(exchange) > 0)
		return;
	if (!exchange_is_retry_allowed(exchange) ||
	    !exchange_take_retry_token(exchange)) {
		exchange_respond_no_upstream(exchange);
		return;
	}
	proxy_count(&exchange->proxy->stats, STAT_RETRIES);
	exchange_start_next(exchange, true, false);
}

/*
 * Tell whether an attempt failed as the gate had no place for it.
 */
bool
exchange_is_place_refusal(const char *reason)
{
	static const enum admission_reason no_place[] = {
		ADMISSION_FULL,
		ADMISSION_TOO_LATE,
		ADMISSION_EXPIRED,
		ADMISSION_DISPLACED,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(no_place); i++)
		if (g_strcmp0(reason, admission_reason_name(no_place[i])) == 0)
			return true;
	return false;
}

static void
handle_failed(
    struct attempt *attempt, enum attempt_failure failure, const char *reason)
{
	struct exchange *exchange = attempt->exchange;
	size_t index = attempt_index(exchange, attempt);

	if (index == EXCHANGE_ATTEMPTS_MAX || exchange->ended ||
	    exchange->caller == NULL)
		return;
	exchange->attempts[index] = NULL;
	g_strlcpy(exchange->reason, reason, sizeof(exchange->reason));
	if (g_strcmp0(reason, ATTEMPT_REASON_CRASHED) == 0)
		exchange->suspect = true;
	exchange_log(exchange,
	    failure == ATTEMPT_FAILURE_NOT_RUN ? LOG_CLASS_DECISION
					       : LOG_CLASS_FAILURE,
	    failure == ATTEMPT_FAILURE_NOT_RUN ? "not_run" : "unknown", attempt,
	    reason);
	if (exchange->caller_left)
		return;
	if (attempt == exchange->responding &&
	    abort_failed_response(exchange, attempt))
		return;
	if (exchange->origin == CALLER_PEER) {
		if (attempt->upstream_rejected)
			exchange->upstream_rejections++;
		respond_peer_failure(exchange, failure, reason);
		return;
	}
	if (failure == ATTEMPT_FAILURE_UNKNOWN) {
		handle_unknown_outcome(exchange);
		return;
	}
	if (exchange_is_place_refusal(reason))
		service_room_record_refusal(exchange->proxy->service_room,
		    exchange->service, exchange->priority,
		    proxy_now_ms(exchange->proxy));
	if (exchange_active_attempts(exchange) > 0)
		return;
	if (g_strcmp0(exchange->reason, EXCHANGE_REASON_QUARANTINED) == 0) {
		exchange_respond_quarantined(exchange);
		return;
	}
	exchange->rejected_with_room =
	    attempt->upstream_rejected && attempt->upstream->load.queued == 0;
	/* A retry after the upstream's own rejection uses the budget. */
	if (attempt->upstream_rejected && !exchange_take_retry_token(exchange))
		exchange_respond_no_upstream(exchange);
	else
		exchange_start_next(exchange,
		    attempt->is_retry || attempt->upstream_rejected, false);
}

/* Retry a 5xx response at another upstream; returns false if not allowed. */
static bool
retry_failed_response(struct exchange *exchange, struct attempt *attempt)
{
	size_t index = attempt_index(exchange, attempt);

	if (exchange->origin == CALLER_PEER || attempt->status < 500 ||
	    attempt->status == 504 || exchange_active_attempts(exchange) > 1 ||
	    exchange->runs + 1 >= exchange->route->attempts_max ||
	    !exchange_is_retry_allowed(exchange))
		return false;
	exchange->runs++;
	if (!exchange_take_retry_token(exchange)) {
		exchange->runs--;
		return false;
	}
	exchange->may_have_run = true;
	g_snprintf(exchange->reason, sizeof(exchange->reason), "status_%u",
	    attempt->status);
	exchange_log(exchange, LOG_CLASS_DECISION, "failure_repeated", attempt,
	    exchange->reason);
	proxy_count(&exchange->proxy->stats, STAT_RETRIES);
	exchange->attempts[index] = NULL;
	attempt_discard(attempt);
	exchange_start_next(exchange, true, false);
	return true;
}

/* Record what a response tells of its route and its service. */
static void
record_run(struct exchange *exchange, const struct attempt *attempt)
{
	struct proxy *proxy = exchange->proxy;
	int64_t now_ms = proxy_now_ms(proxy);
	int64_t first_run_ms = attempt->run_ms;

	if (exchange->route == NULL || attempt->status >= 500)
		return;
	service_room_record_run(
	    proxy->service_room, exchange->service, exchange->priority, now_ms);
	if (exchange->bulk)
		return;
	if (attempt->hedge) {
		proxy_count(&proxy->stats, STAT_HEDGES_WON);
		first_run_ms =
		    MAX(first_run_ms, now_ms - exchange->hedge_from_ms);
	}
	run_times_add(proxy->run_times, exchange->route->name, attempt->run_ms);
	run_times_add_tail(
	    proxy->run_times, exchange->route->name, first_run_ms, now_ms);
}

static void
handle_head(struct attempt *attempt)
{
	struct exchange *exchange = attempt->exchange;

	if (retry_failed_response(exchange, attempt))
		return;
	exchange->response_started_ms = proxy_now_ms(exchange->proxy);
	exchange->response_run_ms = attempt->run_ms;
	record_run(exchange, attempt);
	exchange->responding = attempt;
	uv_timer_stop(&exchange->hedge);
	exchange_cancel_attempts(exchange, attempt);
	exchange_relay_head(exchange, attempt);
}

static void
handle_body(struct attempt *attempt, struct str bytes)
{
	exchange_relay_body(attempt->exchange, bytes);
}

static void
handle_body_pause(struct attempt *attempt)
{
	exchange_relay_buffered(attempt->exchange);
}

static void
handle_end(struct attempt *attempt)
{
	struct exchange *exchange = attempt->exchange;
	size_t index = attempt_index(exchange, attempt);

	if (index < EXCHANGE_ATTEMPTS_MAX)
		exchange->attempts[index] = NULL;
	exchange_relay_end(exchange);
}

const struct attempt_ops exchange_attempt_ops = {
	.handle_head = handle_head,
	.handle_body = handle_body,
	.handle_body_pause = handle_body_pause,
	.handle_end = handle_end,
	.handle_failed = handle_failed,
};
