#ifndef TREFOILHILL_HTTP_SYNTAX_H
#define TREFOILHILL_HTTP_SYNTAX_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "http/head.h"

/*
 * Strict syntax of HTTP/1.1 messages (RFC 9112), checked before the parser,
 * which is lenient, sees the bytes. Of what the RFC lets a recipient tolerate,
 * two things are accepted (2.2): empty lines before a request, and a line of a
 * head that ends with LF alone.
 */

enum http_defect {
	HTTP_DEFECT_NONE,
	HTTP_DEFECT_START_LINE,
	HTTP_DEFECT_VERSION,
	HTTP_DEFECT_STATUS,
	HTTP_DEFECT_FIELD_NAME,
	HTTP_DEFECT_FIELD_VALUE,
	HTTP_DEFECT_CODING, /* of the transfer, other than chunked */
	HTTP_DEFECT_LENGTH, /* no number, more than one, or beside a coding */
	HTTP_DEFECT_BODY,   /* with a status that has none */
	HTTP_DEFECT_CHUNK,
};

enum http_framing {
	HTTP_FRAMING_OTHER, /* none, by length, or until the end */
	HTTP_FRAMING_CHUNKED,
};

enum http_syntax_state {
	/* Of a head; from LINE_END on also of a trailer. */
	SYNTAX_START,
	SYNTAX_METHOD,
	SYNTAX_TARGET,
	SYNTAX_VERSION,
	SYNTAX_STATUS,
	SYNTAX_REASON,
	SYNTAX_LINE_END, /* LF of a line of the head */
	SYNTAX_LINE,     /* first character of a field or of the empty line */
	SYNTAX_NAME,
	SYNTAX_VALUE,
	SYNTAX_HEAD_END, /* LF of the empty line */
	/* Of a body, and behind it. */
	SYNTAX_OTHER_BODY,
	SYNTAX_CHUNK_SIZE,
	SYNTAX_CHUNK_EXTENSION,
	SYNTAX_CHUNK_LINE_END,
	SYNTAX_CHUNK_DATA,
	SYNTAX_CHUNK_CR,
	SYNTAX_CHUNK_LF,
	SYNTAX_DONE, /* behind a chunked body and its trailer */
};

/* The syntax of one message; zero-initialized but for is_response. */
struct http_syntax {
	bool is_response;
	enum http_syntax_state state;
	enum http_defect defect;
	uint32_t count; /* characters of the element, as far as they matter */
	uint64_t chunk_left;
};

/* Expect a new message. */
void http_syntax_begin(struct http_syntax *syntax);
/* Expect a body, behind a head that is complete. */
void http_syntax_begin_body(
    struct http_syntax *syntax, enum http_framing framing);
/*
 * Return how many of the bytes may be parsed: all, fewer if the head ends among
 * them, and those before a defect. 0 only at a defect, or without bytes.
 */
size_t http_syntax_accept(struct http_syntax *syntax, struct str bytes);

/* Check the framing and, of a response, the status of a complete head. */
enum http_defect http_head_check(
    const struct http_head *head, bool is_response);

/* Name of a defect, as shown in logs. */
const char *http_defect_name(enum http_defect defect);

#endif
