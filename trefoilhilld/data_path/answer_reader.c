#include <string.h>

#include "trefoilhilld/answer_reader.h"
#include "trefoilhilld/header_filter.h"

enum {
	STATUS_OK = 200,
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
	STATUS_UNAVAILABLE = 503,
	MS_PER_S = 1000,
	RETRY_AFTER_MAX_S = 3600,
};

void
answer_reader_init(struct answer_reader *reader)
{
	memset(reader, 0, sizeof(*reader));
	reader->bytes = g_string_new(NULL);
	reader->length = CALL_LENGTH_UNKNOWN;
}

void
answer_reader_release(struct answer_reader *reader)
{
	g_string_free(reader->bytes, TRUE);
	reader->bytes = NULL;
}

/*
 * Forget what was read, for the next answer.
 */
void
answer_reader_reset(struct answer_reader *reader)
{
	GString *bytes = reader->bytes;

	memset(reader, 0, sizeof(*reader));
	reader->bytes = g_string_truncate(bytes, 0);
	reader->length = CALL_LENGTH_UNKNOWN;
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
 * Note what a header says of the answer as a whole.
 */
static void
read_meaning(struct answer_reader *reader, struct str name, struct str value)
{
	if (header_name_equal(name, str_from("content-length"))) {
		reader->framed = true;
		reader->length = parse_number(value);
	} else if (header_name_equal(name, str_from("transfer-encoding"))) {
		reader->framed = reader->framed ||
		    header_list_has(value, str_from("chunked"));
	} else if (header_name_equal(name, str_from("x-standin-outcome"))) {
		reader->shed = reader->status == STATUS_UNAVAILABLE &&
		    header_name_equal(value, str_from("shed"));
	} else if (header_name_equal(name, str_from("retry-after"))) {
		reader->retry_after_ms =
		    (uint32_t)MIN(parse_number(value), RETRY_AFTER_MAX_S) *
		    MS_PER_S;
	}
}

static void
keep_header(struct answer_reader *reader, struct str name, struct str value)
{
	if (reader->count >= CALL_HEADERS_MAX ||
	    reader->bytes->len + name.len + value.len > CALL_HEADER_BYTES_MAX) {
		reader->too_large = true;
		return;
	}
	reader->offsets[reader->count][0] = reader->bytes->len;
	reader->lengths[reader->count][0] = name.len;
	g_string_append_len(reader->bytes, name.ptr, (gssize)name.len);
	reader->offsets[reader->count][1] = reader->bytes->len;
	reader->lengths[reader->count][1] = value.len;
	if (value.len > 0)
		g_string_append_len(
		    reader->bytes, value.ptr, (gssize)value.len);
	reader->count++;
}

/*
 * The blank line: an interim answer is followed by another head. Some answers
 * have no body whatever their headers say.
 */
static void
end_head(struct answer_reader *reader)
{
	if (reader->status < STATUS_OK) {
		answer_reader_reset(reader);
		return;
	}
	reader->complete = true;
	if (reader->status == STATUS_NO_CONTENT ||
	    reader->status == STATUS_NOT_MODIFIED)
		reader->framed = true;
}

/*
 * Read one line as libcurl hands it on, with its line end.
 */
void
answer_reader_add_line(struct answer_reader *reader, struct str line)
{
	const char *colon;
	struct str name;
	struct str value;

	while (line.len > 0 && g_ascii_isspace(line.ptr[line.len - 1]))
		line.len--;
	if (line.len == 0) {
		end_head(reader);
		return;
	}
	if (str_has_prefix(line, str_from("HTTP/"))) {
		const char *space = memchr(line.ptr, ' ', line.len);

		answer_reader_reset(reader);
		if (space != NULL)
			reader->status =
			    (uint32_t)parse_number(str_make(space + 1,
				line.len - (size_t)(space + 1 - line.ptr)));
		return;
	}
	colon = memchr(line.ptr, ':', line.len);
	if (colon == NULL || reader->complete)
		return; /* a trailer, or no header at all */
	name = str_make(line.ptr, (size_t)(colon - line.ptr));
	value = str_make(colon + 1, line.len - name.len - 1);
	while (value.len > 0 && g_ascii_isspace(value.ptr[0]))
		value = str_make(value.ptr + 1, value.len - 1);
	read_meaning(reader, name, value);
	keep_header(reader, name, value);
}

/*
 * See include/trefoilhilld/answer_reader.h.
 */
void
answer_reader_headers(
    const struct answer_reader *reader, struct call_headers *headers)
{
	const char *bytes = reader->bytes->str;

	headers->count = reader->count;
	for (size_t i = 0; i < reader->count; i++) {
		headers->list[i].name = str_make(
		    bytes + reader->offsets[i][0], reader->lengths[i][0]);
		headers->list[i].value = str_make(
		    bytes + reader->offsets[i][1], reader->lengths[i][1]);
	}
	header_filter_hop(headers);
}
