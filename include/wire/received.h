#ifndef TREFOILHILL_WIRE_RECEIVED_H
#define TREFOILHILL_WIRE_RECEIVED_H

#include <stdbool.h>
#include <zmq.h>

#include "wire/transport.h"

enum {
	RECEIVED_PARTS_MAX = 2,
};

/* A multipart message received from a socket. */
struct received_message {
	struct frame_origin origin; /* empty for replies */
	zmq_msg_t parts[RECEIVED_PARTS_MAX];
};

enum receive_result {
	RECEIVE_NONE,
	RECEIVE_FRAME,
	RECEIVE_MALFORMED, /* too many or too few parts */
};

enum receive_result received_message_read(
    struct received_message *received, void *socket, bool has_origin);
/* Must be called after every result except RECEIVE_NONE. */
void received_message_release(struct received_message *received);
struct str received_message_first_part(struct received_message *received);
struct str received_message_body(struct received_message *received);

#endif
