#ifndef TREFOILHILL_WIRE_OUTGOING_H
#define TREFOILHILL_WIRE_OUTGOING_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/wfcqueue.h>

#include "wire/transport.h"

/* One frame on its way to the transport's thread. */
struct outgoing {
	struct cds_wfcq_node node;
	atomic_bool published; /* set before it can be taken off the queue */
	char *address;         /* NULL: an answer along origin */
	struct frame_origin origin;
	enum frame_class class;
	GBytes *head;
	GBytes *body; /* may be NULL */
	int64_t queued_at_us;
};

enum send_result {
	SEND_DONE,
	SEND_FULL, /* no connection yet, or its queue is full */
	SEND_GONE, /* no such path any more */
};

struct outgoing *outgoing_new(
    struct str address, enum frame_class class, GBytes *head, GBytes *body);
void outgoing_free(struct outgoing *out);
size_t outgoing_size(const struct outgoing *out);
enum send_result outgoing_send(const struct outgoing *out, void *socket);

#endif
