#ifndef TREFOILHILL_TREFOILHILL_PROXY_FOLLOWER_H
#define TREFOILHILL_TREFOILHILL_PROXY_FOLLOWER_H

#include "fleet/source.h"
#include "trefoilhill-proxy/proxy.h"

/* Keeps the replica up with the platform's store, and the catalog with it. */
struct follower;

struct follower *follower_new(struct proxy *proxy, struct item_source *source);
void follower_free(struct follower *follower);
void follower_start(struct follower *follower);
struct replica *follower_replica(struct follower *follower);
/* Items from a peer: all there is, or changes up to the revision. */
void follower_take(struct follower *follower, bool whole, GPtrArray *items,
    uint64_t revision);
/* Since when the store has not answered; 0: it answers. */
int64_t follower_lost_since_ms(const struct follower *follower);

#endif
