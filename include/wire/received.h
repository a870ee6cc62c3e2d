#ifndef TREFOILHILL_WIRE_RECEIVED_H
#define TREFOILHILL_WIRE_RECEIVED_H

#include <stdbool.h>
#include <zmq.h>

#include "wire/transport.h"

enum {
	RECEIVED_PARTS_MAX = 2,
};

/* One message as it came from a socket. */
struct received {
	struct frame_origin origin; /* empty for answers */
	zmq_msg_t parts[RECEIVED_PARTS_MAX];
};

enum receive_result {
	RECEIVE_NONE,
	RECEIVE_FRAME,
	RECEIVE_MALFORMED, /* too many or too few parts */
};

enum receive_result received_take(
    struct received *received, void *socket, bool has_origin);
/* Needed after each result but RECEIVE_NONE. */
void received_release(struct received *received);
struct str received_first(struct received *received);
struct str received_body(struct received *received);

#endif
