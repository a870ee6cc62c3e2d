#include <sys/socket.h>

#include "http/stream_private.h"

/* Reading from the socket, as far as there are turns and memory. */

enum {
	READ_BUFFER_BYTES = 64 * 1024,
	/* Memory that has to be left for a read, most of which are small. */
	READ_ROOM_BYTES = 16 * 1024,
};

/* Shared by all streams of the loop: a read is consumed before the next. */
static char read_buffer[READ_BUFFER_BYTES];

/*
 * Return how many bytes may be read at once; 0 if the stream has to wait, for
 * memory or a turn to parse them. Until then they stay in the socket.
 */
static unsigned
read_max(const struct http_stream *stream)
{
	unsigned len = READ_BUFFER_BYTES;

	if (stream->read_max_bytes > 0)
		len = MIN(len, stream->read_max_bytes);
	if (stream->closing)
		return len;
	if (!stream->discarding &&
	    !http_connections_has_memory(stream, MIN(len, READ_ROOM_BYTES)))
		return 0;
	if (stream->side == HTTP_SIDE_CLIENT)
		return len;
	if ((!stream->message_done || stream->discarding) &&
	    !stream->has_turn &&
	    !http_connections_has_turn(stream->connections, stream->class))
		return 0;
	return MIN(len,
	    HTTP_PENDING_MAX_BYTES -
		(unsigned)account_buffer_len(&stream->pending));
}

static void
handle_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	*buffer = uv_buf_init(read_buffer, read_max((void *)handle));
}

/*
 * Store bytes that are not parsed yet.
 */
void
stream_pending_add(struct http_stream *stream, const char *bytes, size_t len)
{
	account_buffer_append(&stream->pending, str_make(bytes, len));
}

/*
 * Tell whether bytes have been received that are not parsed yet.
 */
bool
http_stream_has_pending(const struct http_stream *stream)
{
	return account_buffer_len(&stream->pending) > 0;
}

/*
 * Tell whether the peer closed the connection in an orderly way. After a short
 * read, libuv reports a hang-up as EOF without reading again, so that a reset
 * looks like an orderly close; a peek at the socket tells them apart, unless a
 * write has met the reset before. That is EPIPE if the peer had closed its
 * direction first.
 */
static bool
is_orderly_close(const struct http_stream *stream)
{
	char byte;
	int fd;

	if (stream->write_error != 0 && stream->write_error != UV_EPIPE)
		return false;
	if (uv_fileno((const uv_handle_t *)&stream->tcp, &fd) != 0)
		return false;
	return recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
stream_handle_eof(struct http_stream *stream, ssize_t status)
{
	bool orderly = status == UV_EOF && is_orderly_close(stream);

	stream->eof = true;
	stream_update_reading(stream);
	/* A body without a length ends when the connection is closed. */
	if (orderly && stream->side == HTTP_SIDE_CLIENT && stream->head_done &&
	    !stream->message_done) {
		stream_parse(stream, NULL, 0);
		if (stream->closing || stream->message_done)
			return;
	}
	if (status == UV_ETIMEDOUT || stream->write_error == UV_ETIMEDOUT)
		stream_report_end(stream, HTTP_END_TIMEOUT);
	else
		stream_report_end(
		    stream, orderly ? HTTP_END_EOF : HTTP_END_RESET);
}

/*
 * Handle received bytes: parse them, or keep them if they are behind others or
 * behind a message that the owner is not done with.
 */
void
stream_receive(struct http_stream *stream, const char *bytes, size_t len)
{
	if (stream->discarding) {
		stream_use_turn(stream, len);
		return;
	}
	if (!stream->message_done && !http_stream_has_pending(stream)) {
		stream_parse(stream, bytes, len);
		return;
	}
	stream_pending_add(stream, bytes, len);
	stream_update_reading(stream);
	/* To a client, these are bytes it has not requested. */
	if (stream->side == HTTP_SIDE_CLIENT && stream->message_done)
		stream_report_end(stream, HTTP_END_MALFORMED);
}

/* Read no more until it is the stream's turn. */
static void
block_reading(struct http_stream *stream)
{
	stream->blocked = true;
	stream_update_reading(stream);
	http_connections_wait(stream->connections, &stream->turn);
}

static void
handle_read(uv_stream_t *tcp, ssize_t count, const uv_buf_t *buffer)
{
	struct http_stream *stream = (struct http_stream *)tcp;

	if (count == 0 || stream->closing)
		return;
	if (count == UV_ENOBUFS) {
		block_reading(stream);
		return;
	}
	if (count < 0) {
		stream_handle_eof(stream, count);
		return;
	}
	stream_receive(stream, buffer->base, (size_t)count);
}

static bool
may_read(const struct http_stream *stream)
{
	if (stream->closing || stream->eof || !stream->connected ||
	    stream->paused || stream->blocked)
		return false;
	return stream->discarding ||
	    account_buffer_len(&stream->pending) < HTTP_PENDING_MAX_BYTES;
}

/*
 * Start or stop reading.
 */
void
stream_update_reading(struct http_stream *stream)
{
	uv_stream_t *tcp = (uv_stream_t *)&stream->tcp;

	if (may_read(stream) == stream->reading)
		return;
	if (!stream->reading) {
		stream->reading =
		    uv_read_start(tcp, handle_alloc, handle_read) == 0;
		return;
	}
	uv_read_stop(tcp);
	stream->reading = false;
}

/*
 * Stop reading from the connection, so that TCP flow control stops the sender.
 */
void
http_stream_pause(struct http_stream *stream)
{
	stream->paused = true;
	if (!stream->closing)
		stream_update_reading(stream);
}

/*
 * Resume reading from the connection.
 */
void
http_stream_resume(struct http_stream *stream)
{
	stream->paused = false;
	if (stream->closing)
		return;
	stream_update_reading(stream);
	if (stream->side == HTTP_SIDE_SERVER && !stream->message_done &&
	    !stream->parsing && http_stream_has_pending(stream))
		http_connections_wait(stream->connections, &stream->turn);
}

/*
 * Drop what is received from now on; a close is still reported.
 */
void
http_stream_discard(struct http_stream *stream)
{
	stream->discarding = true;
	stream->message_done = true;
	account_buffer_consume(
	    &stream->pending, account_buffer_len(&stream->pending));
	stream->blocked = false;
	http_connections_cancel(stream->connections, &stream->turn);
	http_stream_resume(stream);
}
