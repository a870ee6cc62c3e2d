#include <errno.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <zmq.h>

#include "wire/frame.h"
#include "wire/peer.h"
#include "wire/received.h"
#include "wire/transport_loop.h"

enum {
	EPOLL_BATCH = 64,
	PENDING_POLL_MS = 5,
	EPOLL_IDLE_WAIT_MS = 1000,
	US_PER_MS = 1000,
	SWEEP_INTERVAL_US = 1000 * 1000,
	/* Longer turns are counted as this much running time. */
	TURN_MAX_US = 4 * PENDING_POLL_MS * US_PER_MS,
};

/*
 * Add a descriptor to the epoll set; events carry ptr.
 */
void
transport_watch(struct transport *transport, int fd, void *ptr)
{
	struct epoll_event event = { .events = EPOLLIN, .data.ptr = ptr };

	epoll_ctl(transport->epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

static void
count_sent(struct transport *transport, const struct outgoing_frame *out)
{
	counter_add(&transport->counters, TRANSPORT_FRAMES_SENT, 1);
	counter_add(&transport->counters,
	    out->class == FRAME_MESH ? TRANSPORT_BYTES_SENT_MESH
				     : TRANSPORT_BYTES_SENT_CALL,
	    outgoing_frame_size(out));
}

/*
 * Drop a frame: count it, call the drop handler of its class and free it.
 */
static void
drop_outgoing(struct transport *transport, struct outgoing_frame *out,
    enum transport_counter reason)
{
	struct drop_handler *handler = &transport->drop_handlers[out->class];
	gsize len;
	const void *head = g_bytes_get_data(out->head, &len);

	counter_add(&transport->counters, reason, 1);
	if (handler->handle_drop != NULL && out->address != NULL)
		handler->handle_drop(
		    handler->arg, str_from(out->address), str_make(head, len));
	outgoing_frame_free(out);
}

static void
count_rejected(struct transport *transport, enum frame_parse_result result)
{
	static const enum transport_counter reasons[] = {
		[FRAME_MALFORMED] = TRANSPORT_REJECTED_MALFORMED,
		[FRAME_UNSUPPORTED_VERSION] = TRANSPORT_REJECTED_VERSION,
		[FRAME_TOO_LARGE] = TRANSPORT_REJECTED_TOO_LARGE,
	};

	counter_add(&transport->counters, reasons[result], 1);
}

/*
 * Pass one received frame to the handler of its class.
 */
static void
dispatch_frame(struct transport *transport, const struct frame_origin *origin,
    struct str first, struct str body)
{
	enum frame_class class;
	enum frame_parse_result result;
	struct frame_handler *handler;
	struct str head;

	result = frame_parse(first, body, &class, &head);
	if (result != FRAME_VALID) {
		count_rejected(transport, result);
		return;
	}
	counter_add(&transport->counters, TRANSPORT_FRAMES_RECEIVED, 1);
	counter_add(&transport->counters, TRANSPORT_BYTES_RECEIVED,
	    first.len + body.len);
	handler = &transport->handlers[class];
	if (handler->handle_frame != NULL)
		handler->handle_frame(handler->arg, origin, head, body);
}

/*
 * Receive all messages waiting on a socket. ZeroMQ's descriptor is edge
 * triggered, so this must follow each operation on a socket.
 */
static void
receive_all(struct transport *transport, void *socket, bool has_origin)
{
	struct received_message received;
	enum receive_result result;

	while ((result = received_message_read(
		    &received, socket, has_origin)) != RECEIVE_NONE) {
		if (result == RECEIVE_FRAME)
			dispatch_frame(transport, &received.origin,
			    received_message_first_part(&received),
			    received_message_body(&received));
		else
			count_rejected(transport, FRAME_MALFORMED);
		received_message_release(&received);
	}
}

/*
 * Send the pending frames of a peer, or drop those that have timed out.
 */
static void
flush_peer(struct transport *transport, struct transport_peer *peer)
{
	bool had_pending = !g_queue_is_empty(&peer->pending);
	struct outgoing_frame *out;
	enum peer_flush_result result;

	while ((result = transport_peer_flush(
		    peer, transport->running_us, &out)) != PEER_FLUSH_NONE) {
		if (result == PEER_FLUSH_SENT) {
			count_sent(transport, out);
			outgoing_frame_free(out);
		} else {
			drop_outgoing(
			    transport, out, TRANSPORT_DROPPED_UNREACHABLE);
		}
	}
	if (!had_pending)
		return;
	if (g_queue_is_empty(&peer->pending))
		transport->peers_with_pending--;
	receive_all(transport, peer->socket, false);
}

static struct transport_peer *
find_or_open_peer(struct transport *transport, const char *address)
{
	struct transport_peer *peer =
	    g_hash_table_lookup(transport->peers, address);

	if (peer != NULL)
		return peer;
	peer = transport_peer_new(
	    transport->zmq, address, transport->settings.high_water_frames);
	if (peer == NULL)
		return NULL;
	g_hash_table_insert(transport->peers, peer->address, peer);
	transport_watch(transport, socket_fd(peer->socket), peer);
	counter_add(&transport->counters, TRANSPORT_PEERS_OPENED, 1);
	return peer;
}

static void
send_to_peer(struct transport *transport, struct outgoing_frame *out)
{
	struct transport_peer *peer =
	    find_or_open_peer(transport, out->address);
	bool had_pending;

	if (peer == NULL) {
		drop_outgoing(transport, out, TRANSPORT_DROPPED_UNREACHABLE);
		return;
	}
	peer->last_used_us = out->queued_at_us;
	out->pending_since_us = transport->running_us;
	had_pending = !g_queue_is_empty(&peer->pending);
	switch (transport_peer_send(
	    peer, out, transport->settings.high_water_frames)) {
	case PEER_SENT:
		count_sent(transport, out);
		outgoing_frame_free(out);
		break;
	case PEER_QUEUED:
		break;
	case PEER_DROPPED:
		drop_outgoing(transport, out,
		    peer->unreachable ? TRANSPORT_DROPPED_UNREACHABLE
				      : TRANSPORT_DROPPED_FULL);
		break;
	}
	if (!had_pending && !g_queue_is_empty(&peer->pending))
		transport->peers_with_pending++;
	receive_all(transport, peer->socket, false);
}

static void
send_reply(struct transport *transport, struct outgoing_frame *out)
{
	enum send_result result = outgoing_frame_send(out, transport->router);

	if (result == SEND_OK) {
		count_sent(transport, out);
		outgoing_frame_free(out);
		return;
	}
	drop_outgoing(transport, out,
	    result == SEND_WOULD_BLOCK ? TRANSPORT_DROPPED_FULL
				       : TRANSPORT_DROPPED_NO_ROUTE);
}

/*
 * Send all frames that other threads have queued.
 */
static void
send_queued(struct transport *transport)
{
	struct cds_wfcq_node *node;

	while ((node = __cds_wfcq_dequeue_blocking(
		    &transport->queue_head, &transport->queue_tail)) != NULL) {
		struct outgoing_frame *out =
		    caa_container_of(node, struct outgoing_frame, node);

		g_assert(atomic_load_explicit(
		    &out->published, memory_order_acquire));
		if (out->address != NULL)
			send_to_peer(transport, out);
		else
			send_reply(transport, out);
	}
	receive_all(transport, transport->router, true);
}

/*
 * Close connections that were idle for peer_idle_ms.
 */
static void
close_idle_peers(struct transport *transport)
{
	int64_t now = g_get_monotonic_time();
	int64_t idle_us = (int64_t)transport->settings.peer_idle_ms * US_PER_MS;
	GHashTableIter iter;
	void *value;

	if (now - transport->last_sweep_us < SWEEP_INTERVAL_US)
		return;
	transport->last_sweep_us = now;
	g_hash_table_iter_init(&iter, transport->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct transport_peer *peer = value;

		if (now - peer->last_used_us < idle_us ||
		    !g_queue_is_empty(&peer->pending))
			continue;
		epoll_ctl(transport->epoll_fd, EPOLL_CTL_DEL,
		    socket_fd(peer->socket), NULL);
		g_hash_table_iter_remove(&iter);
		counter_add(&transport->counters, TRANSPORT_PEERS_CLOSED, 1);
	}
}

static void
flush_all_peers(struct transport *transport)
{
	GHashTableIter iter;
	void *value;

	if (transport->peers_with_pending == 0)
		return;
	g_hash_table_iter_init(&iter, transport->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		flush_peer(transport, value);
}

static void
handle_event(struct transport *transport, void *source)
{
	uint64_t wakes;

	if (source == transport) {
		if (read(transport->wake_fd, &wakes, sizeof(wakes)) < 0)
			g_debug("wake-up event without a counter value");
	} else if (source == transport->router) {
		receive_all(transport, transport->router, true);
	} else {
		struct transport_peer *peer = source;

		receive_all(transport, peer->socket, false);
		flush_peer(transport, peer);
	}
}

/*
 * Advance the running time. A process that was stopped, or got no processor
 * time, could not connect meanwhile either; counting that time would drop the
 * frames that wait for a connection although the peer is reachable.
 */
static void
advance_running_time(struct transport *transport)
{
	int64_t now = g_get_monotonic_time();

	transport->running_us += MIN(now - transport->turn_us, TURN_MAX_US);
	transport->turn_us = now;
}

/*
 * Thread main function: send and receive frames until the transport is stopped.
 */
void *
transport_run(void *arg)
{
	struct transport *transport = arg;
	struct epoll_event events[EPOLL_BATCH];

	while (!atomic_load(&transport->stopping)) {
		int wait_ms = transport->peers_with_pending > 0
		    ? PENDING_POLL_MS
		    : EPOLL_IDLE_WAIT_MS;
		int count = epoll_wait(
		    transport->epoll_fd, events, EPOLL_BATCH, wait_ms);

		advance_running_time(transport);
		for (int i = 0; i < count; i++)
			handle_event(transport, events[i].data.ptr);
		send_queued(transport);
		flush_all_peers(transport);
		close_idle_peers(transport);
	}
	send_queued(transport);
	return NULL;
}
