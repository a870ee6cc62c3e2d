#ifndef TREFOILHILL_TREFOILHILL_PROXY_HEARTBEAT_MESSAGE_H
#define TREFOILHILL_TREFOILHILL_PROXY_HEARTBEAT_MESSAGE_H

#include "fleet/source.h"
#include "fleet/upstream.h"

/* What a heartbeat or its answer says; GVariant on the wire. */
struct heartbeat_message {
	uint64_t revision; /* of the sender's copy of the store */
	int64_t age_ms;    /* since the store confirmed it; -1: never */
	int64_t
	    removal_grace_ms; /* for which removals may still be taken back */
	bool stopping;
	char *upstream;          /* id of the sender's own; empty: none */
	struct load_report load; /* of that one */
	GPtrArray *items;       /* struct replica_item; NULL: none come along */
	bool is_snapshot;       /* items are all there is, not changes */
	uint64_t base_revision; /* the changes are those after this revision */
};

GBytes *heartbeat_message_encode(const struct heartbeat_message *message);
/* False: the bytes are no message; it is then empty. */
bool heartbeat_message_decode(
    struct str bytes, struct heartbeat_message *message);
void heartbeat_message_clear(struct heartbeat_message *message);

#endif
