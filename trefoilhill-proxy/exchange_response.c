#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/gate.h"
#include "trefoilhill-proxy/pipeline.h"

enum {
	CHUNK_HEADER_MAX = 24,
	/*
	 * Unsent bytes of a large response. Reading from the upstream pauses
	 * above the high mark and resumes below the low mark.
	 */
	FLOW_HIGH_WATER_BYTES = 64 * 1024,
	FLOW_LOW_WATER_BYTES = 32 * 1024,
};

static bool
field_is_relayed(const struct exchange *exchange, const struct http_head *head,
    struct str name)
{
	return !http_field_is_hop_by_hop(head, name) &&
	    !hop_field_is_internal(name) &&
	    !str_equal_nocase(name, str_from("content-length"));
}

static bool
has_no_body(const struct exchange *exchange)
{
	return exchange->is_head_method || exchange->status == 204 ||
	    exchange->status == 304;
}

static void finish_relay(struct exchange *exchange);

/* Continue a large response after some of it has been sent. */
static void
handle_sent(struct shaper_flow *flow)
{
	struct exchange *exchange =
	    (struct exchange *)((char *)flow - offsetof(struct exchange, flow));
	size_t waiting = shaper_flow_pending(flow);

	if (waiting == 0 && exchange->response_complete)
		finish_relay(exchange);
	else if (waiting < FLOW_LOW_WATER_BYTES)
		exchange_resume_response(exchange);
}

/* Send bytes of the response, those of a large one through the shaper. */
static void
send_bytes(struct exchange *exchange, struct str bytes)
{
	struct http_stream *to = exchange->caller->stream;
	struct shaper *shaper = exchange->proxy->shaper;

	if (!exchange->bulk) {
		http_stream_write(to, bytes);
		shaper_charge(shaper, bytes.len);
		return;
	}
	exchange->flow.to = to;
	exchange->flow.late = exchange->late;
	exchange->flow.handle_sent = handle_sent;
	shaper_write(shaper, &exchange->flow, bytes);
}

/* Stop reading from the upstream while the caller is behind. */
static void
pause_if_behind(struct exchange *exchange)
{
	struct http_stream *to = exchange->caller->stream;

	if ((http_stream_queued_bytes(to) > HTTP_WRITE_HIGH_BYTES ||
		shaper_flow_pending(&exchange->flow) > FLOW_HIGH_WATER_BYTES) &&
	    exchange->responding != NULL &&
	    exchange->responding->stream != NULL)
		http_stream_pause(exchange->responding->stream);
}

static void
empty_buffered(struct exchange *exchange)
{
	account_buffer_empty(&exchange->buffered_body);
	account_buffer_trim(&exchange->buffered_body);
}

/*
 * Send the buffered part of the body, as one chunk if the response is chunked.
 * Does nothing before the head is sent.
 */
void
exchange_relay_buffered(struct exchange *exchange)
{
	struct str buffered = account_buffer_view(&exchange->buffered_body);
	char chunk_header[CHUNK_HEADER_MAX];
	int len;

	if (!exchange->committed || buffered.len == 0)
		return;
	if (exchange->chunked) {
		len = g_snprintf(chunk_header, sizeof(chunk_header), "%zx\r\n",
		    buffered.len);
		send_bytes(exchange, str_make(chunk_header, (size_t)len));
	}
	send_bytes(exchange, buffered);
	if (exchange->chunked)
		send_bytes(exchange, str_from("\r\n"));
	empty_buffered(exchange);
	pause_if_behind(exchange);
}

/*
 * Send the response head and the buffered part of the body.
 */
void
exchange_commit(struct exchange *exchange, bool has_length, uint64_t length)
{
	struct str head, body;

	exchange->committed = true;
	if (has_length)
		exchange_append_length(exchange, length);
	else if (exchange->http_1_0)
		exchange->caller->close_after_response = true;
	else if (!has_no_body(exchange))
		exchange->chunked = true;
	if (exchange->chunked)
		exchange_append_head(
		    exchange, str_from("Transfer-Encoding: chunked\r\n"));
	exchange_append_head(exchange, str_from("\r\n"));
	head = account_buffer_view(&exchange->response_head);
	if (!exchange->bulk && !exchange->chunked) {
		body = account_buffer_view(&exchange->buffered_body);
		http_stream_write_pair(exchange->caller->stream, head, body);
		shaper_charge(exchange->proxy->shaper, head.len + body.len);
	} else {
		send_bytes(exchange, head);
		exchange_relay_buffered(exchange);
	}
	empty_buffered(exchange);
	account_buffer_clear(&exchange->response_head);
}

/* Is a body of this size not buffered until it is complete? */
static bool
is_too_large(const struct exchange *exchange, uint64_t size)
{
	return size > PIPELINE_RESPONSE_BYTES &&
	    size > caller_response_buffer(exchange->caller, exchange);
}

/* Record once that the response is large, as soon as that is known. */
static void
note_size(struct exchange *exchange, uint64_t size)
{
	if (exchange->large || size <= PIPELINE_RESPONSE_BYTES)
		return;
	exchange->large = true;
	if (exchange->route != NULL)
		large_share_add(
		    exchange->proxy->large_share, exchange->route->name, true);
}

/*
 * Relay the head of an upstream's response. It is sent at once to a peer, or if
 * the body is too large to buffer, and otherwise with the buffered body.
 */
void
exchange_relay_head(struct exchange *exchange, struct attempt *attempt)
{
	const struct http_stream *from = attempt->stream;
	uint64_t size = from->has_length ? from->length : 0;

	exchange->status = attempt->status;
	exchange_begin_head(exchange);
	for (size_t i = 0; i < from->head->field_count; i++) {
		struct str name = http_head_name(from->head, i);

		if (field_is_relayed(exchange, from->head, name))
			http_field_store(&exchange->response_head, name,
			    http_head_value(from->head, i));
	}
	note_size(exchange, size);
	if (exchange->has_turn)
		exchange_write_connection(exchange);
	exchange_write_load(exchange,
	    catalog_current(exchange->proxy->catalog, attempt->upstream),
	    attempt->run_ms);
	if (!exchange->has_turn)
		exchange_pause_if_held(exchange, size);
	else if (exchange->origin == CALLER_PEER ||
	    is_too_large(exchange, size))
		exchange_commit(exchange, from->has_length, from->length);
}

/* Send the head and what is buffered, if that isn't to wait for the rest. */
static void
commit_if_too_large(struct exchange *exchange, const struct http_stream *from)
{
	uint64_t size = from->has_length
	    ? from->length
	    : account_buffer_len(&exchange->buffered_body);

	note_size(exchange, size);
	if (is_too_large(exchange, size))
		exchange_commit(exchange, from->has_length, from->length);
}

/*
 * Relay a part of the response body. It is buffered until the head is sent, and
 * then, if the response is chunked, until all bytes received at once are there:
 * an upstream may send many tiny chunks.
 */
void
exchange_relay_body(struct exchange *exchange, struct str bytes)
{
	struct account_buffer *buffered = &exchange->buffered_body;
	const struct http_stream *from = exchange->responding->stream;

	if (exchange->committed && !exchange->chunked) {
		send_bytes(exchange, bytes);
		pause_if_behind(exchange);
		return;
	}
	account_buffer_append(buffered, bytes);
	if (!exchange->has_turn)
		exchange_pause_if_held(exchange, 0);
	else if (!exchange->committed)
		commit_if_too_large(exchange, from);
}

static void
count_response(struct exchange *exchange)
{
	if (exchange->origin == CALLER_PEER)
		return;
	proxy_count(&exchange->proxy->stats,
	    exchange->status < 500 ? STAT_ANSWERED : STAT_ANSWERED_FAILURE);
}

/* The complete response has been passed to the caller's connection. */
static void
finish_relay(struct exchange *exchange)
{
	count_response(exchange);
	/* The time of a held response is not that of the route. */
	if (exchange->bulk && exchange->route != NULL &&
	    exchange->status < 500 && !exchange->held)
		run_times_add(exchange->proxy->run_times, exchange->route->name,
		    exchange->response_run_ms + proxy_now_ms(exchange->proxy) -
			exchange->response_started_ms);
	caller_finish_response(exchange->caller);
}

/*
 * Send a complete response, or what is left of it.
 */
void
exchange_send_complete(struct exchange *exchange)
{
	if (!exchange->committed)
		exchange_commit(exchange, !has_no_body(exchange),
		    account_buffer_len(&exchange->buffered_body));
	exchange_relay_buffered(exchange);
	if (exchange->chunked)
		send_bytes(exchange, str_from("0\r\n\r\n"));
	exchange->responding = NULL;
	exchange->response_complete = true;
	if (shaper_flow_pending(&exchange->flow) == 0)
		finish_relay(exchange);
}

/*
 * Relay the end of the response.
 */
void
exchange_relay_end(struct exchange *exchange)
{
	exchange_log(exchange,
	    exchange->status < 500 ? LOG_CLASS_SUCCESS : LOG_CLASS_FAILURE,
	    "answered", exchange->responding, "");
	if (exchange->route != NULL && exchange->status < 300 &&
	    !exchange->large)
		large_share_add(
		    exchange->proxy->large_share, exchange->route->name, false);
	if (exchange->has_turn)
		exchange_send_complete(exchange);
	else
		exchange_hold_response(exchange);
}
