#include "trefoilhilld/call_link.h"

struct peer_link {
	struct call_link base;
	struct transport *transport;
	struct str address;
};

struct reply_link {
	struct call_link base;
	struct transport *transport;
	struct frame_origin origin;
};

struct local_link {
	struct call_link base;
	struct frame_sink sink;
};

static void
peer_link_send(struct call_link *link, GBytes *head, GBytes *body)
{
	struct peer_link *peer = (struct peer_link *)link;

	transport_send(peer->transport, peer->address, FRAME_CALL, head, body);
}

static void
peer_link_free(struct call_link *link)
{
	str_release(&((struct peer_link *)link)->address);
	g_free(link);
}

static void
reply_link_send(struct call_link *link, GBytes *head, GBytes *body)
{
	struct reply_link *reply = (struct reply_link *)link;

	transport_reply(
	    reply->transport, &reply->origin, FRAME_CALL, head, body);
}

static void
plain_link_free(struct call_link *link)
{
	g_free(link);
}

static void
local_link_send(struct call_link *link, GBytes *head, GBytes *body)
{
	struct local_link *local = (struct local_link *)link;
	gsize len;
	const void *bytes = g_bytes_get_data(head, &len);

	local->sink.handle_frame(local->sink.arg, str_make(bytes, len), body);
	g_bytes_unref(head);
}

static const struct call_link_ops peer_link_ops = {
	.send = peer_link_send,
	.free = peer_link_free,
};

static const struct call_link_ops reply_link_ops = {
	.send = reply_link_send,
	.free = plain_link_free,
};

static const struct call_link_ops local_link_ops = {
	.send = local_link_send,
	.free = plain_link_free,
};

/*
 * Return a link to the node at an address, for calls of an entry.
 */
struct call_link *
call_link_new_peer(struct transport *transport, struct str address)
{
	struct peer_link *link = g_new0(struct peer_link, 1);

	link->base.ops = &peer_link_ops;
	link->transport = transport;
	link->address = str_dup(address);
	return &link->base;
}

/*
 * Return a link that replies over the connection on which a call arrived.
 */
struct call_link *
call_link_new_reply(
    struct transport *transport, const struct frame_origin *origin)
{
	struct reply_link *link = g_new0(struct reply_link, 1);

	link->base.ops = &reply_link_ops;
	link->transport = transport;
	link->origin = *origin;
	return &link->base;
}

/*
 * Return a link within the process. Frames are encoded as on the network, so
 * that both ends apply the same checks, but they pass no socket.
 */
struct call_link *
call_link_new_local(struct frame_sink sink)
{
	struct local_link *link = g_new0(struct local_link, 1);

	link->base.ops = &local_link_ops;
	link->sink = sink;
	return &link->base;
}

/*
 * Send one frame. Takes ownership of body.
 */
void
call_link_send(
    struct call_link *link, const struct call_frame *frame, GBytes *body)
{
	link->ops->send(link, call_frame_encode(frame), body);
}

/*
 * Free a link. NULL is allowed.
 */
void
call_link_free(struct call_link *link)
{
	if (link != NULL)
		link->ops->free(link);
}
