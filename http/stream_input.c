#include "http/stream_private.h"

/* The input of the parser: what is received or pending, in turns. */

static void
handle_parse_error(struct http_stream *stream)
{
	http_stream_pause(stream);
	stream_report_end(stream,
	    stream->head_bytes > stream->head_max_bytes ||
		    HTTP_PARSER_ERRNO(&stream->parser) == HPE_HEADER_OVERFLOW
		? HTTP_END_TOO_LARGE
		: HTTP_END_MALFORMED);
}

/*
 * Parse bytes in parts whose syntax is known to be valid: the head, and what
 * follows it. Returns the number of bytes used.
 */
static size_t
parse_parts(struct http_stream *stream, const char *bytes, size_t len)
{
	size_t at = 0, part, used;

	if (len == 0)
		return http_parser_execute(
		    &stream->parser, &stream_parser_settings, bytes, 0);
	do {
		part = http_syntax_accept(
		    &stream->syntax, str_make(bytes + at, len - at));
		if (part == 0)
			break;
		used = http_parser_execute(
		    &stream->parser, &stream_parser_settings, bytes + at, part);
		at += used;
	} while (used == part && at < len && !stream->message_done &&
	    HTTP_PARSER_ERRNO(&stream->parser) == HPE_OK);
	return at;
}

/*
 * Parse bytes up to the end of the message. They are those that are pending, or
 * have just been received; what of these is behind the message gets pending.
 */
static void
parse_message(struct http_stream *stream, struct str bytes, bool are_pending)
{
	enum http_errno error;
	size_t used;

	if (!stream->message_begun && bytes.len > 0) {
		stream->message_begun = true;
		if (stream->ops->handle_first_byte != NULL)
			stream->ops->handle_first_byte(stream);
		if (stream->closing)
			return;
	}
	stream->parsing = true;
	used = parse_parts(stream, bytes.ptr, bytes.len);
	stream->parsing = false;
	http_connections_charge_turn(stream->connections, stream->class, used);
	if (stream->closing || stream->discarding)
		return;
	error = HTTP_PARSER_ERRNO(&stream->parser);
	if (stream->message_done) {
		/* used includes the last byte of the message. */
		http_parser_pause(&stream->parser, 0);
		if (are_pending)
			account_buffer_consume(&stream->pending, used);
		else
			stream_pending_add(
			    stream, bytes.ptr + used, bytes.len - used);
		stream->delivering = true;
		stream->ops->handle_message(stream);
		stream->delivering = false;
		return;
	}
	if (are_pending)
		account_buffer_consume(&stream->pending, used);
	if (error != HPE_OK || (bytes.len > 0 && used < bytes.len))
		handle_parse_error(stream);
	else if (stream->head_done && stream->ops->handle_body_pause != NULL)
		stream->ops->handle_body_pause(stream);
}

/* Take a turn to parse a message or a piece of one; false if there is none. */
static bool
take_turn(struct http_stream *stream)
{
	bool has_turn = stream->has_turn;

	stream->has_turn = false;
	return has_turn ||
	    http_connections_take_turn(stream->connections, stream->class);
}

/*
 * Count bytes that are dropped as if they were parsed.
 */
void
stream_use_turn(struct http_stream *stream, size_t len)
{
	if (stream->side == HTTP_SIDE_SERVER && take_turn(stream))
		http_connections_charge_turn(
		    stream->connections, stream->class, len);
}

/*
 * Parse pending messages until one is not followed by http_stream_next, or no
 * turn is left. A loop, since a recursion would be as deep as the number of
 * pipelined requests.
 */
static void
parse_pending(struct http_stream *stream)
{
	while (!stream->closing && !stream->message_done && !stream->paused &&
	    http_stream_has_pending(stream)) {
		if (stream->side == HTTP_SIDE_SERVER && !take_turn(stream)) {
			http_connections_wait(
			    stream->connections, &stream->turn);
			break;
		}
		parse_message(
		    stream, account_buffer_view(&stream->pending), true);
	}
	account_buffer_trim(&stream->pending);
	if (!stream->closing)
		stream_update_reading(stream);
}

/*
 * Parse bytes; len 0 signals the end of the stream to the parser. The stream
 * may be closed when this returns.
 */
void
stream_parse(struct http_stream *stream, const char *bytes, size_t len)
{
	if (stream->side == HTTP_SIDE_SERVER && !take_turn(stream)) {
		stream_pending_add(stream, bytes, len);
		http_connections_wait(stream->connections, &stream->turn);
		return;
	}
	parse_message(stream, str_make(bytes, len), false);
	if (stream->side == HTTP_SIDE_SERVER)
		parse_pending(stream);
}

/*
 * It is the stream's turn to process input: what is pending, or else what can
 * be read.
 */
void
stream_take_turn(struct http_turn *turn)
{
	struct http_stream *stream = (struct http_stream *)((char *)turn -
	    offsetof(struct http_stream, turn));

	stream->has_turn = true;
	stream->blocked = false;
	parse_pending(stream);
}

/*
 * Get ready to parse the next message.
 */
void
stream_begin_message(struct http_stream *stream)
{
	http_parser_init(&stream->parser,
	    stream->side == HTTP_SIDE_SERVER ? HTTP_REQUEST : HTTP_RESPONSE);
	stream->parser.data = stream;
	http_syntax_begin(&stream->syntax);
}

/*
 * Return the name of what was wrong with a malformed message, as far as it is
 * known.
 */
const char *
http_stream_defect(const struct http_stream *stream)
{
	return http_defect_name(stream->syntax.defect);
}

/*
 * Start reading the next message. Pending bytes are parsed immediately, so the
 * stream may be closed when this returns; on the side of the server, if called
 * by handle_message, they are parsed after it has returned.
 */
void
http_stream_next(struct http_stream *stream)
{
	if (stream->closing)
		return;
	stream->message_done = false;
	stream->message_begun = false;
	stream->head_done = false;
	stream->skip_body = false;
	stream->interim_count = 0;
	stream_begin_message(stream);
	stream->paused = false;
	stream_update_reading(stream);
	if (!stream->delivering || stream->side == HTTP_SIDE_CLIENT)
		parse_pending(stream);
}
