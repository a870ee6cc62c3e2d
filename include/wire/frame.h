#ifndef TREFOILHILL_WIRE_FRAME_H
#define TREFOILHILL_WIRE_FRAME_H

#include <glib.h>

#include "common/str.h"
#include "wire/transport.h"

/* The bytes in front of each head: magic, protocol version, class. */
enum {
	FRAME_PREAMBLE_LEN = 4,
};

enum frame_fault {
	FRAME_GOOD,
	FRAME_MALFORMED,
	FRAME_NEWER_VERSION,
	FRAME_TOO_LARGE,
};

void frame_preamble_write(
    enum frame_class class, unsigned char out[FRAME_PREAMBLE_LEN]);
enum frame_fault frame_parse(struct str first_part, struct str body,
    enum frame_class *class, struct str *head);

#endif
