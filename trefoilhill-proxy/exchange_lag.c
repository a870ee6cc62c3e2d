#include "guard/lag_policy.h"
#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/loop_lag.h"

/* What exchanges and attempts do because the event loop may be behind its
 * sockets. */

/* Has the caller closed its connection, as far as that may be unseen? */
static bool
has_caller_left(struct exchange *exchange, int64_t lag_ms)
{
	struct http_stream *stream;

	if (exchange->caller == NULL || exchange->caller->stream == NULL)
		return true;
	stream = exchange->caller->stream;
	if (!lag_policy_checks_caller(
		lag_ms, proxy_now_ms(exchange->proxy) - exchange->started_ms) ||
	    !http_stream_is_peer_closed(stream))
		return false;
	/* The close is read next, and ends the exchange. */
	http_stream_resume(stream);
	return true;
}

/*
 * Return why the request must not be sent, or NULL if it may: its time is over,
 * or its caller has left.
 */
const char *
exchange_unwanted_reason(struct exchange *exchange)
{
	struct proxy *proxy = exchange->proxy;
	int64_t lag_ms = loop_lag_update_ms(proxy->loop_lag);

	if (!exchange->caller_left && has_caller_left(exchange, lag_ms)) {
		exchange->caller_left = true;
		proxy_count(&proxy->stats, STAT_UNSENT_CALLER_GONE);
	}
	if (exchange->caller_left)
		return "caller_gone";
	if (exchange_remaining_ms(exchange) > 0)
		return NULL;
	proxy_count(&proxy->stats, STAT_UNSENT_DEADLINE);
	return "deadline";
}

/*
 * Fail the attempt if its request must not be sent any more. Called right
 * before each step that lets the request run. Returns true if it has failed.
 */
bool
attempt_is_unwanted(struct attempt *attempt)
{
	const char *reason = exchange_unwanted_reason(attempt->exchange);

	if (reason == NULL)
		return false;
	attempt->blocked = true;
	attempt_fail(attempt, ATTEMPT_FAILURE_NOT_RUN, reason);
	return true;
}

/*
 * Refuse a new request that this node can't serve by its deadline, given how
 * far it lags. Returns true if it was refused.
 */
bool
exchange_refuse_by_lag(struct exchange *exchange, int64_t run_ms)
{
	struct proxy *proxy = exchange->proxy;

	if (!lag_policy_refuses(loop_lag_expected_ms(proxy->loop_lag),
		exchange_remaining_ms(exchange), run_ms))
		return false;
	proxy_count(&proxy->stats, STAT_REFUSED_LAG);
	exchange_respond(
	    exchange, 503, "node_lags", exchange->origin == CALLER_LOCAL);
	return true;
}
