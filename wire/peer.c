#include <errno.h>
#include <zmq.h>

#include "wire/frame.h"
#include "wire/peer.h"

enum {
	/* A connection is closed when data stays unacknowledged this long. */
	UNACKNOWLEDGED_MAX_MS = 2000,
	HEARTBEAT_INTERVAL_MS = 10000,
	HEARTBEAT_TIMEOUT_MS = 20000,
	ENDPOINT_MAX = 64,
	RECONNECT_MIN_MS = 50,
	RECONNECT_MAX_MS = 1000,
	CONNECT_TIMEOUT_MS = 1000,
	/*
	 * A pending frame waits for the duration of one connection attempt, in
	 * the transport's running time.
	 */
	PENDING_TIMEOUT_US = CONNECT_TIMEOUT_MS * 1000,
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
 * no queueing for a peer that isn't connected, detection of dead peers.
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
 * Return a socket that reports failed connection attempts; NULL when no socket
 * is available.
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
 * Read all pending monitor events. True when a connection attempt has failed
 * since the last call.
 */
static bool
monitor_drain(void *monitor)
{
	char bytes[ENDPOINT_MAX];
	bool failed = false;

	while (zmq_recv(monitor, bytes, sizeof(bytes), ZMQ_DONTWAIT) >= 0)
		failed = true;
	return failed;
}

/*
 * Start connecting to a peer. NULL when the address is not IP:PORT or no socket
 * is available.
 */
struct transport_peer *
transport_peer_new(void *zmq, const char *address, uint32_t high_water)
{
	struct transport_peer *peer = g_new0(struct transport_peer, 1);
	char *endpoint = g_strdup_printf("tcp://%s", address);

	peer->address = g_strdup(address);
	g_queue_init(&peer->pending);
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
	transport_peer_free(peer);
	return NULL;
}

/*
 * Close the connection and drop its pending frames.
 */
void
transport_peer_free(struct transport_peer *peer)
{
	struct outgoing_frame *out;

	while ((out = g_queue_pop_head(&peer->pending)) != NULL)
		outgoing_frame_free(out);
	if (peer->socket != NULL)
		zmq_close(peer->socket);
	if (peer->monitor != NULL)
		zmq_close(peer->monitor);
	g_free(peer->address);
	g_free(peer);
}

/*
 * Send a frame, or queue it until the peer is connected. Frames are sent in the
 * order of the calls. For a peer that was found unreachable nothing is queued
 * until a frame has been sent.
 */
enum peer_send_result
transport_peer_send(struct transport_peer *peer, struct outgoing_frame *out,
    uint32_t pending_max)
{
	enum send_result result = SEND_WOULD_BLOCK;

	if (g_queue_is_empty(&peer->pending)) {
		monitor_drain(peer->monitor);
		result = outgoing_frame_send(out, peer->socket);
	}
	if (result == SEND_OK) {
		peer->unreachable = false;
		return PEER_SENT;
	}
	if (result == SEND_NO_ROUTE || peer->unreachable ||
	    g_queue_get_length(&peer->pending) >= pending_max)
		return PEER_DROPPED;
	g_queue_push_tail(&peer->pending, out);
	return PEER_QUEUED;
}

/*
 * Remove the first pending frame once it was sent, has timed out or can't be
 * delivered; the caller then owns it. Call until PEER_FLUSH_NONE.
 */
enum peer_flush_result
transport_peer_flush(struct transport_peer *peer, int64_t running_us,
    struct outgoing_frame **out)
{
	struct outgoing_frame *first = g_queue_peek_head(&peer->pending);
	enum send_result result;

	if (first == NULL)
		return PEER_FLUSH_NONE;
	result = outgoing_frame_send(first, peer->socket);
	if (result == SEND_WOULD_BLOCK && !peer->unreachable)
		peer->unreachable = monitor_drain(peer->monitor);
	if (result == SEND_WOULD_BLOCK && !peer->unreachable &&
	    running_us - first->pending_since_us < PENDING_TIMEOUT_US)
		return PEER_FLUSH_NONE;
	*out = g_queue_pop_head(&peer->pending);
	peer->unreachable = result != SEND_OK;
	return result == SEND_OK ? PEER_FLUSH_SENT : PEER_FLUSH_EXPIRED;
}
