#ifndef TREFOILHILL_TREFOILHILL_PROXY_FOLLOWER_H
#define TREFOILHILL_TREFOILHILL_PROXY_FOLLOWER_H

#include "fleet/source.h"
#include "trefoilhill-proxy/proxy.h"

/*
 * Keeps the replica up with the platform's store, and the catalog with it. A
 * few nodes of each zone read the store; the others live by what these tell,
 * and read themselves when nobody's word is fresh.
 */
struct follower;

struct follower *follower_new(struct proxy *proxy, struct item_source *source);
void follower_free(struct follower *follower);
void follower_start(struct follower *follower);
struct replica *follower_replica(struct follower *follower);
/* What a peer says of its copy. */
struct follower_peer_state {
	bool is_snapshot; /* items are all there is, not changes */
	GPtrArray *items; /* struct replica_item; NULL: none came along */
	uint64_t revision;
	int64_t age_ms; /* since the store confirmed it; -1: never */
	int64_t
	    removal_grace_ms; /* for which removals may still be taken back */
};

void follower_apply_peer_state(
    struct follower *follower, const struct follower_peer_state *state);
/* Since the store confirmed the copy, to this node or a peer; -1: never. */
int64_t follower_age_ms(const struct follower *follower);
int64_t follower_removal_grace_ms(const struct follower *follower);

#endif
