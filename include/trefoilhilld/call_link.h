#ifndef TREFOILHILL_TREFOILHILLD_CALL_LINK_H
#define TREFOILHILL_TREFOILHILLD_CALL_LINK_H

#include <glib.h>

#include "wire/call.h"
#include "wire/transport.h"

/* The way to the other end of a call: over the network, or in this process. */
struct call_link;

struct call_link_ops {
	/* Takes both over; body may be NULL. */
	void (*send)(struct call_link *, GBytes *head, GBytes *body);
	void (*free)(struct call_link *);
};

struct call_link {
	const struct call_link_ops *ops;
};

/* Receives frames of a local link, as if they had come over the network. */
struct frame_sink {
	void (*handle_frame)(void *arg, struct str head, GBytes *body);
	void *arg;
};

struct call_link *call_link_new_peer(
    struct transport *transport, struct str address);
struct call_link *call_link_new_reply(
    struct transport *transport, const struct frame_origin *origin);
struct call_link *call_link_new_local(struct frame_sink sink);
/* Takes body over. */
void call_link_send(
    struct call_link *link, const struct call_frame *frame, GBytes *body);
void call_link_free(struct call_link *link);

#endif
