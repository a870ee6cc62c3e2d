#ifndef TREFOILHILL_HTTP_HEAD_H
#define TREFOILHILL_HTTP_HEAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "account/buffer.h"
#include "common/str.h"

enum {
	HTTP_FIELDS_MAX = 96, /* per message; one with more is malformed */
};

struct http_span {
	uint32_t offset;
	uint32_t len;
};

struct http_field {
	struct http_span name;
	struct http_span value;
};

/* Start line and header fields of a message; spans refer to text. */
struct http_head {
	struct account_buffer text;
	struct http_span method; /* request only */
	struct http_span target; /* request only */
	unsigned status;         /* of a response, 0 for a request */
	size_t field_count;
	struct http_field fields[HTTP_FIELDS_MAX];
};

/* holder is whom the text is counted for; it may be NULL. */
struct http_head *http_head_new(struct account_holder *holder);
void http_head_free(struct http_head *head);
void http_head_clear(struct http_head *head);

/* These return views into the head, valid until it changes. */
struct str http_head_span(const struct http_head *head, struct http_span span);
struct str http_head_name(const struct http_head *head, size_t index);
struct str http_head_value(const struct http_head *head, size_t index);
/* First value of a field; its pointer is NULL if the field is absent. */
struct str http_head_find(const struct http_head *head, struct str name);

/* False if the head has HTTP_FIELDS_MAX fields already. */
bool http_head_add(struct http_head *head, struct str name, struct str value);
void http_head_set_request(
    struct http_head *head, struct str method, struct str target);

/* Whether a field applies to one connection only (RFC 9110, 7.6.1). */
bool http_field_is_hop_by_hop(const struct http_head *head, struct str name);

bool str_equal_nocase(struct str a, struct str b);
/* Whether a comma-separated list contains a token, ignoring case. */
bool http_list_contains(struct str list, struct str token);

/* Append a header field line to a message. */
void http_field_append(GString *text, struct str name, struct str value);
void http_field_store(
    struct account_buffer *text, struct str name, struct str value);

#endif
