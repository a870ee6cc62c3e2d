#ifndef TREFOILHILL_TREFOILHILL_PROXY_PEER_HEALTH_H
#define TREFOILHILL_TREFOILHILL_PROXY_PEER_HEALTH_H

#include "trefoilhill-proxy/proxy.h"

/* Record that a peer did not respond, or that it did, and log each change. */
void peer_health_failed(
    struct proxy *proxy, struct fleet_peer *peer, const char *reason);
void peer_health_responded(struct proxy *proxy, struct fleet_peer *peer);

#endif
