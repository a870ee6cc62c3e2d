#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "http/stream.h"

enum {
	READ_BUFFER_BYTES = 64 * 1024,
	/*
	 * An established connection whose bytes are not acknowledged for so
	 * long counts as lost: several round trips between zones and some
	 * retransmissions.
	 */
	UNACKNOWLEDGED_MAX_MS = 2000,
	/* Grace for the last bytes of a connection that is being closed. */
	FINISH_MAX_MS = 3000,
	KEEPALIVE_IDLE_S = 3, /* as short as the loss of a peer may last */
};

/* Shared by all streams of the loop: a read is consumed before the next. */
static char read_buffer[READ_BUFFER_BYTES];

struct write_request {
	uv_write_t request; /* first */
	uv_buf_t buffer;
};

static void stream_parse(
    struct http_stream *stream, const char *bytes, size_t len);

static void
handle_closed(uv_handle_t *handle)
{
	struct http_stream *stream = (struct http_stream *)handle;

	http_head_free(stream->head);
	if (stream->pending != NULL)
		g_byte_array_free(stream->pending, TRUE);
	g_string_free(stream->name, TRUE);
	g_string_free(stream->value, TRUE);
	g_free(stream);
}

/*
 * Close at once with a reset. The stream must not be used afterwards.
 */
void
http_stream_abort(struct http_stream *stream)
{
	if (stream->closing)
		return;
	stream->closing = true;
	if (uv_is_closing((uv_handle_t *)&stream->tcp))
		return;
	if (uv_tcp_close_reset(&stream->tcp, handle_closed) != 0)
		uv_close((uv_handle_t *)&stream->tcp, handle_closed);
}

static void
stream_fail(struct http_stream *stream, enum http_end end)
{
	if (!stream->closing)
		stream->ops->handle_end(stream, end);
}

static void
handle_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
	*buffer = uv_buf_init(read_buffer, sizeof(read_buffer));
}

/* Keep bytes for later; false when too many are waiting. */
static bool
pending_add(struct http_stream *stream, const char *bytes, size_t len)
{
	if (stream->pending == NULL)
		stream->pending = g_byte_array_new();
	g_byte_array_append(stream->pending, (const guint8 *)bytes, (guint)len);
	return stream->pending->len <= HTTP_PENDING_MAX_BYTES;
}

static void
stream_read_stop(struct http_stream *stream)
{
	if (stream->reading)
		uv_read_stop((uv_stream_t *)&stream->tcp);
	stream->reading = false;
}

/*
 * libuv reports a hang-up after a short read as the end of the stream without
 * another read, so that a reset looks like an orderly close. Ask the socket.
 */
static bool
closed_in_order(const struct http_stream *stream)
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
	bool in_order = status == UV_EOF && closed_in_order(stream);

	stream->eof = true;
	stream_read_stop(stream);
	/* A body without a length ends with its connection. */
	if (in_order && stream->side == HTTP_SIDE_CLIENT && stream->head_done &&
	    !stream->message_done) {
		stream_parse(stream, NULL, 0);
		if (stream->closing || stream->message_done)
			return;
	}
	stream_fail(stream, in_order ? HTTP_END_EOF : HTTP_END_RESET);
}

static void
handle_read(uv_stream_t *tcp, ssize_t count, const uv_buf_t *buffer)
{
	struct http_stream *stream = (struct http_stream *)tcp;

	if (count == 0 || stream->closing)
		return;
	if (count < 0) {
		stream_handle_eof(stream, count);
		return;
	}
	if (stream->message_done || stream->parsing) {
		/* An answer that nobody asked for: see the client's pool. */
		if (!pending_add(stream, buffer->base, (size_t)count))
			stream_read_stop(stream);
		if (stream->side == HTTP_SIDE_CLIENT && stream->message_done)
			stream_fail(stream, HTTP_END_MALFORMED);
		return;
	}
	stream_parse(stream, buffer->base, (size_t)count);
}

/*
 * Begin to read from an established connection.
 */
void
http_stream_start(struct http_stream *stream)
{
	int fd;
	unsigned timeout = UNACKNOWLEDGED_MAX_MS;

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
		stream_fail(stream, HTTP_END_CONNECT);
		return;
	}
	http_stream_start(stream);
	if (stream->ops->handle_connect != NULL)
		stream->ops->handle_connect(stream);
}

/*
 * Dial an address. Either handle_connect or handle_end follows; false when
 * not even a socket could be had.
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
 * Stop taking bytes from the connection, so that the sender has to wait.
 */
void
http_stream_pause(struct http_stream *stream)
{
	stream_read_stop(stream);
}

/*
 * Take bytes from the connection again.
 */
void
http_stream_resume(struct http_stream *stream)
{
	if (stream->closing || stream->reading || stream->eof ||
	    !stream->connected)
		return;
	if (uv_read_start(
		(uv_stream_t *)&stream->tcp, handle_alloc, handle_read) == 0)
		stream->reading = true;
}

static void
handle_written(uv_write_t *request, int status)
{
	struct write_request *write = (struct write_request *)request;
	struct http_stream *stream = (struct http_stream *)request->handle;

	g_free(write->buffer.base);
	g_free(write);
	if (stream->closing)
		return;
	if (status != 0) {
		stream_fail(stream, HTTP_END_RESET);
		return;
	}
	if (stream->over_high &&
	    http_stream_queued(stream) < HTTP_WRITE_LOW_BYTES) {
		stream->over_high = false;
		if (stream->ops->handle_drain != NULL)
			stream->ops->handle_drain(stream);
	}
}

/*
 * Return how many bytes wait for the socket.
 */
size_t
http_stream_queued(const struct http_stream *stream)
{
	return uv_stream_get_write_queue_size(
	    (const uv_stream_t *)&stream->tcp);
}

/* Queue what the socket did not take: total bytes, of which some were sent. */
static void
write_rest(struct http_stream *stream, struct str first, struct str second,
    size_t sent)
{
	struct write_request *write = g_new0(struct write_request, 1);
	size_t from_first = sent < first.len ? first.len - sent : 0;
	size_t skip = sent > first.len ? sent - first.len : 0;

	write->buffer.len = from_first + second.len - skip;
	write->buffer.base = g_malloc(write->buffer.len);
	if (from_first > 0)
		memcpy(write->buffer.base, first.ptr + sent, from_first);
	if (second.ptr != NULL)
		memcpy(write->buffer.base + from_first, second.ptr + skip,
		    second.len - skip);
	if (uv_write(&write->request, (uv_stream_t *)&stream->tcp,
		&write->buffer, 1, handle_written) != 0) {
		/* The connection is broken: its reading side tells. */
		g_free(write->buffer.base);
		g_free(write);
		return;
	}
	if (http_stream_queued(stream) > HTTP_WRITE_HIGH_BYTES)
		stream->over_high = true;
}

/*
 * Send two runs of bytes as one. A failure is told by handle_end, later.
 */
void
http_stream_write2(
    struct http_stream *stream, struct str first, struct str second)
{
	uv_buf_t buffers[2] = {
		uv_buf_init((char *)first.ptr, (unsigned)first.len),
		uv_buf_init((char *)second.ptr, (unsigned)second.len),
	};
	unsigned count = second.len > 0 ? 2 : 1;
	size_t total = first.len + second.len, sent = 0;
	int taken = UV_EAGAIN;

	if (stream->closing || total == 0)
		return;
	if (http_stream_queued(stream) == 0)
		taken =
		    uv_try_write((uv_stream_t *)&stream->tcp, buffers, count);
	if (taken > 0)
		sent = (size_t)taken;
	if (sent < total)
		write_rest(stream, first, second, sent);
}

/*
 * Send bytes.
 */
void
http_stream_write(struct http_stream *stream, struct str bytes)
{
	http_stream_write2(stream, bytes, (struct str){ 0 });
}

static void
handle_shutdown(uv_shutdown_t *request, int status)
{
	uv_handle_t *handle = (uv_handle_t *)request->handle;

	g_free(request);
	if (!uv_is_closing(handle))
		uv_close(handle, handle_closed);
}

/*
 * Close in order: what is queued is still sent. The stream must not be used
 * afterwards and calls nobody back.
 */
void
http_stream_finish(struct http_stream *stream)
{
	uv_shutdown_t *request;

	if (stream->closing)
		return;
	stream->closing = true;
	/* Unread bytes would turn the close into a reset. */
	if (http_stream_queued(stream) == 0) {
		uv_close((uv_handle_t *)&stream->tcp, handle_closed);
		return;
	}
	request = g_new0(uv_shutdown_t, 1);
	if (uv_shutdown(
		request, (uv_stream_t *)&stream->tcp, handle_shutdown) != 0) {
		g_free(request);
		uv_close((uv_handle_t *)&stream->tcp, handle_closed);
	}
}

/* Store the field under construction. */
static int
field_flush(struct http_stream *stream)
{
	bool stored;

	if (stream->name->len == 0)
		return 0;
	stored = http_head_add(stream->head,
	    str_make(stream->name->str, stream->name->len),
	    str_make(stream->value->str, stream->value->len));
	g_string_truncate(stream->name, 0);
	g_string_truncate(stream->value, 0);
	return stored ? 0 : -1;
}

static int
head_count(struct http_stream *stream, size_t len)
{
	stream->head_bytes += (uint32_t)len;
	return stream->head_bytes > stream->head_max_bytes ? -1 : 0;
}

static int
handle_begin(http_parser *parser)
{
	struct http_stream *stream = parser->data;

	http_head_clear(stream->head);
	stream->head_bytes = 0;
	stream->body_bytes = 0;
	stream->in_value = false;
	stream->head_done = false;
	g_string_truncate(stream->name, 0);
	g_string_truncate(stream->value, 0);
	return 0;
}

static int
handle_url(http_parser *parser, const char *at, size_t len)
{
	struct http_stream *stream = parser->data;
	struct http_head *head = stream->head;

	if (head->target.len == 0)
		head->target.offset = (uint32_t)head->text->len;
	g_string_append_len(head->text, at, (gssize)len);
	head->target.len += (uint32_t)len;
	return head_count(stream, len);
}

static int
handle_field(http_parser *parser, const char *at, size_t len)
{
	struct http_stream *stream = parser->data;

	if (stream->head_done) /* a trailer */
		return 0;
	if (stream->in_value && field_flush(stream) != 0)
		return -1;
	stream->in_value = false;
	g_string_append_len(stream->name, at, (gssize)len);
	return head_count(stream, len + 4);
}

static int
handle_value(http_parser *parser, const char *at, size_t len)
{
	struct http_stream *stream = parser->data;

	if (stream->head_done)
		return 0;
	stream->in_value = true;
	g_string_append_len(stream->value, at, (gssize)len);
	return head_count(stream, len);
}

static int
handle_headers(http_parser *parser)
{
	struct http_stream *stream = parser->data;
	struct http_head *head = stream->head;
	bool chunked = (parser->flags & F_CHUNKED) != 0;

	if (field_flush(stream) != 0)
		return -1;
	stream->head_done = true;
	stream->has_length = !chunked && parser->content_length != (uint64_t)-1;
	stream->length = stream->has_length ? parser->content_length : 0;
	stream->keep_alive = http_should_keep_alive(parser) != 0;
	if (stream->side == HTTP_SIDE_SERVER) {
		struct str method =
		    str_from(http_method_str((enum http_method)parser->method));

		if (!stream->has_length && !chunked)
			stream->has_length = true;
		head->method.offset = (uint32_t)head->text->len;
		head->method.len = (uint32_t)method.len;
		g_string_append_len(head->text, method.ptr, (gssize)method.len);
		if (parser->upgrade)
			return -1;
	} else {
		head->status = parser->status_code;
		if (head->status / 100 == 1)
			return 0;
	}
	stream->ops->handle_head(stream);
	if (stream->closing)
		return -1;
	return stream->side == HTTP_SIDE_CLIENT && stream->skip_body ? 1 : 0;
}

static int
handle_body(http_parser *parser, const char *at, size_t len)
{
	struct http_stream *stream = parser->data;

	stream->body_bytes += len;
	stream->ops->handle_body(stream, str_make(at, len));
	return stream->closing ? -1 : 0;
}

static int
handle_complete(http_parser *parser)
{
	struct http_stream *stream = parser->data;

	/* An interim answer is not the answer. */
	if (stream->side == HTTP_SIDE_CLIENT && stream->head->status / 100 == 1)
		return 0;
	stream->message_done = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = handle_begin,
	.on_url = handle_url,
	.on_header_field = handle_field,
	.on_header_value = handle_value,
	.on_headers_complete = handle_headers,
	.on_body = handle_body,
	.on_message_complete = handle_complete,
};

static void
parse_failed(struct http_stream *stream)
{
	stream_read_stop(stream);
	stream_fail(stream,
	    stream->head_bytes > stream->head_max_bytes ||
		    HTTP_PARSER_ERRNO(&stream->parser) == HPE_HEADER_OVERFLOW
		? HTTP_END_TOO_LARGE
		: HTTP_END_MALFORMED);
}

static void
stream_parse(struct http_stream *stream, const char *bytes, size_t len)
{
	enum http_errno error;
	size_t used;

	if (!stream->message_begun && len > 0) {
		stream->message_begun = true;
		if (stream->ops->handle_first_byte != NULL)
			stream->ops->handle_first_byte(stream);
		if (stream->closing)
			return;
	}
	stream->parsing = true;
	used =
	    http_parser_execute(&stream->parser, &parser_settings, bytes, len);
	stream->parsing = false;
	if (stream->closing)
		return;
	error = HTTP_PARSER_ERRNO(&stream->parser);
	if (stream->message_done) {
		/* http_parser counts the byte it stopped before. */
		http_parser_pause(&stream->parser, 0);
		if (used < len &&
		    !pending_add(stream, bytes + used, len - used))
			stream_read_stop(stream);
		stream->ops->handle_message(stream);
		return;
	}
	if (error != HPE_OK || (len > 0 && used < len))
		parse_failed(stream);
}

/*
 * Get ready for the next message. Bytes that came early are read at once, so
 * the stream may be closed when this returns.
 */
void
http_stream_next(struct http_stream *stream)
{
	GByteArray *pending = stream->pending;

	if (stream->closing)
		return;
	stream->message_done = false;
	stream->message_begun = false;
	stream->head_done = false;
	stream->skip_body = false;
	http_parser_init(&stream->parser,
	    stream->side == HTTP_SIDE_SERVER ? HTTP_REQUEST : HTTP_RESPONSE);
	stream->parser.data = stream;
	stream->pending = NULL;
	http_stream_resume(stream);
	if (pending == NULL)
		return;
	stream_parse(stream, (const char *)pending->data, pending->len);
	g_byte_array_free(pending, TRUE);
}

/*
 * Return a stream without a connection. It is freed after http_stream_finish
 * or http_stream_abort, whichever its owner calls.
 */
struct http_stream *
http_stream_new(uv_loop_t *loop, enum http_side side,
    const struct http_stream_ops *ops, void *owner)
{
	struct http_stream *stream = g_new0(struct http_stream, 1);

	uv_tcp_init(loop, &stream->tcp);
	stream->ops = ops;
	stream->owner = owner;
	stream->side = side;
	stream->head = http_head_new();
	stream->head_max_bytes = 64 * 1024;
	stream->name = g_string_new(NULL);
	stream->value = g_string_new(NULL);
	http_parser_init(&stream->parser,
	    side == HTTP_SIDE_SERVER ? HTTP_REQUEST : HTTP_RESPONSE);
	stream->parser.data = stream;
	return stream;
}
