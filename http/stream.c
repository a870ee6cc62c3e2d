#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#include "http/stream_private.h"

enum {
	/* Allows for a slow link and several retransmissions. */
	UNACKNOWLEDGED_DEFAULT_MS = 2000,
	/* Grace for the last bytes of a connection that is being closed. */
	FINISH_MAX_MS = 3000,
	/* Of each connection, whatever arrives on it. */
	STREAM_BYTES = sizeof(struct http_stream) + sizeof(struct http_head),
	KEEPALIVE_IDLE_S = 3, /* limits how long a lost peer goes unnoticed */
};

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
 * Report to the owner that the stream is unusable, unless it is closing.
 */
void
stream_report_end(struct http_stream *stream, enum http_end_reason reason)
{
	if (!stream->closing)
		stream->ops->handle_end(stream, reason);
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
