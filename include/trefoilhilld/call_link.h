#ifndef TREFOILHILL_TREFOILHILLD_CALL_LINK_H
#define TREFOILHILL_TREFOILHILLD_CALL_LINK_H

#include <glib.h>

#include "wire/call.h"
#include "wire/transport.h"

/*
 * Sends frames to the other end of a call, over the network or within this
 * process.
 */
struct call_link;

struct call_link_ops {
	/* Takes ownership of head and body; body may be NULL. */
	void (*send)(struct call_link *, GBytes *head, GBytes *body);
	void (*free)(struct call_link *);
};

struct call_link {
	const struct call_link_ops *ops;
};

/* Receives the frames of a local link in the form they have on the network. */
struct frame_sink {
	void (*handle_frame)(void *arg, struct str head, GBytes *body);
	void *arg;
};

struct call_link *call_link_new_peer(
    struct transport *transport, struct str address);
struct call_link *call_link_new_reply(
    struct transport *transport, const struct frame_origin *origin);
struct call_link *call_link_new_local(struct frame_sink sink);
/* Takes ownership of body. */
void call_link_send(
    struct call_link *link, const struct call_frame *frame, GBytes *body);
void call_link_free(struct call_link *link);

#endif
