#ifndef TREFOILHILL_WIRE_FRAME_H
#define TREFOILHILL_WIRE_FRAME_H

#include <glib.h>

#include "common/str.h"
#include "wire/transport.h"

/* Precedes each head: 2 magic bytes, protocol version, frame class. */
enum {
	FRAME_PREAMBLE_LEN = 4,
};

enum frame_parse_result {
	FRAME_VALID,
	FRAME_MALFORMED,
	FRAME_UNSUPPORTED_VERSION,
	FRAME_TOO_LARGE,
};

void frame_preamble_write(
    enum frame_class class, unsigned char out[FRAME_PREAMBLE_LEN]);
enum frame_parse_result frame_parse(struct str first_part, struct str body,
    enum frame_class *class, struct str *head);

#endif
