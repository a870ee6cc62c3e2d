#include "http/call.h"

struct http_call {
	uv_timer_t timer; /* first */
	struct http_pool *pool;
	struct http_call_settings settings;
	GString *request;
	GByteArray *body;
	struct http_stream *stream; /* NULL if not open */
	bool connected;
	bool reused; /* pooled connection; may retry on a new one */
	bool ended;
};

static const char *const outcome_names[] = {
	[HTTP_CALL_RESPONSE] = "answered",
	[HTTP_CALL_CONNECT_FAILED] = "unconnected",
	[HTTP_CALL_CONNECTION_LOST] = "lost",
	[HTTP_CALL_TIMEOUT] = "timeout",
	[HTTP_CALL_TOO_LARGE] = "too_large",
};

static const struct http_stream_ops call_ops;

/*
 * Return the name of an outcome, as shown in logs.
 */
const char *
http_call_outcome_name(enum http_call_outcome outcome)
{
	return outcome_names[outcome];
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	struct http_call *call = (struct http_call *)handle;

	g_string_free(call->request, TRUE);
	g_byte_array_free(call->body, TRUE);
	g_free(call);
}

static void
call_release(struct http_call *call)
{
	call->ended = true;
	if (call->stream != NULL)
		http_stream_abort(call->stream);
	call->stream = NULL;
	uv_close((uv_handle_t *)&call->timer, handle_timer_closed);
}

static void
call_complete(struct http_call *call, enum http_call_outcome outcome)
{
	struct http_stream *stream = call->stream;
	struct http_call_result result = {
		.outcome = outcome,
		.body = str_make(call->body->data, call->body->len),
	};

	if (call->ended)
		return;
	call->ended = true;
	if (outcome == HTTP_CALL_RESPONSE) {
		result.status = stream->head->status;
		result.head = stream->head;
	}
	call->settings.handle_result(call->settings.arg, &result);
	if (outcome == HTTP_CALL_RESPONSE) {
		call->stream = NULL;
		http_pool_release(stream);
	}
	call_release(call);
}

static void
handle_timeout(uv_timer_t *timer)
{
	call_complete((struct http_call *)timer, HTTP_CALL_TIMEOUT);
}

static void
handle_head(struct http_stream *stream)
{
}

static void
handle_body(struct http_stream *stream, struct str bytes)
{
	struct http_call *call = stream->owner;

	if (call->body->len + bytes.len > call->settings.body_max) {
		call_complete(call, HTTP_CALL_TOO_LARGE);
		return;
	}
	g_byte_array_append(
	    call->body, (const guint8 *)bytes.ptr, (guint)bytes.len);
}

static void
handle_message(struct http_stream *stream)
{
	call_complete(stream->owner, HTTP_CALL_RESPONSE);
}

static void
call_send(struct http_call *call)
{
	call->connected = true;
	http_stream_write(
	    call->stream, str_make(call->request->str, call->request->len));
}

static void
handle_connect(struct http_stream *stream)
{
	call_send(stream->owner);
}

static void
call_connect(struct http_call *call)
{
	call->connected = false;
	call->stream = http_pool_connect(call->pool, &call_ops, call);
}

static void
handle_end(struct http_stream *stream, enum http_end_reason reason)
{
	struct http_call *call = stream->owner;

	if (call->reused && call->body->len == 0 && !stream->head_done) {
		/* The peer had closed the pooled connection. */
		call->reused = false;
		http_stream_abort(stream);
		call_connect(call);
		if (call->stream != NULL)
			return;
	}
	call_complete(call,
	    call->connected ? HTTP_CALL_CONNECTION_LOST
			    : HTTP_CALL_CONNECT_FAILED);
}

static const struct http_stream_ops call_ops = {
	.handle_head = handle_head,
	.handle_body = handle_body,
	.handle_message = handle_message,
	.handle_end = handle_end,
	.handle_connect = handle_connect,
};

/*
 * Send a request and collect the response. If a pooled connection turns out to
 * be closed, the request is sent again on a new one, so it must be safe to
 * repeat. handle_result is never called from within this function.
 */
struct http_call *
http_call_start(
    struct http_pool *pool, const struct http_call_settings *settings)
{
	struct http_call *call = g_new0(struct http_call, 1);
	uint32_t timeout_ms = settings->timeout_ms;

	call->pool = pool;
	call->settings = *settings;
	call->request = g_string_new_len(
	    settings->request.ptr, (gssize)settings->request.len);
	call->body = g_byte_array_new();
	if (!settings->new_connection)
		call->stream =
		    http_pool_acquire(pool, &call_ops, call, UINT32_MAX);
	call->reused = call->stream != NULL;
	if (call->reused)
		call_send(call);
	else
		call_connect(call);
	if (call->stream == NULL)
		timeout_ms = 1; /* no socket: fail soon, but not in here */
	uv_timer_init(http_pool_loop(pool), &call->timer);
	uv_timer_start(&call->timer, handle_timeout, timeout_ms, 0);
	return call;
}

/*
 * Cancel a call; handle_result is not called.
 */
void
http_call_cancel(struct http_call *call)
{
	if (!call->ended)
		call_release(call);
}
