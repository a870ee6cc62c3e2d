#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/heartbeat.h"
#include "trefoilhill-proxy/loop_lag.h"

/* The body of a request, on its way from the caller to the attempts. */

enum {
	/* Larger request bodies are streamed. */
	BODY_BUFFER_BYTES = REQUEST_KEY_BODY_BYTES,
	/* Reading from the caller pauses above this. */
	BODY_HIGH_WATER_BYTES = 256 * 1024,
	HEARTBEAT_BODY_MAX = 16 * 1024 * 1024,
};

/*
 * Tell whether the request can be sent as a whole: nothing of its body has been
 * dropped.
 */
bool
exchange_is_resendable(const struct exchange *exchange)
{
	return exchange->body_dropped == 0;
}

/*
 * Send more of the request body on all attempts, and drop what all of them have
 * sent if the body is too large to buffer. Resumes reading from the caller once
 * there is room.
 */
void
exchange_push_body(struct exchange *exchange)
{
	uint64_t min_sent = UINT64_MAX;
	uint64_t end =
	    exchange->body_dropped + account_buffer_len(&exchange->body);

	for (size_t i = 0; i < EXCHANGE_ATTEMPTS_MAX; i++) {
		struct attempt *attempt = exchange->attempts[i];

		if (attempt == NULL)
			continue;
		attempt_push_body(attempt);
		min_sent = MIN(min_sent, attempt->body_sent);
	}
	/*
	 * A large body makes room for the rest of it, instead of being kept for
	 * a retry. One that is here as a whole needs no more room.
	 */
	if (min_sent != UINT64_MAX && end > BODY_BUFFER_BYTES &&
	    !exchange->body_complete && min_sent > exchange->body_dropped) {
		account_buffer_consume(
		    &exchange->body, min_sent - exchange->body_dropped);
		exchange->body_dropped = min_sent;
	}
	if (account_buffer_len(&exchange->body) <= BODY_HIGH_WATER_BYTES &&
	    exchange->caller != NULL && exchange->caller->receiving == exchange)
		http_stream_resume(exchange->caller->stream);
}

static bool
is_heartbeat(const struct exchange *exchange)
{
	return exchange->origin == CALLER_PEER &&
	    heartbeat_is_target(
		http_head_span(exchange->head, exchange->head->target));
}

/* The largest body, which for a peer's request its own node has checked. */
static uint64_t
body_max_bytes(const struct exchange *exchange)
{
	if (is_heartbeat(exchange))
		return HEARTBEAT_BODY_MAX;
	return exchange->config == NULL
	    ? UINT64_MAX
	    : exchange->config->limits.body_max_bytes;
}

/*
 * Handle a part of the request body, which may be as small as a byte.
 */
void
exchange_append_body(struct exchange *exchange, struct str bytes)
{
	uint64_t total;

	account_buffer_append(&exchange->body, bytes);
	total = exchange->body_dropped + account_buffer_len(&exchange->body);
	if (total > body_max_bytes(exchange)) {
		exchange_cancel_attempts(exchange, NULL);
		if (exchange->committed)
			return;
		exchange_respond(exchange, 413, "body_too_large", false);
	}
}

/*
 * Go on with the parts of the request body that were received at once.
 */
void
exchange_handle_body(struct exchange *exchange)
{
	uint64_t total =
	    exchange->body_dropped + account_buffer_len(&exchange->body);

	if (total > BODY_BUFFER_BYTES && exchange->attempt_count == 0 &&
	    !is_heartbeat(exchange))
		exchange_dispatch(exchange);
	if (exchange->ended || exchange->response_complete)
		return;
	exchange_push_body(exchange);
	if (account_buffer_len(&exchange->body) > BODY_HIGH_WATER_BYTES &&
	    exchange->caller != NULL &&
	    (exchange->attempt_count > 0 || exchange->waiting))
		http_stream_pause(exchange->caller->stream);
}

static void
send_heartbeat_response(struct exchange *exchange, GBytes *response)
{
	GString *head = g_string_new(NULL);

	g_string_printf(head, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n",
	    g_bytes_get_size(response));
	hop_write_lag(head, loop_lag_expected_ms(exchange->proxy->loop_lag));
	g_string_append(head, "\r\n");
	http_stream_write_pair(exchange->caller->stream,
	    str_make(head->str, head->len),
	    str_make(
		g_bytes_get_data(response, NULL), g_bytes_get_size(response)));
	g_string_free(head, TRUE);
	caller_finish_response(exchange->caller);
}

/*
 * Handle the end of the request.
 */
void
exchange_end_body(struct exchange *exchange)
{
	GBytes *response;

	exchange->body_complete = true;
	exchange->confirmed = true;
	if (exchange->attempt_count > 0) {
		for (size_t i = 0; i < EXCHANGE_ATTEMPTS_MAX; i++) {
			if (exchange->attempts[i] != NULL)
				attempt_confirm(exchange->attempts[i]);
		}
		if (!exchange->ended)
			exchange_push_body(exchange);
		return;
	}
	if (!exchange->has_length) {
		exchange->has_length = true;
		exchange->length = account_buffer_len(&exchange->body);
	}
	if (!is_heartbeat(exchange)) {
		exchange_dispatch(exchange);
		return;
	}
	response = heartbeat_handle_request(exchange->proxy->heartbeat,
	    exchange->head, account_buffer_view(&exchange->body));
	if (response == NULL) {
		exchange_respond(exchange, 400, "bad_heartbeat", false);
		return;
	}
	send_heartbeat_response(exchange, response);
	g_bytes_unref(response);
}
