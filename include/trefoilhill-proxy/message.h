#ifndef TREFOILHILL_TREFOILHILL_PROXY_MESSAGE_H
#define TREFOILHILL_TREFOILHILL_PROXY_MESSAGE_H

#include "fleet/source.h"
#include "fleet/upstream.h"

/* What a heartbeat or its answer says; GVariant on the wire. */
struct message {
	uint64_t revision; /* of the sender's copy of the store */
	int64_t age_ms;    /* since the store confirmed it; -1: never */
	int64_t doubt_ms;  /* for which removals may still be taken back */
	bool stopping;
	char *upstream;          /* id of the sender's own; empty: none */
	struct load_report load; /* of that one */
	GPtrArray *items; /* struct replica_item; NULL: none come along */
	bool whole;       /* items are all there is, not changes */
	uint64_t base;    /* the changes are those after this revision */
};

GBytes *message_encode(const struct message *message);
/* False: the bytes are no message; it is then empty. */
bool message_decode(struct str bytes, struct message *message);
void message_clear(struct message *message);

#endif
