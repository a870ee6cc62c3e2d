#ifndef TREFOILHILL_TREFOILHILL_PROXY_FOLLOWER_PRIVATE_H
#define TREFOILHILL_TREFOILHILL_PROXY_FOLLOWER_PRIVATE_H

#include "trefoilhill-proxy/follower.h"

/* Insides of the follower, shared by its sources alone. */
enum {
	/* So that not all begin to read at once when nobody's word is fresh. */
	FOLLOWER_STALE_JITTER_MS = 1500,
};

struct follower {
	uv_timer_t *timer;       /* the next read */
	uv_timer_t *watch_timer; /* the watch's time to prove itself */
	struct proxy *proxy;
	struct item_source *source;
	struct replica *replica;
	bool snapshot_needed;
	bool reading; /* a call is in progress */
	bool is_reader;
	int64_t confirmed_ms;    /* when the store confirmed it; 0: never */
	int64_t stale_jitter_ms; /* this node's own part of the spread */
	int64_t
	    removal_grace_until_ms; /* removals may be taken back until then */
	int64_t peer_grace_ms;      /* of the items being taken from a peer */
	uint32_t failures;          /* in a row */
	int64_t unreachable_since_ms; /* 0: the store answers */
	bool catching_up;             /* the first answer after an outage */
};

void follower_log(struct follower *follower, const char *event,
    const char *reason, int64_t age_ms);
uint32_t follower_peer_count(const struct follower *follower);
/* Look again whether this node is one of its zone's readers. */
void follower_update_role(struct follower *follower);
bool follower_is_stale(const struct follower *follower);
uint32_t follower_watch_wait_ms(const struct follower *follower);

#endif
