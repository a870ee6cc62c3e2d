#ifndef TREFOILHILL_TREFOILHILLD_ANSWER_READER_H
#define TREFOILHILL_TREFOILHILLD_ANSWER_READER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/call.h"

/* Reads the header lines of an upstream's answer, one at a time. */
struct answer_reader {
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

void answer_reader_init(struct answer_reader *reader);
void answer_reader_release(struct answer_reader *reader);
void answer_reader_reset(struct answer_reader *reader);
void answer_reader_add_line(struct answer_reader *reader, struct str line);
/* Views into the reader, without headers of one hop. */
void answer_reader_headers(
    const struct answer_reader *reader, struct call_headers *headers);

#endif
