#include <string.h>

#include "wire/received.h"

/*
 * Receive the routing id that a ROUTER socket prepends. False when no message
 * is waiting; an oversized id leaves origin empty.
 */
static bool
receive_origin(struct frame_origin *origin, void *socket)
{
	bool is_received;
	zmq_msg_t part;

	zmq_msg_init(&part);
	is_received = zmq_msg_recv(&part, socket, ZMQ_DONTWAIT) >= 0;
	if (is_received && zmq_msg_size(&part) <= ORIGIN_ID_MAX) {
		origin->len = (uint8_t)zmq_msg_size(&part);
		memcpy(origin->id, zmq_msg_data(&part), origin->len);
	}
	zmq_msg_close(&part);
	return is_received;
}

/*
 * Receive the remaining parts of a message; parts beyond RECEIVED_PARTS_MAX are
 * read and discarded. Returns the number of parts received.
 */
static int
receive_parts(struct received_message *received, void *socket)
{
	int count = 0;
	bool more = true;

	while (more) {
		zmq_msg_t extra;
		zmq_msg_t *part = &extra;

		zmq_msg_init(&extra);
		if (count < RECEIVED_PARTS_MAX)
			part = &received->parts[count];
		more = false;
		if (zmq_msg_recv(part, socket, ZMQ_DONTWAIT) >= 0) {
			count++;
			more = zmq_msg_more(part) != 0;
		}
		zmq_msg_close(&extra);
	}
	return count;
}

/*
 * Receive one message from a socket without blocking. has_origin is true for a
 * ROUTER socket.
 */
enum receive_result
received_message_read(
    struct received_message *received, void *socket, bool has_origin)
{
	int count;

	received->origin.len = 0;
	if (has_origin && !receive_origin(&received->origin, socket))
		return RECEIVE_NONE;
	for (int i = 0; i < RECEIVED_PARTS_MAX; i++)
		zmq_msg_init(&received->parts[i]);
	count = receive_parts(received, socket);
	if (count == 0 && !has_origin)
		return RECEIVE_NONE;
	if (count == 0 || count > RECEIVED_PARTS_MAX)
		return RECEIVE_MALFORMED;
	return RECEIVE_FRAME;
}

/*
 * Free the parts of a message.
 */
void
received_message_release(struct received_message *received)
{
	for (int i = 0; i < RECEIVED_PARTS_MAX; i++)
		zmq_msg_close(&received->parts[i]);
}

static struct str
part_bytes(zmq_msg_t *part)
{
	return str_make(zmq_msg_data(part), zmq_msg_size(part));
}

/*
 * Return preamble and head; valid until received_message_release.
 */
struct str
received_message_first_part(struct received_message *received)
{
	return part_bytes(&received->parts[0]);
}

/*
 * Return the raw body, empty if there is none; valid until
 * received_message_release.
 */
struct str
received_message_body(struct received_message *received)
{
	return part_bytes(&received->parts[1]);
}
