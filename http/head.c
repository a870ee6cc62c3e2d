#include <string.h>

#include "http/head.h"

#define NAME(text)                     \
	{                              \
		sizeof(text) - 1, text \
	}

enum {
	LETTER_CASE_BIT = 0x20,
	TEXT_RESERVED_BYTES = 512, /* enough for most heads */
};

/*
 * Return an empty head. Free it with http_head_free.
 */
struct http_head *
http_head_new(struct account_holder *holder)
{
	struct http_head *head = g_new0(struct http_head, 1);

	account_buffer_init(&head->text, holder);
	account_buffer_reserve(&head->text, TEXT_RESERVED_BYTES);
	return head;
}

/*
 * Free a head. NULL is allowed.
 */
void
http_head_free(struct http_head *head)
{
	if (head == NULL)
		return;
	account_buffer_release(&head->text);
	g_free(head);
}

/*
 * Reset the head for the next message.
 */
void
http_head_clear(struct http_head *head)
{
	account_buffer_empty(&head->text);
	account_buffer_trim(&head->text);
	head->method = (struct http_span){ 0 };
	head->target = (struct http_span){ 0 };
	head->status = 0;
	head->field_count = 0;
}

/*
 * Return the bytes of a span.
 */
struct str
http_head_span(const struct http_head *head, struct http_span span)
{
	return str_make(
	    account_buffer_view(&head->text).ptr + span.offset, span.len);
}

/*
 * Return the name of the field at index.
 */
struct str
http_head_name(const struct http_head *head, size_t index)
{
	return http_head_span(head, head->fields[index].name);
}

/*
 * Return the value of the field at index.
 */
struct str
http_head_value(const struct http_head *head, size_t index)
{
	return http_head_span(head, head->fields[index].value);
}

/*
 * Compare two strings, ignoring the case of ASCII letters.
 */
bool
str_equal_nocase(struct str a, struct str b)
{
	if (a.len != b.len)
		return false;
	/* Field names of one length often begin alike, seldom end alike. */
	if (a.len > 0 &&
	    ((a.ptr[a.len - 1] ^ b.ptr[b.len - 1]) & ~LETTER_CASE_BIT) != 0)
		return false;
	return g_ascii_strncasecmp(a.ptr, b.ptr, a.len) == 0;
}

/*
 * Return the first value of a field; its pointer is NULL if there is none.
 */
struct str
http_head_find(const struct http_head *head, struct str name)
{
	for (size_t i = 0; i < head->field_count; i++)
		if (str_equal_nocase(http_head_name(head, i), name))
			return http_head_value(head, i);
	return (struct str){ 0 };
}

static struct http_span
head_append(struct http_head *head, struct str bytes)
{
	struct http_span span = {
		.offset = (uint32_t)account_buffer_len(&head->text),
		.len = (uint32_t)bytes.len,
	};

	account_buffer_append(&head->text, bytes);
	return span;
}

/*
 * Append a copy of a field; false if the head has HTTP_FIELDS_MAX fields.
 */
bool
http_head_add(struct http_head *head, struct str name, struct str value)
{
	struct http_field *field;

	if (head->field_count == HTTP_FIELDS_MAX)
		return false;
	field = &head->fields[head->field_count++];
	field->name = head_append(head, name);
	field->value = head_append(head, value);
	return true;
}

/*
 * Set the method and target of a request.
 */
void
http_head_set_request(
    struct http_head *head, struct str method, struct str target)
{
	head->method = head_append(head, method);
	head->target = head_append(head, target);
}

/*
 * Tell whether a comma-separated list contains a token, ignoring case.
 */
bool
http_list_contains(struct str list, struct str token)
{
	size_t at = 0;

	while (at < list.len) {
		const char *start = list.ptr + at;
		const char *comma = memchr(start, ',', list.len - at);
		size_t len =
		    comma == NULL ? list.len - at : (size_t)(comma - start);
		struct str item = str_make(start, len);

		while (item.len > 0 && g_ascii_isspace(item.ptr[0]))
			item = str_make(item.ptr + 1, item.len - 1);
		while (item.len > 0 && g_ascii_isspace(item.ptr[item.len - 1]))
			item.len--;
		if (str_equal_nocase(item, token))
			return true;
		at += len + 1;
	}
	return false;
}

/*
 * Tell whether a field is hop-by-hop: by its name, or because the Connection
 * field lists it.
 */
bool
http_field_is_hop_by_hop(const struct http_head *head, struct str name)
{
	static const struct str hop_by_hop[] = {
		NAME("connection"),
		NAME("keep-alive"),
		NAME("proxy-authenticate"),
		NAME("proxy-authorization"),
		NAME("proxy-connection"),
		NAME("te"),
		NAME("trailer"),
		NAME("transfer-encoding"),
		NAME("upgrade"),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop); i++)
		if (str_equal_nocase(name, hop_by_hop[i]))
			return true;
	return http_list_contains(http_head_find(head, hop_by_hop[0]), name);
}

/*
 * Append a header field line.
 */
void
http_field_append(GString *text, struct str name, struct str value)
{
	g_string_append_len(text, name.ptr, (gssize)name.len);
	g_string_append_len(text, ": ", 2);
	g_string_append_len(text, value.ptr, (gssize)value.len);
	g_string_append_len(text, "\r\n", 2);
}

/*
 * Append a header field line to a buffer.
 */
void
http_field_store(struct account_buffer *text, struct str name, struct str value)
{
	account_buffer_append(text, name);
	account_buffer_append(text, str_from(": "));
	account_buffer_append(text, value);
	account_buffer_append(text, str_from("\r\n"));
}
