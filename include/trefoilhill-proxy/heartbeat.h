#ifndef TREFOILHILL_TREFOILHILL_PROXY_HEARTBEAT_H
#define TREFOILHILL_TREFOILHILL_PROXY_HEARTBEAT_H

#include "http/stream.h"
#include "trefoilhill-proxy/proxy.h"

/*
 * Gossips with peers: sends this node's load and replica revision to a few
 * peers at a time, and exchanges replica items with them.
 */
struct heartbeat;

struct heartbeat *heartbeat_new(struct proxy *proxy);
void heartbeat_free(struct heartbeat *heartbeat);
void heartbeat_start(struct heartbeat *heartbeat);
/* Send heartbeats to some peers of the zone now, as the replica changed. */
void heartbeat_announce(struct heartbeat *heartbeat);
/* Send heartbeats to some peers of the zone and to some of any zone now. */
void heartbeat_announce_to_all_zones(struct heartbeat *heartbeat);
/*
 * Send heartbeats to some peers of any zone now, if a workspace has turned hot.
 */
void heartbeat_announce_quota(struct heartbeat *heartbeat);
/*
 * Send a heartbeat that asks its receiver to read the store in this node's
 * place. If it doesn't respond, another node is asked.
 */
void heartbeat_ask_to_read(struct heartbeat *heartbeat, struct in_addr host,
    uint32_t ttl, uint32_t places);
/* Is this the request target of heartbeats? */
bool heartbeat_is_target(struct str target);
/*
 * Apply a peer's heartbeat and return the response body, to be released with
 * g_bytes_unref. Returns NULL if the heartbeat is malformed.
 */
GBytes *heartbeat_handle_request(
    struct heartbeat *heartbeat, const struct http_head *head, struct str body);

#endif
