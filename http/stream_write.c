#include "http/stream_private.h"

enum {
	WRITE_LOW_DIVISOR = 4, /* of write_high_bytes */
};

/* Bytes that the socket didn't accept at once; at most one is in progress. */
struct write_request {
	uv_write_t request; /* first */
	struct account_buffer bytes;
};

static void handle_written(uv_write_t *request, int status);

/*
 * Record a failed write. It takes the error of a reset from the socket, so that
 * a read then finds nothing but the end.
 */
static void
record_write_error(struct http_stream *stream, int status)
{
	if (stream->write_error == 0)
		stream->write_error = status;
}

/* Tell the owner that the write queue is short again, if it was long. */
static void
report_drain(struct http_stream *stream)
{
	if (!stream->above_high_mark)
		return;
	stream->above_high_mark = false;
	if (stream->ops->handle_drain != NULL)
		stream->ops->handle_drain(stream);
}

/*
 * May a response be in the socket that was sent before the peer closed the
 * connection? The reader then reports the end, after that.
 */
static bool
is_left_to_reader(const struct http_stream *stream)
{
	return stream->side == HTTP_SIDE_CLIENT && !stream->message_done &&
	    !stream->eof &&
	    (stream->write_error == UV_ECONNRESET ||
		stream->write_error == UV_EPIPE);
}

/* Drop what is left to write, and report the end or leave it to the reader. */
static void
handle_write_failed(struct http_stream *stream, int status)
{
	record_write_error(stream, status);
	account_buffer_empty(&stream->gathered);
	account_buffer_trim(&stream->gathered);
	if (is_left_to_reader(stream))
		report_drain(stream);
	else
		stream_report_end(stream,
		    stream->write_error == UV_ETIMEDOUT ? HTTP_END_TIMEOUT
							: HTTP_END_RESET);
}

/* Let libuv send what has gathered. */
static void
write_gathered(struct http_stream *stream)
{
	struct write_request *write;
	struct str bytes = account_buffer_view(&stream->gathered);
	uv_buf_t buffer = uv_buf_init((char *)bytes.ptr, (unsigned)bytes.len);

	if (bytes.len == 0)
		return;
	write = g_new0(struct write_request, 1);
	write->bytes = account_buffer_steal(&stream->gathered);
	if (uv_write(&write->request, (uv_stream_t *)&stream->tcp, &buffer, 1,
		handle_written) == 0) {
		stream->writing = true;
		return;
	}
	/* The connection is broken; the read side reports it. */
	account_buffer_release(&write->bytes);
	g_free(write);
}

static void
handle_written(uv_write_t *request, int status)
{
	struct write_request *write = (struct write_request *)request;
	struct http_stream *stream = (struct http_stream *)request->handle;

	account_buffer_release(&write->bytes);
	g_free(write);
	stream->writing = false;
	if (stream->closing)
		return;
	if (status != 0) {
		handle_write_failed(stream, status);
		return;
	}
	stream_note_progress(stream);
	write_gathered(stream);
	if (http_stream_queued_bytes(stream) <
	    stream->write_high_bytes / WRITE_LOW_DIVISOR)
		report_drain(stream);
}

/*
 * Return the number of bytes that the socket has not accepted yet.
 */
size_t
http_stream_queued_bytes(const struct http_stream *stream)
{
	return account_buffer_len(&stream->gathered) +
	    uv_stream_get_write_queue_size((const uv_stream_t *)&stream->tcp);
}

/*
 * Keep a copy of first and second without the sent bytes at their start. Those
 * behind a write in progress are gathered: a write each would cost many times
 * the bytes of small ones.
 */
static void
queue_unsent(struct http_stream *stream, struct str first, struct str second,
    size_t sent)
{
	size_t skip_first = MIN(sent, first.len);
	size_t skip_second = sent - skip_first;

	account_buffer_reserve(
	    &stream->gathered, first.len + second.len - sent);
	account_buffer_append(&stream->gathered,
	    str_make(first.ptr + skip_first, first.len - skip_first));
	if (second.len > skip_second)
		account_buffer_append(&stream->gathered,
		    str_make(
			second.ptr + skip_second, second.len - skip_second));
	if (!stream->writing)
		write_gathered(stream);
	if (http_stream_queued_bytes(stream) > stream->write_high_bytes)
		stream->above_high_mark = true;
}

/*
 * Send first, then second. A failure is reported later by handle_end.
 */
void
http_stream_write_pair(
    struct http_stream *stream, struct str first, struct str second)
{
	uv_buf_t buffers[2] = {
		uv_buf_init((char *)first.ptr, (unsigned)first.len),
		uv_buf_init((char *)second.ptr, (unsigned)second.len),
	};
	unsigned count = second.len > 0 ? 2 : 1;
	size_t total = first.len + second.len, sent = 0;
	int written = UV_EAGAIN;

	if (stream->closing || total == 0 || stream->write_error != 0)
		return;
	if (http_stream_queued_bytes(stream) == 0)
		written =
		    uv_try_write((uv_stream_t *)&stream->tcp, buffers, count);
	if (written > 0) {
		sent = (size_t)written;
		stream_note_progress(stream);
	} else if (written != UV_EAGAIN) {
		record_write_error(stream, written);
	}
	if (sent < total)
		queue_unsent(stream, first, second, sent);
}

/*
 * Send bytes.
 */
void
http_stream_write(struct http_stream *stream, struct str bytes)
{
	http_stream_write_pair(stream, bytes, (struct str){ 0 });
}

static void
handle_finished(uv_shutdown_t *request, int status)
{
	g_free(request);
}

/*
 * Close this direction after the queued bytes have been sent. A close of both
 * directions would answer bytes that arrive later with a reset, by which the
 * peer may lose what it has not read yet.
 */
void
http_stream_finish(struct http_stream *stream)
{
	uv_shutdown_t *request;

	if (stream->closing)
		return;
	http_stream_discard(stream);
	write_gathered(stream);
	request = g_new0(uv_shutdown_t, 1);
	if (uv_shutdown(
		request, (uv_stream_t *)&stream->tcp, handle_finished) != 0)
		g_free(request);
}

static void
handle_shutdown(uv_shutdown_t *request, int status)
{
	struct http_stream *stream = (struct http_stream *)request->handle;

	g_free(request);
	if (!uv_is_closing((uv_handle_t *)&stream->tcp))
		stream_close_handle(stream);
}

/*
 * Close after the queued bytes have been sent. The stream must not be used
 * afterwards and makes no more callbacks.
 */
void
http_stream_close(struct http_stream *stream)
{
	uv_shutdown_t *request;

	if (stream->closing)
		return;
	stream_set_closing(stream);
	/*
	 * Unread bytes would turn the close into a reset, which may cost a
	 * caller its response.
	 */
	if (stream->side == HTTP_SIDE_CLIENT)
		stream_update_reading(stream);
	if (http_stream_queued_bytes(stream) == 0) {
		stream_close_handle(stream);
		return;
	}
	write_gathered(stream);
	request = g_new0(uv_shutdown_t, 1);
	if (uv_shutdown(
		request, (uv_stream_t *)&stream->tcp, handle_shutdown) != 0) {
		g_free(request);
		stream_close_handle(stream);
	}
}
