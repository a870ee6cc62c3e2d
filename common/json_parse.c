#include <glib.h>
#include <string.h>

#include "common/json_parse.h"

/* Allocations of jansson on a 64-bit host, with the allocator's overhead. */
enum {
	OBJECT_BYTES = 224,
	ARRAY_BYTES = 128,
	ELEMENT_BYTES = 24, /* in an array that is being enlarged */
	MEMBER_BYTES = 128, /* in an object that is being enlarged */
	STRING_BYTES = 72,
	NUMBER_BYTES = 32,
	LEXER_BYTES = 256,
	LEXER_COPIES = 4, /* of the text of the longest token */
};

/* A text while its memory is added up. */
struct memory_scan {
	struct str text;
	size_t at;
	size_t bytes;
	size_t longest; /* token */
};

/* Move to the end of a token, and return its length. */
static size_t
end_token(struct memory_scan *scan, size_t end)
{
	size_t len = end - scan->at;

	scan->longest = MAX(scan->longest, len);
	scan->at = end;
	return len;
}

/* Add a string, whose opening quote is the current character. */
static void
add_string(struct memory_scan *scan)
{
	const char *text = scan->text.ptr;
	size_t end = scan->at + 1;

	while (end < scan->text.len && text[end] != '"')
		end += text[end] == '\\' ? 2 : 1;
	end = MIN(end + 1, scan->text.len);
	scan->bytes += end_token(scan, end);
	while (end < scan->text.len && g_ascii_isspace(text[end]))
		end++;
	scan->bytes += end < scan->text.len && text[end] == ':' ? MEMBER_BYTES
								: STRING_BYTES;
}

static void
add_number(struct memory_scan *scan)
{
	size_t end = scan->at;

	while (end < scan->text.len && scan->text.ptr[end] != '\0' &&
	    strchr("0123456789+-.eE", scan->text.ptr[end]) != NULL)
		end++;
	end_token(scan, end);
	scan->bytes += NUMBER_BYTES;
}

/*
 * Return an upper bound of the bytes that jansson allocates to parse a text,
 * which may be malformed.
 */
size_t
json_memory_bytes(struct str text)
{
	struct memory_scan scan = { .text = text, .bytes = LEXER_BYTES };

	while (scan.at < text.len) {
		char c = text.ptr[scan.at];

		if (c == '"') {
			add_string(&scan);
			continue;
		}
		if (c == '-' || g_ascii_isdigit(c)) {
			add_number(&scan);
			continue;
		}
		if (c == '{')
			scan.bytes += OBJECT_BYTES;
		else if (c == '[')
			scan.bytes += ARRAY_BYTES;
		else if (c == ',')
			scan.bytes += ELEMENT_BYTES;
		scan.at++;
	}
	return scan.bytes + LEXER_COPIES * scan.longest;
}

/* Set an error as jansson does, whose code is the last byte of the text. */
static void
set_memory_error(json_error_t *error, size_t len, size_t bytes)
{
	*error = (json_error_t){ 0 };
	g_snprintf(error->text, sizeof(error->text) - 1,
	    "%zu bytes would take %zu in memory", len, bytes);
	error->text[sizeof(error->text) - 1] = json_error_out_of_memory;
}

/*
 * Parse JSON text, see json_parse.h. Returns NULL with error set if it is
 * malformed or would take too much memory.
 */
json_t *
json_parse(struct str text, size_t flags, json_error_t *error)
{
	size_t bytes = json_memory_bytes(text);

	if (bytes <= JSON_MEMORY_FREE_BYTES ||
	    bytes / JSON_MEMORY_RATIO <= text.len)
		return json_loadb(
		    text.ptr == NULL ? "" : text.ptr, text.len, flags, error);
	if (error != NULL)
		set_memory_error(error, text.len, bytes);
	return NULL;
}
