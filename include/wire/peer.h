#ifndef TREFOILHILL_WIRE_PEER_H
#define TREFOILHILL_WIRE_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/outgoing.h"

/* The connection to one peer; only the transport's thread touches it. */
struct peer {
	char *address;
	void *socket;     /* DEALER */
	void *monitor;    /* PAIR; tells of attempts to connect that failed */
	GQueue held;      /* struct outgoing *: wait for the connection */
	bool unreachable; /* the last hold ended without a connection */
	int64_t used_at_us;
};

struct peer *peer_new(void *zmq, const char *address, uint32_t high_water);
void peer_free(struct peer *peer);
enum peer_sending {
	PEER_SENT,    /* the frame is still the caller's to free */
	PEER_HELD,    /* the peer owns it now */
	PEER_REFUSED, /* given up; the caller's to free */
};
enum peer_sending peer_send(
    struct peer *peer, struct outgoing *out, uint32_t held_max);
/* Next held frame that could now be sent, or whose time is up. */
enum peer_flush_result {
	PEER_FLUSH_NONE,
	PEER_FLUSH_SENT,
	PEER_FLUSH_EXPIRED,
};
enum peer_flush_result peer_flush(
    struct peer *peer, int64_t now_us, struct outgoing **out);
/* Set what every socket of the transport has in common. */
void socket_configure(void *socket, uint32_t high_water);
int socket_fd(void *socket);

#endif
