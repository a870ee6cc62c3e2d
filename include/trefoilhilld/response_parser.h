#ifndef TREFOILHILL_TREFOILHILLD_RESPONSE_PARSER_H
#define TREFOILHILL_TREFOILHILLD_RESPONSE_PARSER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/call.h"

/* Reads the header lines of an upstream's answer, one at a time. */
struct response_parser {
	GString *bytes; /* names and values */
	size_t offsets[CALL_HEADERS_MAX][2];
	size_t lengths[CALL_HEADERS_MAX][2];
	size_t count;
	uint32_t status;
	bool complete;  /* the head is whole */
	bool too_large; /* more headers than a frame may carry */
	bool framed;    /* its end can be told from a cut */
	uint64_t length;
	bool shed; /* the upstream says that it didn't begin */
	uint32_t retry_after_ms;
};

void response_parser_init(struct response_parser *parser);
void response_parser_release(struct response_parser *parser);
void response_parser_reset(struct response_parser *parser);
void response_parser_add_line(struct response_parser *parser, struct str line);
/* Views into the reader, without headers of one hop. */
void response_parser_headers(
    const struct response_parser *parser, struct call_headers *headers);

#endif
