#include <string.h>

#include "http/syntax.h"

/* What the fields and the status of a head say of its body. */

enum {
	LENGTH_DIGITS_MAX = 18,
	STATUS_MIN = 100,
	STATUS_SWITCHING = 101, /* never requested */
	STATUS_FINAL_MIN = 200,
	STATUS_NO_CONTENT = 204,
	STATUS_MAX = 599,
};

static bool
is_length(struct str value)
{
	if (value.len == 0 || value.len > LENGTH_DIGITS_MAX)
		return false;
	for (size_t i = 0; i < value.len; i++)
		if (!g_ascii_isdigit(value.ptr[i]))
			return false;
	return true;
}

static struct str
trim_end(struct str value)
{
	while (value.len > 0 &&
	    (value.ptr[value.len - 1] == ' ' ||
		value.ptr[value.len - 1] == '\t'))
		value.len--;
	return value;
}

/* What the fields of a head say of its body. */
struct body_fields {
	unsigned codings;
	unsigned lengths;
	bool is_empty; /* the length is 0 */
};

static enum http_defect
read_body_fields(const struct http_head *head, struct body_fields *fields)
{
	for (size_t i = 0; i < head->field_count; i++) {
		struct str name = http_head_name(head, i);
		struct str value = trim_end(http_head_value(head, i));

		if (str_equal_nocase(name, str_from("transfer-encoding"))) {
			fields->codings++;
			if (!str_equal_nocase(value, str_from("chunked")))
				return HTTP_DEFECT_CODING;
		} else if (str_equal_nocase(name, str_from("content-length"))) {
			fields->lengths++;
			fields->is_empty = is_length(value) &&
			    strspn(value.ptr, "0") >= value.len;
			if (!is_length(value))
				return HTTP_DEFECT_LENGTH;
		}
	}
	if (fields->codings > 1)
		return HTTP_DEFECT_CODING;
	if (fields->lengths + fields->codings > 1)
		return HTTP_DEFECT_LENGTH;
	return HTTP_DEFECT_NONE;
}

/*
 * Check the framing and, of a response, the status of a complete head.
 */
enum http_defect
http_head_check(const struct http_head *head, bool is_response)
{
	struct body_fields fields = { 0 };
	enum http_defect defect = read_body_fields(head, &fields);
	bool has_body;

	if (!is_response || defect != HTTP_DEFECT_NONE)
		return defect;
	if (head->status < STATUS_MIN || head->status > STATUS_MAX ||
	    head->status == STATUS_SWITCHING)
		return HTTP_DEFECT_STATUS;
	has_body =
	    fields.codings > 0 || (fields.lengths > 0 && !fields.is_empty);
	if (has_body &&
	    (head->status < STATUS_FINAL_MIN ||
		head->status == STATUS_NO_CONTENT))
		return HTTP_DEFECT_BODY;
	return HTTP_DEFECT_NONE;
}
