#ifndef TREFOILHILL_TREFOILHILLD_RESPONSE_PARSER_H
#define TREFOILHILL_TREFOILHILLD_RESPONSE_PARSER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/call.h"

/* Parses the head of an upstream's response line by line. */
struct response_parser {
	GString *bytes; /* header names and values, concatenated */
	size_t offsets[CALL_HEADERS_MAX][2];
	size_t lengths[CALL_HEADERS_MAX][2];
	size_t count;
	uint32_t status;
	bool complete;  /* the head was read to its end */
	bool too_large; /* the headers exceed the limits of a call frame */
	bool malformed; /* no HTTP/1.1 response; it must not be used */
	bool framed;    /* a truncated body can be detected */
	uint64_t length;
	bool shed; /* the upstream reports that it did not start the request */
	uint32_t retry_after_ms;
};

void response_parser_init(struct response_parser *parser);
void response_parser_release(struct response_parser *parser);
void response_parser_reset(struct response_parser *parser);
void response_parser_add_line(struct response_parser *parser, struct str line);
/* Return views into the parser; hop-by-hop headers are left out. */
void response_parser_headers(
    const struct response_parser *parser, struct call_headers *headers);

#endif
