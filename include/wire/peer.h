#ifndef TREFOILHILL_WIRE_PEER_H
#define TREFOILHILL_WIRE_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/outgoing.h"

/* The connection to one peer; used only on the transport thread. */
struct transport_peer {
	char *address;
	void *socket;   /* DEALER */
	void *monitor;  /* PAIR; reports failed connection attempts */
	GQueue pending; /* struct outgoing_frame *: waiting for a connection */
	bool unreachable; /* the last connection attempt failed or timed out */
	int64_t last_used_us;
};

struct transport_peer *transport_peer_new(
    void *zmq, const char *address, uint32_t high_water);
void transport_peer_free(struct transport_peer *peer);
enum peer_send_result {
	PEER_SENT,    /* the caller frees the frame */
	PEER_QUEUED,  /* the peer owns the frame */
	PEER_DROPPED, /* not sent; the caller frees the frame */
};
enum peer_send_result transport_peer_send(struct transport_peer *peer,
    struct outgoing_frame *out, uint32_t pending_max);
/* What became of the first pending frame. */
enum peer_flush_result {
	PEER_FLUSH_NONE,
	PEER_FLUSH_SENT,
	PEER_FLUSH_EXPIRED,
};
enum peer_flush_result transport_peer_flush(struct transport_peer *peer,
    int64_t running_us, struct outgoing_frame **out);
/* Set the options that all sockets of the transport share. */
void socket_configure(void *socket, uint32_t high_water);
int socket_fd(void *socket);

#endif
