#include <sys/ioctl.h>

#include "http/stream_private.h"

/* What a stream occupies, and who gives way. */

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
