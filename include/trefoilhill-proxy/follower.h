#ifndef TREFOILHILL_TREFOILHILL_PROXY_FOLLOWER_H
#define TREFOILHILL_TREFOILHILL_PROXY_FOLLOWER_H

#include "fleet/source.h"
#include "trefoilhill-proxy/proxy.h"

/*
 * Keeps the replica and the catalog in sync with the platform's store. A few
 * nodes of each zone, the readers, read the store. The others receive changes
 * in heartbeats, and read the store in place of a reader that can't
 * (fleet/reader_lane), or when no peer has confirmed their copy recently.
 */
struct follower;

struct follower *follower_new(struct proxy *proxy, struct item_source *source);
void follower_free(struct follower *follower);
void follower_start(struct follower *follower);
struct replica *follower_replica(struct follower *follower);
/* State of a peer's copy, as told in a heartbeat. */
struct follower_peer_state {
	const char *upstream; /* id of the sender's, for logs */
	bool is_snapshot;     /* items are the complete state, not changes */
	GPtrArray *items;     /* struct replica_item; NULL: none included */
	struct store_position position;
	int64_t age_ms; /* since the store confirmed it; -1: never */
	/* How much longer a removed registration may be restored. */
	int64_t removal_grace_ms;
	int64_t steady_ms; /* confirmed for so long without an outage */
};

void follower_apply_peer_state(
    struct follower *follower, const struct follower_peer_state *state);
/*
 * Ask the node a number of places behind this one in its lane to read the store
 * in its place (fleet/reader_lane), and up to ttl - 1 more after it.
 */
void follower_ask_to_read(
    struct follower *follower, uint32_t ttl, uint32_t places);
/*
 * Find the host before this node's own in its lane, which the caller pings by a
 * heartbeat. Reads the store in its place if it has been silent. Returns false
 * if there is none to ping.
 */
bool follower_check_ahead(struct follower *follower, struct in_addr *host);
/* A host has responded to a heartbeat. */
void follower_host_responded(struct follower *follower, struct in_addr host);
/* A peer asks this node to read the store in its place. */
void follower_read_for_peer(struct follower *follower, uint32_t ttl);
/* Age of the store's last confirmation, to this node or a peer; -1: never. */
int64_t follower_age_ms(const struct follower *follower);
/* For how long peers have known more than the copy; 0: they don't. */
int64_t follower_behind_ms(const struct follower *follower);
/* Why it is behind, for operators; empty: it isn't. */
const char *follower_behind_reason(const struct follower *follower);
/* Does this node read the store, by its rank or in place of another? */
bool follower_is_reader(const struct follower *follower);
/* Did its last read fail? */
bool follower_store_is_lost(const struct follower *follower);
/* Is a newer configuration than the one in force being decoded? */
bool follower_has_pending_config(const struct follower *follower);
int64_t follower_removal_grace_ms(const struct follower *follower);
/* For how long the copy has been confirmed without an outage of the store. */
int64_t follower_steady_ms(const struct follower *follower);

#endif
