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
	HELD_WAIT_MS = 5,
	IDLE_WAIT_MS = 1000,
	US_PER_MS = 1000,
	SWEEP_INTERVAL_US = 1000 * 1000,
};

/*
 * Watch the descriptor of a socket; the pointer comes back with each event.
 */
void
transport_watch(struct transport *transport, int fd, void *ptr)
{
	struct epoll_event event = { .events = EPOLLIN, .data.ptr = ptr };

	epoll_ctl(transport->epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

static void
count_sent(struct transport *transport, const struct outgoing *out)
{
	counter_add(&transport->counters, TRANSPORT_FRAMES_SENT, 1);
	counter_add(&transport->counters,
	    out->class == FRAME_MESH ? TRANSPORT_BYTES_SENT_MESH
				     : TRANSPORT_BYTES_SENT_CALL,
	    outgoing_size(out));
}

/*
 * Give a frame up, tell its class and free it.
 */
static void
drop_outgoing(struct transport *transport, struct outgoing *out,
    enum transport_counter reason)
{
	struct drop_handler *handler = &transport->drop_handlers[out->class];
	gsize len;
	const void *head = g_bytes_get_data(out->head, &len);

	counter_add(&transport->counters, reason, 1);
	if (handler->handle_drop != NULL && out->address != NULL)
		handler->handle_drop(
		    handler->arg, str_from(out->address), str_make(head, len));
	outgoing_free(out);
}

static void
count_fault(struct transport *transport, enum frame_fault fault)
{
	static const enum transport_counter reasons[] = {
		[FRAME_MALFORMED] = TRANSPORT_REJECTED_MALFORMED,
		[FRAME_NEWER_VERSION] = TRANSPORT_REJECTED_VERSION,
		[FRAME_TOO_LARGE] = TRANSPORT_REJECTED_TOO_LARGE,
	};

	counter_add(&transport->counters, reasons[fault], 1);
}

/*
 * Pass one received frame to the handler of its class.
 */
static void
dispatch_frame(struct transport *transport, const struct frame_origin *origin,
    struct str first, struct str body)
{
	enum frame_class class;
	enum frame_fault fault;
	struct frame_handler *handler;
	struct str head;

	fault = frame_parse(first, body, &class, &head);
	if (fault != FRAME_GOOD) {
		count_fault(transport, fault);
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
 * Send or give up what a peer holds.
 */
static void
flush_peer(struct transport *transport, struct peer *peer)
{
	bool held = !g_queue_is_empty(&peer->held);
	int64_t now = g_get_monotonic_time();
	struct outgoing *out;
	enum peer_flush_result result;

	while ((result = peer_flush(peer, now, &out)) != PEER_FLUSH_NONE) {
		if (result == PEER_FLUSH_SENT) {
			count_sent(transport, out);
			outgoing_free(out);
		} else {
			drop_outgoing(
			    transport, out, TRANSPORT_DROPPED_UNREACHABLE);
		}
	}
	if (held && g_queue_is_empty(&peer->held))
		transport->peers_holding--;
}

/*
 * Receive all that waits on a socket. ZeroMQ's descriptor tells of changes
 * only, so each operation on a socket is followed by this.
 */
static void
receive_all(struct transport *transport, void *socket, bool has_origin)
{
	struct received received;
	enum receive_result result;

	while ((result = received_take(&received, socket, has_origin)) !=
	    RECEIVE_NONE) {
		if (result == RECEIVE_FRAME)
			dispatch_frame(transport, &received.origin,
			    received_first(&received),
			    received_body(&received));
		else
			count_fault(transport, FRAME_MALFORMED);
		received_release(&received);
	}
}

static struct peer *
find_or_open_peer(struct transport *transport, const char *address)
{
	struct peer *peer = g_hash_table_lookup(transport->peers, address);

	if (peer != NULL)
		return peer;
	peer = peer_new(
	    transport->zmq, address, transport->settings.high_water_frames);
	if (peer == NULL)
		return NULL;
	g_hash_table_insert(transport->peers, peer->address, peer);
	transport_watch(transport, socket_fd(peer->socket), peer);
	counter_add(&transport->counters, TRANSPORT_PEERS_OPENED, 1);
	return peer;
}

static void
send_to_peer(struct transport *transport, struct outgoing *out)
{
	struct peer *peer = find_or_open_peer(transport, out->address);
	bool held;

	if (peer == NULL) {
		drop_outgoing(transport, out, TRANSPORT_DROPPED_UNREACHABLE);
		return;
	}
	peer->used_at_us = out->queued_at_us;
	held = !g_queue_is_empty(&peer->held);
	switch (peer_send(peer, out, transport->settings.high_water_frames)) {
	case PEER_SENT:
		count_sent(transport, out);
		outgoing_free(out);
		break;
	case PEER_HELD:
		break;
	case PEER_REFUSED:
		drop_outgoing(transport, out,
		    peer->unreachable ? TRANSPORT_DROPPED_UNREACHABLE
				      : TRANSPORT_DROPPED_FULL);
		break;
	}
	if (!held && !g_queue_is_empty(&peer->held))
		transport->peers_holding++;
	receive_all(transport, peer->socket, false);
}

static void
send_answer(struct transport *transport, struct outgoing *out)
{
	enum send_result result = outgoing_send(out, transport->router);

	if (result == SEND_DONE) {
		count_sent(transport, out);
		outgoing_free(out);
		return;
	}
	drop_outgoing(transport, out,
	    result == SEND_FULL ? TRANSPORT_DROPPED_FULL
				: TRANSPORT_DROPPED_PATH_GONE);
}

/*
 * Send all that other threads have queued.
 */
static void
send_queued(struct transport *transport)
{
	struct cds_wfcq_node *node;

	while ((node = __cds_wfcq_dequeue_blocking(
		    &transport->queue_head, &transport->queue_tail)) != NULL) {
		struct outgoing *out =
		    caa_container_of(node, struct outgoing, node);

		g_assert(atomic_load_explicit(
		    &out->published, memory_order_acquire));
		if (out->address != NULL)
			send_to_peer(transport, out);
		else
			send_answer(transport, out);
	}
	receive_all(transport, transport->router, true);
}

/*
 * Close connections that were not used for a while.
 */
static void
close_idle_peers(struct transport *transport)
{
	int64_t now = g_get_monotonic_time();
	int64_t idle_us = (int64_t)transport->settings.peer_idle_ms * US_PER_MS;
	GHashTableIter iter;
	void *value;

	if (now - transport->swept_at_us < SWEEP_INTERVAL_US)
		return;
	transport->swept_at_us = now;
	g_hash_table_iter_init(&iter, transport->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		if (now - peer->used_at_us < idle_us ||
		    !g_queue_is_empty(&peer->held))
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

	if (transport->peers_holding == 0)
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
			g_debug("wake-up without a count");
	} else if (source == transport->router) {
		receive_all(transport, transport->router, true);
	} else {
		struct peer *peer = source;

		receive_all(transport, peer->socket, false);
		flush_peer(transport, peer);
	}
}

/*
 * The thread's main function: carry frames until the transport is stopped.
 */
void *
transport_run(void *arg)
{
	struct transport *transport = arg;
	struct epoll_event events[EPOLL_BATCH];

	while (!atomic_load(&transport->stopping)) {
		int wait_ms =
		    transport->peers_holding > 0 ? HELD_WAIT_MS : IDLE_WAIT_MS;
		int count = epoll_wait(
		    transport->epoll_fd, events, EPOLL_BATCH, wait_ms);

		for (int i = 0; i < count; i++)
			handle_event(transport, events[i].data.ptr);
		send_queued(transport);
		flush_all_peers(transport);
		close_idle_peers(transport);
	}
	send_queued(transport);
	return NULL;
}
