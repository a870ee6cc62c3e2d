#include <string.h>

#include "common/http_text.h"
#include "trefoilhilld/response_parser.h"
#include "trefoilhilld/header_filter.h"

enum {
	STATUS_MIN = 100,
	STATUS_SWITCHING = 101, /* never requested */
	STATUS_OK = 200,
	STATUS_MAX = 599,
	STATUS_DIGITS = 3,
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
	STATUS_UNAVAILABLE = 503,
	MS_PER_S = 1000,
	RETRY_AFTER_MAX_S = 3600,
};

void
response_parser_init(struct response_parser *parser)
{
	memset(parser, 0, sizeof(*parser));
	parser->bytes = g_string_new(NULL);
	parser->length = CALL_LENGTH_UNKNOWN;
}

void
response_parser_release(struct response_parser *parser)
{
	g_string_free(parser->bytes, TRUE);
	parser->bytes = NULL;
}

/*
 * Discard the parsed data before the next response.
 */
void
response_parser_reset(struct response_parser *parser)
{
	GString *bytes = parser->bytes;

	memset(parser, 0, sizeof(*parser));
	parser->bytes = g_string_truncate(bytes, 0);
	parser->length = CALL_LENGTH_UNKNOWN;
}

static uint64_t
parse_number(struct str s)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%.*s",
	    (int)MIN(s.len, sizeof(text) - 1), s.ptr);
	return g_ascii_strtoull(text, NULL, 10);
}

/*
 * Evaluate a header that affects the response as a whole.
 */
static void
interpret_header(
    struct response_parser *parser, struct str name, struct str value)
{
	if (header_name_equal(name, str_from("content-length"))) {
		parser->framed = true;
		parser->length = parse_number(value);
	} else if (header_name_equal(name, str_from("transfer-encoding"))) {
		parser->framed = parser->framed ||
		    header_list_has_token(value, str_from("chunked"));
	} else if (header_name_equal(name, str_from("x-standin-outcome"))) {
		parser->shed = parser->status == STATUS_UNAVAILABLE &&
		    header_name_equal(value, str_from("shed"));
	} else if (header_name_equal(name, str_from("retry-after"))) {
		parser->retry_after_ms =
		    (uint32_t)MIN(parse_number(value), RETRY_AFTER_MAX_S) *
		    MS_PER_S;
	}
}

static void
store_header(struct response_parser *parser, struct str name, struct str value)
{
	if (parser->count >= CALL_HEADERS_MAX ||
	    parser->bytes->len + name.len + value.len > CALL_HEADER_BYTES_MAX) {
		parser->too_large = true;
		return;
	}
	parser->offsets[parser->count][0] = parser->bytes->len;
	parser->lengths[parser->count][0] = name.len;
	g_string_append_len(parser->bytes, name.ptr, (gssize)name.len);
	parser->offsets[parser->count][1] = parser->bytes->len;
	parser->lengths[parser->count][1] = value.len;
	if (value.len > 0)
		g_string_append_len(
		    parser->bytes, value.ptr, (gssize)value.len);
	parser->count++;
}

/*
 * Handle the blank line at the end of a head. An interim response is followed
 * by another head. Some statuses never have a body, whatever the headers say.
 */
static void
finish_head(struct response_parser *parser)
{
	if (parser->status < STATUS_OK) {
		response_parser_reset(parser);
		return;
	}
	parser->complete = true;
	if (parser->status == STATUS_NO_CONTENT ||
	    parser->status == STATUS_NOT_MODIFIED)
		parser->framed = true;
}

/* Parse the status of a status line; false if it is none. */
static bool
read_status(struct str line, uint32_t *status)
{
	const char *space = memchr(line.ptr, ' ', line.len);
	size_t at = space == NULL ? line.len : (size_t)(space + 1 - line.ptr);

	if (line.len < at + STATUS_DIGITS ||
	    (line.len > at + STATUS_DIGITS &&
		line.ptr[at + STATUS_DIGITS] != ' '))
		return false;
	for (size_t i = at; i < at + STATUS_DIGITS; i++)
		if (!g_ascii_isdigit(line.ptr[i]))
			return false;
	*status =
	    (uint32_t)parse_number(str_make(line.ptr + at, STATUS_DIGITS));
	return *status >= STATUS_MIN && *status <= STATUS_MAX &&
	    *status != STATUS_SWITCHING;
}

/*
 * Parse one header line as delivered by libcurl, including its line end.
 */
void
response_parser_add_line(struct response_parser *parser, struct str line)
{
	const char *colon;
	struct str name;
	struct str value;

	while (line.len > 0 && g_ascii_isspace(line.ptr[line.len - 1]))
		line.len--;
	if (line.len == 0) {
		finish_head(parser);
		return;
	}
	if (str_has_prefix(line, str_from("HTTP/"))) {
		response_parser_reset(parser);
		parser->malformed = !read_status(line, &parser->status);
		return;
	}
	colon = memchr(line.ptr, ':', line.len);
	if (colon == NULL || parser->complete)
		return; /* a trailer or not a header */
	name = str_make(line.ptr, (size_t)(colon - line.ptr));
	value = str_make(colon + 1, line.len - name.len - 1);
	while (value.len > 0 && g_ascii_isspace(value.ptr[0]))
		value = str_make(value.ptr + 1, value.len - 1);
	if (!http_is_token(name) || !http_is_value(value)) {
		parser->malformed = true;
		return;
	}
	interpret_header(parser, name, value);
	store_header(parser, name, value);
}

/*
 * See include/trefoilhilld/response_parser.h.
 */
void
response_parser_headers(
    const struct response_parser *parser, struct call_headers *headers)
{
	const char *bytes = parser->bytes->str;

	headers->count = parser->count;
	for (size_t i = 0; i < parser->count; i++) {
		headers->list[i].name = str_make(
		    bytes + parser->offsets[i][0], parser->lengths[i][0]);
		headers->list[i].value = str_make(
		    bytes + parser->offsets[i][1], parser->lengths[i][1]);
	}
	header_remove_hop_by_hop(headers);
}
