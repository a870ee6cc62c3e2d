#include "trefoilhill-proxy/attempt.h"
#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/peer_health.h"

/*
 * Confirmation of requests that may run once, on both sides: the entry sends a
 * request without its body, the upstream's node asks to continue when it has a
 * place, and runs the request when the body has come.
 */
enum {
	/*
	 * For the sender to confirm a request that has a place here. It takes
	 * one round trip, while the place is idle.
	 */
	CONFIRM_MAX_MS = 300,
	/* For the peer's request to confirm, beyond the longest wait there. */
	GRANT_MARGIN_MS = 150,
	/* A larger body would fill the buffers on the way. */
	CONFIRM_BODY_MAX_BYTES = 64 * 1024,
};

/*
 * Tell whether a request may only run once and can wait for confirmation, as
 * all of its body is at hand.
 */
bool
attempt_may_await_confirmation(const struct exchange *exchange)
{
	return !exchange->idempotent && exchange->body_complete &&
	    exchange_is_resendable(exchange) &&
	    account_buffer_len(&exchange->body) <= CONFIRM_BODY_MAX_BYTES;
}

static void
handle_grant_timeout(uv_timer_t *timer)
{
	struct attempt *attempt = (struct attempt *)timer;

	if (attempt->ended || attempt->may_run)
		return;
	peer_health_failed(attempt->proxy, attempt->peer, "no_grant");
	attempt_fail(attempt, ATTEMPT_FAILURE_NOT_RUN, "no_grant");
}

/*
 * Limit the wait for the peer to ask for confirmation. The peer refuses the
 * request itself when it can't start in time, so silence means that it is lost.
 */
void
attempt_await_grant(struct attempt *attempt)
{
	uv_timer_start(&attempt->timer, handle_grant_timeout,
	    (uint64_t)attempt->queue_timeout_ms + GRANT_MARGIN_MS, 0);
}

/*
 * The peer has a place for the request: confirm it by sending the body. From
 * now on it may run.
 */
void
attempt_handle_continue(struct http_stream *stream)
{
	struct attempt *attempt = stream->owner;

	if (attempt->ended || attempt->local || attempt->may_run ||
	    attempt_is_unwanted(attempt))
		return;
	attempt->may_run = true;
	uv_timer_stop(&attempt->timer);
	exchange_log(
	    attempt->exchange, LOG_CLASS_DECISION, "confirmed", attempt, "");
	exchange_push_body(attempt->exchange);
}

/*
 * End the request message of an attempt that the peer has refused, so that the
 * connection can be used again. It can't run any more.
 */
void
attempt_end_request(struct attempt *attempt)
{
	if (attempt->may_run || !attempt->needs_confirmation)
		return;
	http_stream_write(attempt->stream, str_from("0\r\n\r\n"));
	attempt->body_end_sent = true;
}

static void
handle_confirm_timeout(uv_timer_t *timer)
{
	struct attempt *attempt = (struct attempt *)timer;

	if (!attempt->ended)
		attempt_fail(attempt, ATTEMPT_FAILURE_NOT_RUN, "unconfirmed");
}

/*
 * Run an admitted request, or ask its sender to confirm it first.
 */
void
attempt_start_admitted(struct attempt *attempt)
{
	attempt->admitted = true;
	if (!exchange_request_confirmation(attempt->exchange)) {
		attempt_connect(attempt);
		return;
	}
	attempt->awaits_confirmation = true;
	uv_timer_start(
	    &attempt->timer, handle_confirm_timeout, CONFIRM_MAX_MS, 0);
}

/*
 * Run a request that has a place at the upstream and waited for confirmation.
 */
void
attempt_confirm(struct attempt *attempt)
{
	if (!attempt->awaits_confirmation)
		return;
	attempt->awaits_confirmation = false;
	uv_timer_stop(&attempt->timer);
	attempt_connect(attempt);
}
