#include <string.h>

#include "common/http_text.h"
#include "http/syntax.h"

enum {
	STATUS_DIGITS = 3,
	CHUNK_SIZE_DIGITS_MAX = 15, /* of a size that fits 64 bits */
	CHUNK_EXTENSION_MAX = 1024,
};

static const char version_prefix[] = "HTTP/1.";

static const char *const defect_names[] = {
	[HTTP_DEFECT_NONE] = "",
	[HTTP_DEFECT_START_LINE] = "start_line",
	[HTTP_DEFECT_VERSION] = "version",
	[HTTP_DEFECT_STATUS] = "status",
	[HTTP_DEFECT_FIELD_NAME] = "field_name",
	[HTTP_DEFECT_FIELD_VALUE] = "field_value",
	[HTTP_DEFECT_CODING] = "transfer_coding",
	[HTTP_DEFECT_LENGTH] = "content_length",
	[HTTP_DEFECT_BODY] = "unexpected_body",
	[HTTP_DEFECT_CHUNK] = "chunk",
};

/*
 * Return the name of a defect, as shown in logs.
 */
const char *
http_defect_name(enum http_defect defect)
{
	return defect_names[defect];
}

/*
 * Expect a new message.
 */
void
http_syntax_begin(struct http_syntax *syntax)
{
	*syntax = (struct http_syntax){ .is_response = syntax->is_response };
}

/*
 * Expect a body, behind a head that is complete.
 */
void
http_syntax_begin_body(struct http_syntax *syntax, enum http_framing framing)
{
	syntax->count = 0;
	syntax->chunk_left = 0;
	syntax->state = framing == HTTP_FRAMING_CHUNKED ? SYNTAX_CHUNK_SIZE
							: SYNTAX_OTHER_BODY;
}

static void
enter(struct http_syntax *syntax, enum http_syntax_state state)
{
	syntax->state = state;
	syntax->count = 0;
}

/* Enter the next state if the character is valid, else record the defect. */
static void
enter_if(struct http_syntax *syntax, bool valid, enum http_syntax_state state,
    enum http_defect defect)
{
	if (valid)
		enter(syntax, state);
	else
		syntax->defect = defect;
}

/* Empty lines before a request are ignored (RFC 9112, 2.2). */
static void
accept_start(struct http_syntax *syntax, char c)
{
	if (syntax->is_response) {
		enter_if(syntax, c == version_prefix[0], SYNTAX_VERSION,
		    HTTP_DEFECT_START_LINE);
		syntax->count = 1;
	} else if (c != '\r' && c != '\n') {
		enter_if(syntax, http_is_token_char(c), SYNTAX_METHOD,
		    HTTP_DEFECT_START_LINE);
	}
}

static void
accept_target(struct http_syntax *syntax, char c)
{
	if (c == ' ' && syntax->count > 0)
		enter(syntax, SYNTAX_VERSION);
	else if (http_is_text_char(c))
		syntax->count = 1;
	else
		syntax->defect = HTTP_DEFECT_START_LINE;
}

/* The version, and what follows it: a blank and the status, or the line's end.
 */
static void
accept_version(struct http_syntax *syntax, char c)
{
	uint32_t at = syntax->count++;

	if (at < strlen(version_prefix)) {
		if (c != version_prefix[at])
			syntax->defect = HTTP_DEFECT_VERSION;
	} else if (at == strlen(version_prefix)) {
		if (!g_ascii_isdigit(c))
			syntax->defect = HTTP_DEFECT_VERSION;
	} else if (syntax->is_response) {
		enter_if(
		    syntax, c == ' ', SYNTAX_STATUS, HTTP_DEFECT_START_LINE);
	} else if (c == '\n') {
		enter(syntax, SYNTAX_LINE);
	} else {
		enter_if(
		    syntax, c == '\r', SYNTAX_LINE_END, HTTP_DEFECT_START_LINE);
	}
}

static void
accept_status(struct http_syntax *syntax, char c)
{
	if (syntax->count < STATUS_DIGITS) {
		if (!g_ascii_isdigit(c))
			syntax->defect = HTTP_DEFECT_STATUS;
		syntax->count++;
	} else if (c == ' ') {
		enter(syntax, SYNTAX_REASON);
	} else if (c == '\n') {
		enter(syntax, SYNTAX_LINE);
	} else {
		enter_if(
		    syntax, c == '\r', SYNTAX_LINE_END, HTTP_DEFECT_STATUS);
	}
}

/* The text up to the end of a line. */
static void
accept_text(struct http_syntax *syntax, char c, enum http_defect defect)
{
	if (c == '\r')
		enter(syntax, SYNTAX_LINE_END);
	else if (c == '\n')
		enter(syntax, SYNTAX_LINE);
	else if (!http_is_value_char(c))
		syntax->defect = defect;
}

/* A line that begins with a blank would continue the one before (obsolete). */
static void
accept_line(struct http_syntax *syntax, char c)
{
	if (c == '\r')
		enter(syntax, SYNTAX_HEAD_END);
	else if (c == '\n')
		enter(syntax, SYNTAX_DONE);
	else
		enter_if(syntax, http_is_token_char(c), SYNTAX_NAME,
		    HTTP_DEFECT_FIELD_NAME);
}

static void
accept_name(struct http_syntax *syntax, char c)
{
	if (!http_is_token_char(c))
		enter_if(
		    syntax, c == ':', SYNTAX_VALUE, HTTP_DEFECT_FIELD_NAME);
}

static void
accept_chunk_size(struct http_syntax *syntax, char c)
{
	if (g_ascii_isxdigit(c) && syntax->count < CHUNK_SIZE_DIGITS_MAX) {
		syntax->chunk_left =
		    syntax->chunk_left << 4 | (uint64_t)g_ascii_xdigit_value(c);
		syntax->count++;
		return;
	}
	if (syntax->count == 0)
		syntax->defect = HTTP_DEFECT_CHUNK;
	else if (c == ';' || c == ' ' || c == '\t')
		enter(syntax, SYNTAX_CHUNK_EXTENSION);
	else
		enter_if(syntax, c == '\r', SYNTAX_CHUNK_LINE_END,
		    HTTP_DEFECT_CHUNK);
}

static void
accept_chunk_extension(struct http_syntax *syntax, char c)
{
	if (c == '\r')
		enter(syntax, SYNTAX_CHUNK_LINE_END);
	else if (!http_is_value_char(c) ||
	    ++syntax->count > CHUNK_EXTENSION_MAX)
		syntax->defect = HTTP_DEFECT_CHUNK;
}

/* The last chunk is empty, and the trailer follows it. */
static void
accept_chunk_line_end(struct http_syntax *syntax, char c)
{
	enter_if(syntax, c == '\n',
	    syntax->chunk_left == 0 ? SYNTAX_LINE : SYNTAX_CHUNK_DATA,
	    HTTP_DEFECT_CHUNK);
}

/* A character of a head, or of the trailer of a chunked body. */
static void
accept_head_char(struct http_syntax *syntax, char c)
{
	switch (syntax->state) {
	case SYNTAX_START:
		accept_start(syntax, c);
		break;
	case SYNTAX_METHOD:
		if (!http_is_token_char(c))
			enter_if(syntax, c == ' ', SYNTAX_TARGET,
			    HTTP_DEFECT_START_LINE);
		break;
	case SYNTAX_TARGET:
		accept_target(syntax, c);
		break;
	case SYNTAX_VERSION:
		accept_version(syntax, c);
		break;
	case SYNTAX_STATUS:
		accept_status(syntax, c);
		break;
	case SYNTAX_REASON:
		accept_text(syntax, c, HTTP_DEFECT_START_LINE);
		break;
	case SYNTAX_LINE_END:
		enter_if(
		    syntax, c == '\n', SYNTAX_LINE, HTTP_DEFECT_FIELD_VALUE);
		break;
	case SYNTAX_LINE:
		accept_line(syntax, c);
		break;
	case SYNTAX_NAME:
		accept_name(syntax, c);
		break;
	case SYNTAX_VALUE:
		accept_text(syntax, c, HTTP_DEFECT_FIELD_VALUE);
		break;
	case SYNTAX_HEAD_END:
		enter_if(
		    syntax, c == '\n', SYNTAX_DONE, HTTP_DEFECT_FIELD_NAME);
		break;
	default:
		break;
	}
}

/* A character of a chunked body beside its data. */
static void
accept_chunk_char(struct http_syntax *syntax, char c)
{
	switch (syntax->state) {
	case SYNTAX_CHUNK_SIZE:
		accept_chunk_size(syntax, c);
		break;
	case SYNTAX_CHUNK_EXTENSION:
		accept_chunk_extension(syntax, c);
		break;
	case SYNTAX_CHUNK_LINE_END:
		accept_chunk_line_end(syntax, c);
		break;
	case SYNTAX_CHUNK_CR:
		enter_if(syntax, c == '\r', SYNTAX_CHUNK_LF, HTTP_DEFECT_CHUNK);
		break;
	case SYNTAX_CHUNK_LF:
		enter_if(
		    syntax, c == '\n', SYNTAX_CHUNK_SIZE, HTTP_DEFECT_CHUNK);
		break;
	default:
		break;
	}
}

/* Return how many bytes belong to the data of a chunk. */
static size_t
accept_chunk_data(struct http_syntax *syntax, size_t len)
{
	size_t count = MIN(len, syntax->chunk_left);

	syntax->chunk_left -= count;
	if (syntax->chunk_left == 0)
		enter(syntax, SYNTAX_CHUNK_CR);
	return count;
}

/*
 * Return how many of the bytes may be parsed, see syntax.h.
 */
size_t
http_syntax_accept(struct http_syntax *syntax, struct str bytes)
{
	size_t at = 0;

	if (syntax->state == SYNTAX_OTHER_BODY || syntax->state == SYNTAX_DONE)
		return bytes.len;
	while (at < bytes.len && syntax->defect == HTTP_DEFECT_NONE &&
	    syntax->state != SYNTAX_DONE) {
		if (syntax->state == SYNTAX_CHUNK_DATA) {
			at += accept_chunk_data(syntax, bytes.len - at);
			continue;
		}
		if (syntax->state < SYNTAX_OTHER_BODY)
			accept_head_char(syntax, bytes.ptr[at]);
		else
			accept_chunk_char(syntax, bytes.ptr[at]);
		if (syntax->defect == HTTP_DEFECT_NONE)
			at++;
	}
	return at;
}
