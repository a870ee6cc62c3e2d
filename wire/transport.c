#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

#include "wire/peer.h"
#include "wire/transport_counters.h"
#include "wire/transport_loop.h"

enum {
	SOCKETS_MAX = 32768,
	STOP_LINGER_MS = 1000,
};

GQuark
transport_error_quark(void)
{
	return g_quark_from_static_string("transport-error");
}

/*
 * Create the ROUTER socket and bind it to the transport's address.
 */
static int
open_router(struct transport *transport, GError **error)
{
	int mandatory = 1;
	char *endpoint = g_strdup_printf("tcp://%s", transport->address);
	int status = -1;

	transport->router = zmq_socket(transport->zmq, ZMQ_ROUTER);
	if (transport->router == NULL) {
		g_set_error(error, TRANSPORT_ERROR, TRANSPORT_ERROR_SOCKET,
		    "cannot create ROUTER socket: %s", zmq_strerror(errno));
		goto out;
	}
	socket_configure(
	    transport->router, transport->settings.high_water_frames);
	zmq_setsockopt(transport->router, ZMQ_ROUTER_MANDATORY, &mandatory,
	    sizeof(mandatory));
	if (zmq_bind(transport->router, endpoint) != 0) {
		g_set_error(error, TRANSPORT_ERROR, TRANSPORT_ERROR_BIND,
		    "%s: %s", transport->address, zmq_strerror(errno));
		goto out;
	}
	transport_watch(
	    transport, socket_fd(transport->router), transport->router);
	transport_watch(transport, transport->wake_fd, transport);
	status = 0;
out:
	g_free(endpoint);
	return status;
}

static void
free_peer(void *peer)
{
	transport_peer_free(peer);
}

/*
 * Return a transport bound to the address in its settings. Frames that
 * arrive before transport_start wait in ZeroMQ's queues.
 */
struct transport *
transport_new(const struct transport_settings *settings, GError **error)
{
	struct transport *transport = g_new0(struct transport, 1);

	transport->settings = *settings;
	transport->address = str_dup_cstr(settings->address);
	transport->settings.address = str_from(transport->address);
	transport->zmq = zmq_ctx_new();
	zmq_ctx_set(transport->zmq, ZMQ_MAX_SOCKETS, SOCKETS_MAX);
	transport->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	transport->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	transport->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
	cds_wfcq_init(&transport->queue_head, &transport->queue_tail);
	atomic_init(&transport->stopping, false);
	counter_set_init(&transport->counters, transport_counter_descs,
	    TRANSPORT_COUNTER_COUNT);
	if (open_router(transport, error) == 0)
		return transport;
	transport_free(transport);
	return NULL;
}

/*
 * Set the handler for received frames of a class. Call before transport_start.
 */
void
transport_set_handler(struct transport *transport, enum frame_class class,
    struct frame_handler handler)
{
	transport->handlers[class] = handler;
}

/*
 * Set the handler for dropped frames of a class. Call before transport_start.
 */
void
transport_set_drop_handler(struct transport *transport, enum frame_class class,
    struct drop_handler handler)
{
	transport->drop_handlers[class] = handler;
}

/*
 * Start the thread that owns the sockets. Returns 0, or -1 with error set.
 */
int
transport_start(struct transport *transport, GError **error)
{
	int status =
	    pthread_create(&transport->thread, NULL, transport_run, transport);

	if (status != 0) {
		g_set_error(error, TRANSPORT_ERROR, TRANSPORT_ERROR_THREAD,
		    "cannot create transport thread: %s", g_strerror(status));
		return -1;
	}
	transport->started = true;
	return 0;
}

static void
wake_thread(struct transport *transport)
{
	uint64_t one = 1;

	if (write(transport->wake_fd, &one, sizeof(one)) < 0)
		g_debug("transport wake-up is pending already");
}

/*
 * Stop the thread. ZeroMQ gets STOP_LINGER_MS to send the frames that it has
 * queued, so that the last replies before a planned stop aren't lost.
 */
void
transport_stop(struct transport *transport)
{
	int linger = STOP_LINGER_MS;
	GHashTableIter iter;
	void *value;

	if (!transport->started)
		return;
	atomic_store(&transport->stopping, true);
	wake_thread(transport);
	pthread_join(transport->thread, NULL);
	transport->started = false;
	zmq_setsockopt(transport->router, ZMQ_LINGER, &linger, sizeof(linger));
	g_hash_table_iter_init(&iter, transport->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		zmq_setsockopt(((struct transport_peer *)value)->socket,
		    ZMQ_LINGER, &linger, sizeof(linger));
}

/*
 * Stop and free the transport and its queued frames. NULL is allowed.
 */
void
transport_free(struct transport *transport)
{
	struct cds_wfcq_node *node;

	if (transport == NULL)
		return;
	transport_stop(transport);
	while ((node = __cds_wfcq_dequeue_blocking(
		    &transport->queue_head, &transport->queue_tail)) != NULL)
		outgoing_frame_free(
		    caa_container_of(node, struct outgoing_frame, node));
	g_hash_table_destroy(transport->peers);
	if (transport->router != NULL)
		zmq_close(transport->router);
	zmq_ctx_term(transport->zmq);
	close(transport->epoll_fd);
	close(transport->wake_fd);
	g_free(transport->address);
	g_free(transport);
}

/*
 * Append a frame to the queue and wake the thread if the queue was empty.
 */
static void
enqueue(struct transport *transport, struct outgoing_frame *out)
{
	bool was_nonempty;

	atomic_store_explicit(&out->published, true, memory_order_release);
	was_nonempty = cds_wfcq_enqueue(
	    &transport->queue_head, &transport->queue_tail, &out->node);

	if (!was_nonempty)
		wake_thread(transport);
}

void
transport_send(struct transport *transport, struct str address,
    enum frame_class class, GBytes *head, GBytes *body)
{
	enqueue(transport, outgoing_frame_new(address, class, head, body));
}

void
transport_reply(struct transport *transport, const struct frame_origin *origin,
    enum frame_class class, GBytes *head, GBytes *body)
{
	struct outgoing_frame *out =
	    outgoing_frame_new(str_make(NULL, 0), class, head, body);

	out->origin = *origin;
	enqueue(transport, out);
}

const struct counter_set *
transport_counters(const struct transport *transport)
{
	return &transport->counters;
}
