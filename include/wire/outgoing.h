#ifndef TREFOILHILL_WIRE_OUTGOING_H
#define TREFOILHILL_WIRE_OUTGOING_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/wfcqueue.h>

#include "wire/transport.h"

/* A frame queued for the transport thread to send. */
struct outgoing_frame {
	struct cds_wfcq_node node;
	atomic_bool published; /* set before it is enqueued */
	char *address;         /* NULL: a reply routed by origin */
	struct frame_origin origin;
	enum frame_class class;
	GBytes *head;
	GBytes *body; /* may be NULL */
	int64_t queued_at_us;
	int64_t pending_since_us; /* in the transport's running time */
};

enum send_result {
	SEND_OK,
	SEND_WOULD_BLOCK, /* not connected yet, or the send queue is full */
	SEND_NO_ROUTE,    /* the route to the peer no longer exists */
};

struct outgoing_frame *outgoing_frame_new(
    struct str address, enum frame_class class, GBytes *head, GBytes *body);
void outgoing_frame_free(struct outgoing_frame *out);
size_t outgoing_frame_size(const struct outgoing_frame *out);
enum send_result outgoing_frame_send(
    const struct outgoing_frame *out, void *socket);

#endif
