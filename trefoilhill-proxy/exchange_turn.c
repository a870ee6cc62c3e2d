#include "trefoilhill-proxy/exchange.h"

/*
 * The place of a response on its connection: responses of pipelined requests
 * are held until those before them have been sent.
 */

/* May the connection carry another request after this response? */
static bool
is_connection_reusable(const struct exchange *exchange)
{
	const struct caller *caller = exchange->caller;

	return exchange->keep_alive &&
	    (!exchange->proxy->stopping ||
		!caller_may_close(caller, exchange)) &&
	    (exchange->body_complete || exchange->hop.confirm);
}

/*
 * Close the connection after the response if it can't carry another request.
 */
void
exchange_write_connection(struct exchange *exchange)
{
	if (is_connection_reusable(exchange))
		return;
	exchange->caller->close_after_response = true;
	account_buffer_append(
	    &exchange->response_head, str_from("Connection: close\r\n"));
}

/*
 * Hold a complete response until its turn. What the request still uses is
 * released, and its deadline no longer applies: a response is delivered even
 * when late.
 */
void
exchange_hold_response(struct exchange *exchange)
{
	exchange->held = true;
	exchange->response_complete = true;
	exchange->responding = NULL;
	uv_timer_stop(&exchange->timer);
	uv_timer_stop(&exchange->hedge);
	exchange_cancel_attempts(exchange, NULL);
	/* Cancelling lets the gate run others, which may end the connection. */
	if (exchange->caller == NULL)
		return;
	if (exchange->caller->receiving == exchange)
		http_stream_resume(exchange->caller->stream);
	caller_advance(exchange->caller);
}

/*
 * Stop reading a response that has to wait for its turn once the bytes held
 * for the connection are at their limit. more is what is known to follow.
 */
void
exchange_pause_if_held(struct exchange *exchange, uint64_t more)
{
	const struct attempt *attempt = exchange->responding;

	exchange->held = true;
	if (!caller_may_buffer(exchange->caller, (size_t)more) &&
	    attempt != NULL && attempt->stream != NULL)
		http_stream_pause(attempt->stream);
}

static void
write_continue(struct exchange *exchange)
{
	if (!exchange->continue_due || exchange->body_complete)
		return;
	exchange->continue_due = false;
	http_stream_write(exchange->caller->stream,
	    str_from("HTTP/1.1 100 Continue\r\n\r\n"));
	/* The caller has waited for this before sending the body. */
	uv_timer_again(&exchange->caller->timer);
}

/* The connection has no more than one response that is not limited. */
static void
lift_read_limits(struct exchange *exchange)
{
	for (size_t i = 0; i < EXCHANGE_ATTEMPTS_MAX; i++) {
		const struct attempt *attempt = exchange->attempts[i];

		if (attempt != NULL && attempt->stream != NULL)
			attempt->stream->read_max_bytes = 0;
	}
}

/*
 * The turn of a response of which a part has been received. Nothing of it is
 * sent before more arrives: the sender may have given up while reading was
 * paused, and then the request can still be retried.
 */
static void
send_begun(struct exchange *exchange)
{
	exchange_write_connection(exchange);
	exchange_resume_response(exchange);
}

/*
 * The turn of a complete response of an upstream.
 */
static void
send_held(struct exchange *exchange)
{
	exchange_write_connection(exchange);
	exchange_send_complete(exchange);
}

/*
 * All responses before this one have been sent: send what there is of it.
 */
void
exchange_take_turn(struct exchange *exchange)
{
	exchange->has_turn = true;
	lift_read_limits(exchange);
	if (exchange->response_complete && exchange->has_local_response)
		exchange_send_local(exchange);
	else if (exchange->response_complete)
		send_held(exchange);
	else if (exchange->responding != NULL)
		send_begun(exchange);
	else
		write_continue(exchange);
}

/*
 * Forward a request that has waited for others.
 */
void
exchange_forward_waiting(struct exchange *exchange)
{
	exchange->waiting = false;
	if (proxy_exits_before(exchange->proxy, exchange->deadline_ms))
		exchange_respond(exchange, 503, EXCHANGE_REASON_STOPPING, true);
	else
		exchange_dispatch(exchange);
}
