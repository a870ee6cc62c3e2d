#include <string.h>

#include "common/json_line.h"

enum {
	VALUE_MAX_BYTES = 200, /* longer values are truncated */
	INT_TEXT_MAX = 20,     /* INT64_MIN */
};

/*
 * Empty the line.
 */
void
json_line_clear(struct json_line *line)
{
	line->is_too_long = false;
	line->len = 0;
}

static inline void
append(struct json_line *line, const char *bytes, size_t len)
{
	if (len > sizeof(line->text) - line->len) {
		line->is_too_long = true;
		return;
	}
	memcpy(line->text + line->len, bytes, len);
	line->len += len;
}

static inline void
append_char(struct json_line *line, char byte)
{
	if (line->len < sizeof(line->text))
		line->text[line->len++] = byte;
	else
		line->is_too_long = true;
}

/*
 * Append bytes as they are. Once they don't fit, the line is too long.
 */
void
json_line_append(struct json_line *line, const char *bytes, size_t len)
{
	append(line, bytes, len);
}

static void
member_name_append(struct json_line *line, const char *name)
{
	if (line->len > 1)
		append_char(line, ',');
	append_char(line, '"');
	append(line, name, strlen(name));
	append_char(line, '"');
	append_char(line, ':');
}

static bool
is_plain(unsigned char byte)
{
	return byte >= 0x20 && byte < 0x7f && byte != '"' && byte != '\\';
}

static void
escaped_append(struct json_line *line, unsigned char byte)
{
	static const char digits[] = "0123456789abcdef";
	char quoted[] = { '\\', (char)byte };
	char escape[] = { '\\', 'u', '0', '0', digits[byte >> 4],
		digits[byte & 15] };

	if (byte == '"' || byte == '\\')
		append(line, quoted, sizeof(quoted));
	else
		append(line, escape, sizeof(escape));
}

/*
 * Add a string member. Quotes, backslashes and control characters are escaped,
 * bytes outside ASCII are replaced by Unicode escapes, and values over
 * VALUE_MAX_BYTES are truncated.
 */
void
json_line_text(struct json_line *line, const char *name, struct str value)
{
	size_t len = MIN(value.len, (size_t)VALUE_MAX_BYTES);
	size_t begin = 0;

	if (line == NULL)
		return;
	member_name_append(line, name);
	append_char(line, '"');
	for (size_t i = 0; i < len; i++) {
		if (is_plain((unsigned char)value.ptr[i]))
			continue;
		append(line, value.ptr + begin, i - begin);
		escaped_append(line, (unsigned char)value.ptr[i]);
		begin = i + 1;
	}
	if (begin < len)
		append(line, value.ptr + begin, len - begin);
	append_char(line, '"');
}

/*
 * Add a member from a NUL-terminated string; NULL adds an empty string.
 */
void
json_line_cstr(struct json_line *line, const char *name, const char *value)
{
	json_line_text(line, name, str_from(value == NULL ? "" : value));
}

/*
 * Add an integer member. Formatted here, since printf took a third of the
 * instructions of a request.
 */
void
json_line_int(struct json_line *line, const char *name, int64_t value)
{
	char text[INT_TEXT_MAX];
	char *digit = text + sizeof(text);
	uint64_t rest = value < 0 ? -(uint64_t)value : (uint64_t)value;

	if (line == NULL)
		return;
	member_name_append(line, name);
	do {
		*--digit = (char)('0' + rest % 10);
		rest /= 10;
	} while (rest > 0);
	if (value < 0)
		*--digit = '-';
	append(line, digit, (size_t)(text + sizeof(text) - digit));
}

/*
 * Add a boolean member.
 */
void
json_line_bool(struct json_line *line, const char *name, bool value)
{
	const char *text = value ? "true" : "false";

	if (line == NULL)
		return;
	member_name_append(line, name);
	append(line, text, strlen(text));
}
