#include <errno.h>
#include <zmq.h>

#include "wire/frame.h"
#include "wire/peer.h"

enum {
	/* What was sent and not acknowledged for so long ends a connection. */
	UNACKNOWLEDGED_MAX_MS = 2000,
	HEARTBEAT_INTERVAL_MS = 10000,
	HEARTBEAT_TIMEOUT_MS = 20000,
	ENDPOINT_MAX = 64,
	RECONNECT_MIN_MS = 50,
	RECONNECT_MAX_MS = 1000,
	CONNECT_TIMEOUT_MS = 1000,
	/* A frame waits for as long as one attempt to connect may take. */
	HOLD_US = CONNECT_TIMEOUT_MS * 1000,
	HANDSHAKE_TIMEOUT_MS = 1000,
};

static void
set_int(void *socket, int option, int value)
{
	if (zmq_setsockopt(socket, option, &value, sizeof(value)) != 0)
		g_error("socket option %d: %s", option, zmq_strerror(errno));
}

/*
 * Set the options that all sockets share: no lingering, bounded queues,
 * nothing queued for a peer that isn't connected, dead peers noticed.
 */
void
socket_configure(void *socket, uint32_t high_water)
{
	int64_t message_max = FRAME_PREAMBLE_LEN + FRAME_HEAD_MAX;

	set_int(socket, ZMQ_LINGER, 0);
	set_int(socket, ZMQ_SNDHWM, (int)high_water);
	set_int(socket, ZMQ_RCVHWM, (int)high_water);
	set_int(socket, ZMQ_IMMEDIATE, 1);
	set_int(socket, ZMQ_TCP_MAXRT, UNACKNOWLEDGED_MAX_MS);
	set_int(socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS);
	set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
	set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
	set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	set_int(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	set_int(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
	zmq_setsockopt(
	    socket, ZMQ_MAXMSGSIZE, &message_max, sizeof(message_max));
}

/*
 * Return the descriptor that becomes readable when the socket has events.
 */
int
socket_fd(void *socket)
{
	int fd = -1;
	size_t len = sizeof(fd);

	zmq_getsockopt(socket, ZMQ_FD, &fd, &len);
	return fd;
}

/*
 * Return a socket that tells when an attempt to connect has failed; NULL when
 * none is left.
 */
static void *
monitor_open(void *zmq, void *socket)
{
	char endpoint[ENDPOINT_MAX];
	void *monitor = NULL;

	g_snprintf(endpoint, sizeof(endpoint), "inproc://monitor-%p", socket);
	if (zmq_socket_monitor(socket, endpoint, ZMQ_EVENT_CLOSED) != 0)
		return NULL;
	monitor = zmq_socket(zmq, ZMQ_PAIR);
	if (monitor == NULL)
		return NULL;
	set_int(monitor, ZMQ_LINGER, 0);
	if (zmq_connect(monitor, endpoint) == 0)
		return monitor;
	zmq_close(monitor);
	return NULL;
}

/*
 * Take all that the monitor tells; true when an attempt to connect has failed
 * since the last call.
 */
static bool
monitor_take(void *monitor)
{
	char bytes[ENDPOINT_MAX];
	bool failed = false;

	while (zmq_recv(monitor, bytes, sizeof(bytes), ZMQ_DONTWAIT) >= 0)
		failed = true;
	return failed;
}

/*
 * Begin to connect to a peer. NULL when the address is no IP:PORT or no
 * socket is left.
 */
struct peer *
peer_new(void *zmq, const char *address, uint32_t high_water)
{
	struct peer *peer = g_new0(struct peer, 1);
	char *endpoint = g_strdup_printf("tcp://%s", address);

	peer->address = g_strdup(address);
	g_queue_init(&peer->held);
	peer->socket = zmq_socket(zmq, ZMQ_DEALER);
	if (peer->socket == NULL)
		goto fail;
	socket_configure(peer->socket, high_water);
	peer->monitor = monitor_open(zmq, peer->socket);
	if (peer->monitor == NULL || zmq_connect(peer->socket, endpoint) != 0)
		goto fail;
	g_free(endpoint);
	return peer;
fail:
	g_free(endpoint);
	peer_free(peer);
	return NULL;
}

/*
 * Close the connection and drop what it still holds.
 */
void
peer_free(struct peer *peer)
{
	struct outgoing *out;

	while ((out = g_queue_pop_head(&peer->held)) != NULL)
		outgoing_free(out);
	if (peer->socket != NULL)
		zmq_close(peer->socket);
	if (peer->monitor != NULL)
		zmq_close(peer->monitor);
	g_free(peer->address);
	g_free(peer);
}

/*
 * Send a frame, or hold it while a connection is made.
 * Frames leave in the order in which they came. A peer that was found
 * unreachable gets no second hold until a frame goes through.
 */
enum peer_sending
peer_send(struct peer *peer, struct outgoing *out, uint32_t held_max)
{
	enum send_result result = SEND_FULL;

	if (g_queue_is_empty(&peer->held)) {
		monitor_take(peer->monitor);
		result = outgoing_send(out, peer->socket);
	}
	if (result == SEND_DONE) {
		peer->unreachable = false;
		return PEER_SENT;
	}
	if (result == SEND_GONE || peer->unreachable ||
	    g_queue_get_length(&peer->held) >= held_max)
		return PEER_REFUSED;
	g_queue_push_tail(&peer->held, out);
	return PEER_HELD;
}

/*
 * Take the first held frame off when it could be sent or its time is up; it
 * is then the caller's. Call until nothing is left.
 */
enum peer_flush_result
peer_flush(struct peer *peer, int64_t now_us, struct outgoing **out)
{
	struct outgoing *first = g_queue_peek_head(&peer->held);
	enum send_result result;

	if (first == NULL)
		return PEER_FLUSH_NONE;
	result = outgoing_send(first, peer->socket);
	if (result == SEND_FULL && !peer->unreachable)
		peer->unreachable = monitor_take(peer->monitor);
	if (result == SEND_FULL && !peer->unreachable &&
	    now_us - first->queued_at_us < HOLD_US)
		return PEER_FLUSH_NONE;
	*out = g_queue_pop_head(&peer->held);
	peer->unreachable = result != SEND_DONE;
	return result == SEND_DONE ? PEER_FLUSH_SENT : PEER_FLUSH_EXPIRED;
}
