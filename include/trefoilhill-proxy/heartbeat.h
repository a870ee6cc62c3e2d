#ifndef TREFOILHILL_TREFOILHILL_PROXY_HEARTBEAT_H
#define TREFOILHILL_TREFOILHILL_PROXY_HEARTBEAT_H

#include "http/stream.h"
#include "trefoilhill-proxy/proxy.h"

/*
 * Tells a few peers at a time what this node knows and how loaded it is, and
 * exchanges items of the replica with them.
 */
struct heartbeat;

struct heartbeat *heartbeat_new(struct proxy *proxy);
void heartbeat_free(struct heartbeat *heartbeat);
void heartbeat_start(struct heartbeat *heartbeat);
/* There is news: tell some peers of the zone at once. */
void heartbeat_announce(struct heartbeat *heartbeat);
/* Is this a heartbeat from a peer? */
bool heartbeat_is_target(struct str target);
/* Take a peer's heartbeat and return the answer's body; NULL: malformed. */
GBytes *heartbeat_handle_request(struct heartbeat *heartbeat, struct str body);

#endif
