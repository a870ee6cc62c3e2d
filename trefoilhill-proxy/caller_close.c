#include "trefoilhill-proxy/caller.h"
#include "trefoilhill-proxy/exchange.h"

/* How a caller's connection ends. */

static void
handle_timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

/* Unregister a connection that is closed or about to be. */
static void
caller_release(struct caller *caller)
{
	caller->stream = NULL;
	g_hash_table_remove(caller->proxy->callers, caller);
	uv_close((uv_handle_t *)&caller->timer, handle_timer_closed);
}

/*
 * Close the connection after the queued bytes have been sent.
 */
void
caller_close(struct caller *caller)
{
	http_stream_close(caller->stream);
	caller_release(caller);
}

static void
handle_finish_timeout(uv_timer_t *timer)
{
	struct caller *caller = (struct caller *)timer;

	if (caller->stream == NULL)
		return;
	if (http_stream_queued_bytes(caller->stream) > 0)
		uv_timer_start(
		    timer, handle_finish_timeout, CALLER_LINGER_MS, 0);
	else
		caller_close(caller);
}

/* May the caller still be sending requests? */
static bool
may_send_more(const struct caller *caller)
{
	const struct http_stream *stream = caller->stream;

	return caller->pipelined || http_stream_has_pending(stream);
}

/*
 * Answer no more requests. A caller that pipelines may be sending others, and
 * gets time to read the responses: a close with unread input is a reset. A
 * connection with unsent bytes stays registered, so that a process that stops
 * waits for them.
 */
void
caller_finish(struct caller *caller)
{
	const struct http_stream *stream = caller->stream;

	caller_abandon_exchanges(caller);
	if (caller->finishing || stream->eof ||
	    (!may_send_more(caller) && http_stream_queued_bytes(stream) == 0)) {
		caller_close(caller);
		return;
	}
	caller->finishing = true;
	caller->lingering = true;
	http_stream_finish(caller->stream);
	uv_timer_start(
	    &caller->timer, handle_finish_timeout, CALLER_LINGER_MS, 0);
}

/*
 * Close the connection as others need what it occupies. An idle one gets an
 * orderly close.
 */
void
caller_revoke(struct caller *caller)
{
	const struct http_stream *stream = caller->stream;

	if (g_queue_is_empty(&caller->exchanges) && !stream->message_begun &&
	    http_stream_queued_bytes(stream) == 0)
		caller_close(caller);
	else
		caller_abort(caller);
}

/*
 * Reset the connection, so that a truncated response doesn't look complete.
 */
void
caller_abort(struct caller *caller)
{
	if (caller == NULL || caller->stream == NULL)
		return;
	caller_abandon_exchanges(caller);
	http_stream_abort(caller->stream);
	caller_release(caller);
}

/*
 * End a response that can't be completed. A reset may cost a caller that
 * pipelines the responses before it; a response whose end is known otherwise
 * doesn't look complete after a close either.
 */
void
caller_cut(struct caller *caller, bool is_delimited)
{
	if (caller == NULL || caller->stream == NULL)
		return;
	if (caller->pipelined && is_delimited)
		caller_finish(caller);
	else
		caller_abort(caller);
}

/*
 * Close the connection unless a request is in progress or being received.
 */
void
caller_close_idle(struct caller *caller)
{
	if (g_queue_is_empty(&caller->exchanges) && !caller->lingering &&
	    !caller->stream->message_begun)
		caller_finish(caller);
}
