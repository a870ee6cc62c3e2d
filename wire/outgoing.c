#include <errno.h>
#include <string.h>
#include <zmq.h>

#include "wire/frame.h"
#include "wire/outgoing.h"

/*
 * Make a queue entry; takes head and body over. An empty address makes an
 * answer, whose origin the caller fills in.
 */
struct outgoing *
outgoing_new(
    struct str address, enum frame_class class, GBytes *head, GBytes *body)
{
	struct outgoing *out = g_new0(struct outgoing, 1);

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
outgoing_free(struct outgoing *out)
{
	g_bytes_unref(out->head);
	if (out->body != NULL)
		g_bytes_unref(out->body);
	g_free(out->address);
	g_free(out);
}

/*
 * Bytes that the frame takes on the wire, without ZeroMQ's framing.
 */
size_t
outgoing_size(const struct outgoing *out)
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
 * Send the parts after the first. The first part of a message was taken, so
 * ZeroMQ takes the others as well.
 */
static enum send_result
send_rest(const struct outgoing *out, void *socket)
{
	zmq_msg_t msg;
	gsize len;
	const void *data;

	if (out->body == NULL)
		return SEND_DONE;
	data = g_bytes_get_data(out->body, &len);
	zmq_msg_init_data(
	    &msg, (void *)data, len, handle_body_sent, g_bytes_ref(out->body));
	if (zmq_msg_send(&msg, socket, ZMQ_DONTWAIT) >= 0)
		return SEND_DONE;
	zmq_msg_close(&msg);
	return SEND_GONE;
}

/*
 * Hand a frame to a socket without waiting. The entry stays with the caller.
 */
enum send_result
outgoing_send(const struct outgoing *out, void *socket)
{
	int more = out->body == NULL ? 0 : ZMQ_SNDMORE;
	zmq_msg_t msg;
	gsize len;
	const void *head = g_bytes_get_data(out->head, &len);
	unsigned char *to;

	if (out->address == NULL &&
	    zmq_send(socket, out->origin.id, out->origin.len,
		ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0)
		return errno == EAGAIN ? SEND_FULL : SEND_GONE;
	zmq_msg_init_size(&msg, FRAME_PREAMBLE_LEN + len);
	to = zmq_msg_data(&msg);
	frame_preamble_write(out->class, to);
	if (len > 0)
		memcpy(to + FRAME_PREAMBLE_LEN, head, len);
	if (zmq_msg_send(&msg, socket, ZMQ_DONTWAIT | more) < 0) {
		zmq_msg_close(&msg);
		return errno == EAGAIN ? SEND_FULL : SEND_GONE;
	}
	return send_rest(out, socket);
}
