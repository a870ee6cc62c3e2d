#include <string.h>

#include "wire/received.h"

/*
 * Receive the return path that a ROUTER puts in front. False when nothing is
 * waiting; an oversized one leaves an empty path.
 */
static bool
receive_origin(struct frame_origin *origin, void *socket)
{
	bool came;
	zmq_msg_t part;

	zmq_msg_init(&part);
	came = zmq_msg_recv(&part, socket, ZMQ_DONTWAIT) >= 0;
	if (came && zmq_msg_size(&part) <= ORIGIN_ID_MAX) {
		origin->len = (uint8_t)zmq_msg_size(&part);
		memcpy(origin->id, zmq_msg_data(&part), origin->len);
	}
	zmq_msg_close(&part);
	return came;
}

/*
 * Receive the rest of a message; what goes over RECEIVED_PARTS_MAX parts is
 * read and dropped. Returns the number of parts that came.
 */
static int
receive_parts(struct received *received, void *socket)
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
 * Take one message off a socket without waiting. With has_origin the socket
 * is a ROUTER.
 */
enum receive_result
received_take(struct received *received, void *socket, bool has_origin)
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
received_release(struct received *received)
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
 * Preamble and head; lives until received_release.
 */
struct str
received_first(struct received *received)
{
	return part_bytes(&received->parts[0]);
}

/*
 * The raw body, empty if none came; lives until received_release.
 */
struct str
received_body(struct received *received)
{
	return part_bytes(&received->parts[1]);
}
