#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "http/stream_private.h"

enum {
	READ_BUFFER_BYTES = 64 * 1024,
	/* Allows for a slow link and several retransmissions. */
	UNACKNOWLEDGED_DEFAULT_MS = 2000,
	/* Grace for the last bytes of a connection that is being closed. */
	FINISH_MAX_MS = 3000,
	/* Of each connection, whatever arrives on it. */
	STREAM_BYTES = sizeof(struct http_stream) + sizeof(struct http_head),
	KEEPALIVE_IDLE_S = 3, /* limits how long a lost peer goes unnoticed */
};

/* Shared by all streams of the loop: a read is consumed before the next. */
static char read_buffer[READ_BUFFER_BYTES];

static void
handle_closed(uv_handle_t *handle)
{
	struct http_stream *stream = (struct http_stream *)handle;

	http_head_free(stream->head);
	account_buffer_release(&stream->pending);
	account_buffer_release(&stream->gathered);
	account_buffer_release(&stream->field_name);
	account_buffer_release(&stream->field_value);
	account_holder_unref(stream->payer);
	account_refund(stream->holder, STREAM_BYTES + stream->sampled_unread);
	account_close(stream->holder);
	http_connections_unref(stream->connections);
	if (stream->release != NULL)
		stream->release(stream->release_arg);
	g_free(stream);
}

/*
 * Close the socket. The stream is freed at the end of this iteration, and
 * counts as if it were already.
 */
void
stream_close_handle(struct http_stream *stream)
{
	account_revoke(stream->holder);
	uv_close((uv_handle_t *)&stream->tcp, handle_closed);
}

/*
 * The stream processes no more input and makes no more callbacks.
 */
void
stream_set_closing(struct http_stream *stream)
{
	stream->closing = true;
	http_connections_cancel(stream->connections, &stream->turn);
}

/*
 * Close immediately with a TCP reset. The stream must not be used afterwards.
 */
void
http_stream_abort(struct http_stream *stream)
{
	if (stream->closing)
		return;
	stream_set_closing(stream);
	if (uv_is_closing((uv_handle_t *)&stream->tcp))
		return;
	account_revoke(stream->holder);
	if (uv_tcp_close_reset(&stream->tcp, handle_closed) != 0)
		uv_close((uv_handle_t *)&stream->tcp, handle_closed);
}

/*
 * Count the memory of the stream, also what it will occupy, for a connection.
 */
void
http_stream_set_payer(struct http_stream *stream, struct account_holder *payer)
{
	account_holder_ref(payer);
	account_holder_unref(stream->payer);
	stream->payer = payer;
	account_buffer_assign(&stream->pending, payer);
	account_buffer_assign(&stream->gathered, payer);
	account_buffer_assign(&stream->field_name, payer);
	account_buffer_assign(&stream->field_value, payer);
	account_buffer_assign(&stream->head->text, payer);
}

/*
 * Count the memory of the stream for its own connection.
 */
void
http_stream_reset_payer(struct http_stream *stream)
{
	if (stream->payer != stream->holder)
		http_stream_set_payer(stream, stream->holder);
}

/*
 * Tell whether closing the connection would cost its peer something.
 */
bool
stream_is_working(const struct http_stream *stream)
{
	if (stream->closing || stream->ops == NULL)
		return false;
	if (stream->ops->is_working != NULL)
		return stream->ops->is_working(stream);
	return stream->side == HTTP_SIDE_CLIENT ||
	    (stream->message_done && http_stream_queued_bytes(stream) == 0);
}

/*
 * Close the connection to make room. One that is being closed already has no
 * owner any more, and is closed without what is left to send.
 */
void
stream_revoke(struct http_stream *stream)
{
	if (!stream->closing)
		stream->ops->handle_end(stream, HTTP_END_REVOKED);
	else if (!uv_is_closing((uv_handle_t *)&stream->tcp))
		stream_close_handle(stream);
}

/* Bytes that wait in the socket, while it isn't read. */
static size_t
unread_bytes(const struct http_stream *stream)
{
	int bytes = 0, fd;

	if (stream->reading || stream->closing ||
	    uv_fileno((const uv_handle_t *)&stream->tcp, &fd) != 0 ||
	    ioctl(fd, FIONREAD, &bytes) != 0)
		return 0;
	return (size_t)MAX(bytes, 0);
}

/*
 * Count the bytes that wait in the socket, and note whether the peer has read
 * anything. libuv tells when all of a write has been accepted, not a part.
 */
void
stream_sample(struct http_stream *stream)
{
	size_t unread = unread_bytes(stream);
	size_t queued = http_stream_queued_bytes(stream);

	account_charge(stream->holder, unread);
	account_refund(stream->holder, stream->sampled_unread);
	stream->sampled_unread = unread;
	if (queued < stream->sampled_queued)
		stream_note_progress(stream);
	stream->sampled_queued = queued;
}

/*
 * The peer has taken a part of what it is sent.
 */
void
stream_note_progress(struct http_stream *stream)
{
	account_progress(stream->holder, (int64_t)uv_now(stream->tcp.loop));
}

/*
 * Report to the owner that the stream is unusable, unless it is closing.
 */
void
stream_report_end(struct http_stream *stream, enum http_end_reason reason)
{
	if (!stream->closing)
		stream->ops->handle_end(stream, reason);
}

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
	if (stream->discarding || stream->closing)
		return len;
	if (!http_connections_has_memory(stream, len))
		return 0;
	if (stream->side == HTTP_SIDE_CLIENT)
		return len;
	if (!stream->message_done && !stream->has_turn &&
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
 * looks like an orderly close; a peek at the socket tells them apart.
 */
static bool
is_orderly_close(const struct http_stream *stream)
{
	char byte;
	int fd;

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
	if (status == UV_ETIMEDOUT)
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
	if (stream->discarding)
		return;
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
 * Start reading from an established connection.
 */
void
http_stream_start(struct http_stream *stream)
{
	int fd;
	unsigned timeout = stream->unacknowledged_ms;

	stream->connected = true;
	uv_tcp_nodelay(&stream->tcp, 1);
	uv_tcp_keepalive(&stream->tcp, 1, KEEPALIVE_IDLE_S);
	if (uv_fileno((uv_handle_t *)&stream->tcp, &fd) == 0 &&
	    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
		sizeof(timeout)) != 0)
		g_debug("TCP_USER_TIMEOUT: %s", g_strerror(errno));
	http_stream_resume(stream);
}

static void
handle_connected(uv_connect_t *request, int status)
{
	struct http_stream *stream = (struct http_stream *)request->handle;

	g_free(request);
	if (stream->closing)
		return;
	if (status != 0) {
		stream_report_end(stream, HTTP_END_CONNECT);
		return;
	}
	http_stream_start(stream);
	if (stream->ops->handle_connect != NULL)
		stream->ops->handle_connect(stream);
}

/*
 * Connect to an address. Either handle_connect or handle_end follows; false if
 * no socket is available.
 */
bool
http_stream_connect(
    struct http_stream *stream, const struct sockaddr_in *address)
{
	uv_connect_t *request = g_new0(uv_connect_t, 1);

	if (uv_tcp_connect(request, &stream->tcp,
		(const struct sockaddr *)address, handle_connected) != 0) {
		g_free(request);
		return false;
	}
	return true;
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

/*
 * Tell whether the peer has closed the connection. While reading is paused, a
 * close behind unread bytes shows only in the state of the socket.
 */
bool
http_stream_is_peer_gone(const struct http_stream *stream)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);
	int fd;

	if (stream->closing || !stream->connected ||
	    uv_fileno((const uv_handle_t *)&stream->tcp, &fd) != 0 ||
	    getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
		return false;
	return info.tcpi_state != TCP_ESTABLISHED;
}

/*
 * Tell whether the peer has closed or reset the connection, also if that, or
 * bytes before it, hasn't been read yet.
 */
bool
http_stream_is_peer_closed(const struct http_stream *stream)
{
	struct pollfd socket = { .events = POLLRDHUP };

	if (uv_fileno((const uv_handle_t *)&stream->tcp, &socket.fd) != 0)
		return true;
	return poll(&socket, 1, 0) > 0 &&
	    (socket.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/*
 * Return a stream that isn't connected. The owner ends it with
 * http_stream_close or http_stream_abort, which free it later.
 */
struct http_stream *
http_stream_new(struct http_connections *connections,
    enum connection_class class, enum http_side side,
    const struct http_stream_ops *ops, void *owner)
{
	struct http_stream *stream = g_new0(struct http_stream, 1);

	uv_tcp_init(http_connections_loop(connections), &stream->tcp);
	stream->connections = connections;
	stream->class = class;
	stream->turn.class = class;
	stream->turn.take = stream_take_turn;
	stream->holder = http_connections_add(stream);
	stream->payer = account_holder_ref(stream->holder);
	account_charge(stream->holder, STREAM_BYTES);
	account_buffer_init(&stream->pending, stream->holder);
	account_buffer_init(&stream->gathered, stream->holder);
	account_buffer_init(&stream->field_name, stream->holder);
	account_buffer_init(&stream->field_value, stream->holder);
	stream->ops = ops;
	stream->owner = owner;
	stream->side = side;
	stream->head = http_head_new(stream->holder);
	stream->head_max_bytes = 64 * 1024;
	stream->write_high_bytes = HTTP_WRITE_HIGH_BYTES;
	stream->unacknowledged_ms = UNACKNOWLEDGED_DEFAULT_MS;
	stream->syntax.is_response = side == HTTP_SIDE_CLIENT;
	stream_begin_message(stream);
	return stream;
}
