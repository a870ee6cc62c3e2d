#include <errno.h>
#include <string.h>
#include <zmq.h>

#include "wire/frame.h"
#include "wire/outgoing.h"

/*
 * Create a queue entry; takes ownership of head and body. An empty address
 * makes a reply, whose origin the caller fills in.
 */
struct outgoing_frame *
outgoing_frame_new(
    struct str address, enum frame_class class, GBytes *head, GBytes *body)
{
	struct outgoing_frame *out = g_new0(struct outgoing_frame, 1);

	cds_wfcq_node_init(&out->node);
	out->address = address.len == 0 ? NULL : str_dup_cstr(address);
	out->class = class;
	out->head = head;
	out->body = body;
	out->queued_at_us = g_get_monotonic_time();
	return out;
}

/*
 * Free a queue entry and its bytes.
 */
void
outgoing_frame_free(struct outgoing_frame *out)
{
	g_bytes_unref(out->head);
	if (out->body != NULL)
		g_bytes_unref(out->body);
	g_free(out->address);
	g_free(out);
}

/*
 * Return the size of the frame on the wire in bytes, without ZeroMQ's framing.
 */
size_t
outgoing_frame_size(const struct outgoing_frame *out)
{
	size_t body = out->body == NULL ? 0 : g_bytes_get_size(out->body);

	return FRAME_PREAMBLE_LEN + g_bytes_get_size(out->head) + body;
}

static void
handle_body_sent(void *data, void *bytes)
{
	g_bytes_unref(bytes);
}

/*
 * Send the parts after the first. ZeroMQ has accepted the first part of the
 * message, so it accepts the others as well.
 */
static enum send_result
send_rest(const struct outgoing_frame *out, void *socket)
{
	zmq_msg_t msg;
	gsize len;
	const void *data;

	if (out->body == NULL)
		return SEND_OK;
	data = g_bytes_get_data(out->body, &len);
	zmq_msg_init_data(
	    &msg, (void *)data, len, handle_body_sent, g_bytes_ref(out->body));
	if (zmq_msg_send(&msg, socket, ZMQ_DONTWAIT) >= 0)
		return SEND_OK;
	zmq_msg_close(&msg);
	return SEND_NO_ROUTE;
}

/*
 * Send a frame on a socket without blocking. The caller keeps ownership of out.
 */
enum send_result
outgoing_frame_send(const struct outgoing_frame *out, void *socket)
{
	int more = out->body == NULL ? 0 : ZMQ_SNDMORE;
	zmq_msg_t msg;
	gsize len;
	const void *head = g_bytes_get_data(out->head, &len);
	unsigned char *to;

	if (out->address == NULL &&
	    zmq_send(socket, out->origin.id, out->origin.len,
		ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0)
		return errno == EAGAIN ? SEND_WOULD_BLOCK : SEND_NO_ROUTE;
	zmq_msg_init_size(&msg, FRAME_PREAMBLE_LEN + len);
	to = zmq_msg_data(&msg);
	frame_preamble_write(out->class, to);
	if (len > 0)
		memcpy(to + FRAME_PREAMBLE_LEN, head, len);
	if (zmq_msg_send(&msg, socket, ZMQ_DONTWAIT | more) < 0) {
		zmq_msg_close(&msg);
		return errno == EAGAIN ? SEND_WOULD_BLOCK : SEND_NO_ROUTE;
	}
	return send_rest(out, socket);
}
