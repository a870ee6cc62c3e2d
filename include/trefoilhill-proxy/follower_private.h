#ifndef TREFOILHILL_TREFOILHILL_PROXY_FOLLOWER_PRIVATE_H
#define TREFOILHILL_TREFOILHILL_PROXY_FOLLOWER_PRIVATE_H

#include "fleet/copy_lag.h"
#include "fleet/reader_lane.h"
#include "fleet/store_outage.h"
#include "trefoilhill-proxy/config_slices.h"
#include "trefoilhill-proxy/follower.h"

/* Private to follower*.c. */
enum {
	/* Spreads the reads of nodes whose copies get stale together. */
	FOLLOWER_STALE_JITTER_MS = 1500,
};

struct follower {
	uv_timer_t *timer;       /* next read */
	uv_timer_t *watch_timer; /* deadline of a watch behind its peers */
	struct proxy *proxy;
	struct item_source *source;
	struct replica *replica;
	struct config_slices *config_slices;
	bool snapshot_needed;
	bool reading; /* a read is in progress */
	int64_t read_began_ms;
	bool is_reader;
	struct reader_lane lane;
	struct copy_lag lag;
	int64_t stale_jitter_ms; /* random, fixed for this process */
	struct store_outage outage;
	uint32_t removal_grace_ms; /* for the items being applied */
};

void follower_log(struct follower *follower, const char *event,
    const char *reason, int64_t age_ms);
uint32_t follower_peer_count(const struct follower *follower);
/* Read the store now if that is this node's turn and no read is in progress. */
void follower_read_next(struct follower *follower);
/* Update whether this node is one of its zone's readers. */
void follower_update_role(struct follower *follower);
/* Is this node a reader by its rank, not only in place of another one? */
bool follower_ranks_as_reader(const struct follower *follower);
bool follower_is_stale(const struct follower *follower);
uint32_t follower_outage_grace_ms(const struct follower *follower);
uint32_t follower_change_batch_ms(const struct follower *follower);
uint32_t follower_watch_wait_ms(const struct follower *follower);

#endif
