#ifndef TREFOILHILL_WIRE_TRANSPORT_H
#define TREFOILHILL_WIRE_TRANSPORT_H

#include <glib.h>
#include <stdint.h>

#include "common/counter.h"
#include "common/str.h"

/*
 * Exchanges frames between nodes over ZeroMQ. One thread owns the sockets;
 * other threads send through a queue. A frame has a typed head (protobuf) and
 * an optional raw body.
 */
struct transport;

enum frame_class {
	FRAME_MESH,
	FRAME_CALL,
	FRAME_CLASS_COUNT,
};

enum {
	FRAME_PROTOCOL = 1,
	FRAME_HEAD_MAX = 2 * 1024 * 1024,
	FRAME_BODY_MAX = 128 * 1024,
	ORIGIN_ID_MAX = 32,
};

/* Routing id of a frame's sender, for replies; may be copied and kept. */
struct frame_origin {
	uint8_t len;
	uint8_t id[ORIGIN_ID_MAX];
};

struct frame_handler {
	/*
	 * Called on the transport thread; must not block. head and body are
	 * valid during the call only.
	 */
	void (*handle_frame)(void *arg, const struct frame_origin *origin,
	    struct str head, struct str body);
	void *arg;
};

/*
 * Called when a frame to a peer is dropped. No byte of it was sent, so the peer
 * can't have seen it.
 */
struct drop_handler {
	/*
	 * Called on the transport thread; must not block. address and head are
	 * valid during the call only.
	 */
	void (*handle_drop)(void *arg, struct str address, struct str head);
	void *arg;
};

struct transport_settings {
	struct str address; /* IP:PORT to bind */
	uint32_t high_water_frames;
	uint32_t peer_idle_ms; /* close connections after this idle time */
};

#define TRANSPORT_ERROR (transport_error_quark())

enum transport_error {
	TRANSPORT_ERROR_SOCKET,
	TRANSPORT_ERROR_BIND,
	TRANSPORT_ERROR_THREAD,
};

enum transport_counter {
	TRANSPORT_FRAMES_SENT,
	TRANSPORT_FRAMES_RECEIVED,
	TRANSPORT_BYTES_SENT_MESH,
	TRANSPORT_BYTES_SENT_CALL,
	TRANSPORT_BYTES_RECEIVED,
	TRANSPORT_DROPPED_UNREACHABLE,
	TRANSPORT_DROPPED_FULL,
	TRANSPORT_DROPPED_NO_ROUTE,
	TRANSPORT_REJECTED_MALFORMED,
	TRANSPORT_REJECTED_VERSION,
	TRANSPORT_REJECTED_TOO_LARGE,
	TRANSPORT_PEERS_OPENED,
	TRANSPORT_PEERS_CLOSED,
	TRANSPORT_COUNTER_COUNT,
};

GQuark transport_error_quark(void);
struct transport *transport_new(
    const struct transport_settings *settings, GError **error);
void transport_set_handler(struct transport *transport, enum frame_class class,
    struct frame_handler handler);
void transport_set_drop_handler(struct transport *transport,
    enum frame_class class, struct drop_handler handler);
int transport_start(struct transport *transport, GError **error);
void transport_stop(struct transport *transport);
void transport_free(struct transport *transport);
/*
 * Queue a frame to a peer's node address (IP:PORT); takes ownership of head and
 * body. body may be NULL.
 */
void transport_send(struct transport *transport, struct str address,
    enum frame_class class, GBytes *head, GBytes *body);
/* Queue a reply to the sender of a frame; takes ownership of head and body. */
void transport_reply(struct transport *transport,
    const struct frame_origin *origin, enum frame_class class, GBytes *head,
    GBytes *body);
const struct counter_set *transport_counters(const struct transport *transport);

#endif
