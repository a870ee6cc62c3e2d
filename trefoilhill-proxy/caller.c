#include "trefoilhill-proxy/caller.h"
#include "trefoilhill-proxy/exchange.h"

enum {
	/* Limits for peers, and for callers before the first configuration. */
	HEADER_MAX_BYTES = 64 * 1024,
	HEADER_TIMEOUT_MS = 5000,
	IDLE_TIMEOUT_MS = 30000,
	PEER_IDLE_TIMEOUT_MS = 20000, /* longer than peers keep connections */
};

static struct caller_limits
current_limits(const struct caller *caller)
{
	static const struct caller_limits defaults = {
		.header_max_bytes = HEADER_MAX_BYTES,
		.header_timeout_ms = HEADER_TIMEOUT_MS,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
	};
	const struct mesh_config *config =
	    catalog_config(caller->proxy->catalog);
	struct caller_limits limits =
	    config == NULL ? defaults : config->limits;

	if (caller->origin == CALLER_PEER) {
		limits = defaults;
		limits.idle_timeout_ms = PEER_IDLE_TIMEOUT_MS;
	}
	return limits;
}

/*
 * Respond to a request that could not be parsed, and so has not run.
 */
void
caller_respond_unparsed(struct caller *caller, const char *status_line)
{
	char *text = g_strdup_printf("HTTP/1.1 %s\r\nConnection: close\r\n"
				     "Content-Length: 0\r\n\r\n",
	    status_line);
	struct json_line *line = json_log_begin(
	    caller->proxy->log, LOG_CLASS_FAILURE, "bad_request");

	json_line_cstr(line, "answer", status_line);
	json_line_cstr(line, "defect", http_stream_defect(caller->stream));
	json_log_end(line);
	proxy_count(&caller->proxy->stats, STAT_BAD_REQUESTS);
	http_stream_write(caller->stream, str_from(text));
	g_free(text);
	caller_finish(caller);
}

static void
handle_connection_timeout(uv_timer_t *timer)
{
	struct caller *caller = (struct caller *)timer;

	if (caller->stream == NULL)
		return;
	if (caller->stream->message_begun && !caller->lingering)
		caller_reject_message(caller, "408 Request Timeout");
	else if (caller->lingering)
		caller_close(caller);
	else if (g_queue_is_empty(&caller->exchanges))
		caller_finish(caller);
}

static void
handle_body_timeout(uv_timer_t *timer)
{
	struct caller *caller = (struct caller *)timer;
	struct exchange *exchange = caller->receiving;

	if (caller->stream == NULL || exchange == NULL ||
	    exchange->attempt_count > 0)
		return;
	/* The caller waits for the proxy, or reading is paused. */
	if (exchange->waiting || exchange->continue_due)
		return;
	exchange_respond(exchange, 408, "body_timeout", false);
}

/*
 * Limit the time until the next request, if none is in progress.
 */
void
caller_wait(struct caller *caller)
{
	struct caller_limits limits;

	if (caller->stream == NULL || caller->lingering ||
	    caller->stream->message_begun ||
	    !g_queue_is_empty(&caller->exchanges))
		return;
	limits = current_limits(caller);
	caller->stream->head_max_bytes = limits.header_max_bytes;
	uv_timer_start(&caller->timer, handle_connection_timeout,
	    limits.idle_timeout_ms, 0);
}

static void
handle_first_byte(struct http_stream *stream)
{
	struct caller *caller = stream->owner;
	struct caller_limits limits = current_limits(caller);

	stream->head_max_bytes = limits.header_max_bytes;
	uv_timer_start(&caller->timer, handle_connection_timeout,
	    limits.header_timeout_ms, 0);
}

static void
handle_head(struct http_stream *stream)
{
	struct caller *caller = stream->owner;
	bool expects =
	    http_list_contains(http_head_find(stream->head, str_from("expect")),
		str_from("100-continue"));
	bool is_first = g_queue_is_empty(&caller->exchanges);

	if (caller->close_after_response && !is_first) {
		/* A response before it closes: it counts as not read. */
		uv_timer_stop(&caller->timer);
		http_stream_discard(stream);
		return;
	}
	uv_timer_start(&caller->timer, handle_body_timeout,
	    current_limits(caller).idle_timeout_ms,
	    current_limits(caller).idle_timeout_ms);
	if (expects && is_first)
		http_stream_write(
		    stream, str_from("HTTP/1.1 100 Continue\r\n\r\n"));
	exchange_begin(caller);
	if (expects && !is_first && caller->receiving != NULL)
		caller->receiving->continue_due = !caller->receiving->has_turn;
}

static void
handle_body(struct http_stream *stream, struct str bytes)
{
	struct caller *caller = stream->owner;

	if (caller->receiving != NULL && !caller->receiving->response_complete)
		exchange_append_body(caller->receiving, bytes);
}

static void
handle_body_pause(struct http_stream *stream)
{
	struct caller *caller = stream->owner;

	uv_timer_again(&caller->timer);
	if (caller->receiving != NULL && !caller->receiving->response_complete)
		exchange_handle_body(caller->receiving);
}

static void
handle_message(struct http_stream *stream)
{
	struct caller *caller = stream->owner;
	struct exchange *exchange = caller->receiving;

	uv_timer_stop(&caller->timer);
	caller->request_complete = true;
	caller->receiving = NULL;
	if (exchange != NULL && !exchange->response_complete) {
		exchange_end_body(exchange);
	} else if (exchange != NULL) {
		exchange->body_complete = true;
	} else {
		/* The response was sent before the request was complete. */
		caller->lingering = false;
		if (caller->close_after_response) {
			caller_finish(caller);
			return;
		}
	}
	caller_advance(caller);
}

static void
handle_end(struct http_stream *stream, enum http_end_reason end)
{
	struct caller *caller = stream->owner;
	const struct exchange *first = g_queue_peek_head(&caller->exchanges);
	bool is_rejected =
	    end == HTTP_END_MALFORMED || end == HTTP_END_TOO_LARGE;

	if (end == HTTP_END_REVOKED) {
		caller_revoke(caller);
	} else if (first != NULL &&
	    (!is_rejected || caller->receiving == first)) {
		caller_abort(caller);
	} else if (end == HTTP_END_MALFORMED) {
		caller_reject_message(caller, "400 Bad Request");
	} else if (end == HTTP_END_TOO_LARGE) {
		caller_reject_message(
		    caller, "431 Request Header Fields Too Large");
	} else {
		caller_finish(caller);
	}
}

static void
handle_drain(struct http_stream *stream)
{
	struct caller *caller = stream->owner;
	struct exchange *first = g_queue_peek_head(&caller->exchanges);

	if (first != NULL)
		exchange_resume_response(first);
	caller_advance(caller);
}

/* Is a complete request in progress, and is the caller reading responses? */
static bool
is_working(const struct http_stream *stream)
{
	const struct caller *caller = stream->owner;
	const struct exchange *first =
	    g_queue_peek_head((GQueue *)&caller->exchanges);

	return first != NULL && caller->receiving != first &&
	    http_stream_queued_bytes(stream) == 0;
}

static const struct http_stream_ops caller_ops = {
	.handle_head = handle_head,
	.handle_body = handle_body,
	.handle_body_pause = handle_body_pause,
	.handle_message = handle_message,
	.handle_end = handle_end,
	.handle_drain = handle_drain,
	.handle_first_byte = handle_first_byte,
	.is_working = is_working,
};

/*
 * The complete response has been written: wait for the next request, or close
 * the connection.
 */
void
caller_finish_response(struct caller *caller)
{
	struct exchange *first = g_queue_peek_head(&caller->exchanges);
	bool is_received = caller->receiving != first;

	exchange_finish(first);
	/* Ending it lets the gate run others, which may end the connection. */
	if (caller->stream == NULL)
		return;
	if (!is_received) {
		/*
		 * Closing with unread input would reset the connection
		 * before the caller has read the response.
		 */
		caller->lingering = true;
		uv_timer_start(&caller->timer, handle_connection_timeout,
		    CALLER_LINGER_MS, 0);
		http_stream_resume(caller->stream);
		return;
	}
	if (caller->close_after_response) {
		caller_finish(caller);
		return;
	}
	caller_advance(caller);
}

static void
caller_accept(
    struct proxy *proxy, struct http_stream *stream, enum caller_origin origin)
{
	struct caller *caller = g_new0(struct caller, 1);

	caller->proxy = proxy;
	caller->origin = origin;
	caller->stream = stream;
	g_queue_init(&caller->exchanges);
	uv_timer_init(proxy->loop, &caller->timer);
	g_hash_table_add(proxy->callers, caller);
	stream->ops = &caller_ops;
	stream->owner = caller;
	if (origin == CALLER_LOCAL)
		proxy_count(&proxy->stats, STAT_CALLER_CONNECTIONS);
	caller_wait(caller);
	http_stream_start(stream);
}

/*
 * Accept a connection from a caller on this host.
 */
void
caller_accept_local(void *proxy, struct http_stream *stream)
{
	caller_accept(proxy, stream, CALLER_LOCAL);
}

/*
 * Accept a connection from another node.
 */
void
caller_accept_peer(void *proxy, struct http_stream *stream)
{
	caller_accept(proxy, stream, CALLER_PEER);
}
