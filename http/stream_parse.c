#include "http/stream_private.h"

/* Message parsing: the callbacks of http_parser. */

#define NO_CONTENT_LENGTH ((uint64_t)-1) /* as http_parser has it */

/* Results of callbacks. */
enum {
	PARSER_GO_ON = 0,
	PARSER_NO_BODY = 1, /* of on_headers_complete only */
	PARSER_FAIL = -1,
	STATUS_FINAL_MIN = 200,
};

static void
field_clear(struct http_stream *stream)
{
	account_buffer_empty(&stream->field_name);
	account_buffer_trim(&stream->field_name);
	account_buffer_empty(&stream->field_value);
	account_buffer_trim(&stream->field_value);
}

/* Add the parsed header field to the head. */
static int
field_flush(struct http_stream *stream)
{
	bool stored;

	if (account_buffer_len(&stream->field_name) == 0)
		return 0;
	stored = http_head_add(stream->head,
	    account_buffer_view(&stream->field_name),
	    account_buffer_view(&stream->field_value));
	field_clear(stream);
	return stored ? 0 : -1;
}

static int
head_bytes_add(struct http_stream *stream, size_t len)
{
	stream->head_bytes += (uint32_t)len;
	return stream->head_bytes > stream->head_max_bytes ? -1 : 0;
}

/* Is the head that of an interim (1xx) response? */
static bool
stream_is_interim(const struct http_stream *stream)
{
	return stream->side == HTTP_SIDE_CLIENT &&
	    stream->head->status < STATUS_FINAL_MIN;
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
	field_clear(stream);
	return 0;
}

static int
handle_url(http_parser *parser, const char *at, size_t len)
{
	struct http_stream *stream = parser->data;
	struct http_head *head = stream->head;

	if (head->target.len == 0)
		head->target.offset = (uint32_t)account_buffer_len(&head->text);
	account_buffer_append(&head->text, str_make(at, len));
	head->target.len += (uint32_t)len;
	return head_bytes_add(stream, len);
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
	account_buffer_append(&stream->field_name, str_make(at, len));
	return head_bytes_add(stream, len + 4);
}

static int
handle_value(http_parser *parser, const char *at, size_t len)
{
	struct http_stream *stream = parser->data;

	if (stream->head_done)
		return 0;
	stream->in_value = true;
	account_buffer_append(&stream->field_value, str_make(at, len));
	return head_bytes_add(stream, len);
}

/* Record a defect of the message; the result makes the parser stop. */
static int
reject(struct http_stream *stream, enum http_defect defect)
{
	stream->syntax.defect = defect;
	return PARSER_FAIL;
}

/* Skip an interim response: the final one follows. */
static int
handle_interim_head(struct http_stream *stream)
{
	if (++stream->interim_count > HTTP_INTERIM_MAX)
		return reject(stream, HTTP_DEFECT_STATUS);
	if (stream->head->status == HTTP_STATUS_CONTINUE &&
	    stream->ops->handle_continue != NULL)
		stream->ops->handle_continue(stream);
	return stream->closing ? PARSER_FAIL : PARSER_NO_BODY;
}

static void
set_method(struct http_stream *stream)
{
	struct http_head *head = stream->head;
	struct str method =
	    str_from(http_method_str((enum http_method)stream->parser.method));

	head->method.offset = (uint32_t)account_buffer_len(&head->text);
	head->method.len = (uint32_t)method.len;
	account_buffer_append(&head->text, method);
}

/* Does no body follow the head, whatever its fields say? */
static bool
has_no_body(const struct http_stream *stream)
{
	return stream->side == HTTP_SIDE_CLIENT &&
	    (stream->skip_body ||
		stream->head->status == HTTP_STATUS_NO_CONTENT ||
		stream->head->status == HTTP_STATUS_NOT_MODIFIED);
}

static int
handle_headers(http_parser *parser)
{
	struct http_stream *stream = parser->data;
	bool chunked = (parser->flags & F_CHUNKED) != 0;
	enum http_defect defect;

	if (field_flush(stream) != 0)
		return PARSER_FAIL;
	if (stream->side == HTTP_SIDE_SERVER)
		set_method(stream);
	else
		stream->head->status = parser->status_code;
	defect =
	    http_head_check(stream->head, stream->side == HTTP_SIDE_CLIENT);
	if (defect != HTTP_DEFECT_NONE)
		return reject(stream, defect);
	if (parser->upgrade)
		return PARSER_FAIL;
	if (stream_is_interim(stream))
		return handle_interim_head(stream);
	stream->head_done = true;
	stream->length = 0;
	if (!chunked && parser->content_length != NO_CONTENT_LENGTH)
		stream->length = parser->content_length;
	/* A request without either field has no body. */
	stream->has_length = !chunked &&
	    (parser->content_length != NO_CONTENT_LENGTH ||
		stream->side == HTTP_SIDE_SERVER);
	stream->keep_alive = http_should_keep_alive(parser) != 0;
	http_syntax_begin_body(&stream->syntax,
	    chunked && !has_no_body(stream) ? HTTP_FRAMING_CHUNKED
					    : HTTP_FRAMING_OTHER);
	stream->ops->handle_head(stream);
	if (stream->closing || stream->discarding)
		return PARSER_FAIL;
	return has_no_body(stream) ? PARSER_NO_BODY : PARSER_GO_ON;
}

static int
handle_body(http_parser *parser, const char *at, size_t len)
{
	struct http_stream *stream = parser->data;

	if (!stream->head_done || stream->message_done)
		return PARSER_FAIL;
	stream->body_bytes += len;
	stream->ops->handle_body(stream, str_make(at, len));
	return stream->closing || stream->discarding ? PARSER_FAIL
						     : PARSER_GO_ON;
}

static int
handle_complete(http_parser *parser)
{
	struct http_stream *stream = parser->data;

	if (stream_is_interim(stream)) {
		http_syntax_begin(&stream->syntax);
		return PARSER_GO_ON;
	}
	stream->message_done = true;
	http_parser_pause(parser, 1);
	return PARSER_GO_ON;
}

const http_parser_settings stream_parser_settings = {
	.on_message_begin = handle_begin,
	.on_url = handle_url,
	.on_header_field = handle_field,
	.on_header_value = handle_value,
	.on_headers_complete = handle_headers,
	.on_body = handle_body,
	.on_message_complete = handle_complete,
};
