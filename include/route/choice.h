#ifndef TREFOILHILL_ROUTE_CHOICE_H
#define TREFOILHILL_ROUTE_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/rng.h"
#include "common/str.h"
#include "config/snapshot.h"
#include "guard/guard.h"

/*
 * Chooses an upstream for each attempt of an entry, which is the node that
 * received the caller's request. Holds the last hint of each guard; all
 * functions are thread-safe (atomics and RCU).
 */
struct chooser;

enum choice_policy {
	CHOICE_ROUND_ROBIN,   /* in turn, without hints */
	CHOICE_LEAST_REQUEST, /* power of two choices by own calls in flight */
	CHOICE_HINTED,        /* power of two choices by the guards' hints */
};

struct choice_settings {
	struct str host; /* of this node */
	struct str zone;
	enum choice_policy policy;
	uint32_t hint_fresh_ms; /* age from which a hint is ignored */
};

enum {
	CHOICE_TRIED_MAX = 4
};

struct choice_request {
	const struct snapshot *snapshot;
	struct str service;
	const struct record *tried[CHOICE_TRIED_MAX];
	size_t tried_count;
};

struct choice {
	const struct record *upstream;
	const struct record *host;
	struct guard_hint known; /* incarnation and tick to send in the OPEN */
	bool probe; /* no recent hint of the upstream: it may be cold */
};

struct chooser *chooser_new(
    const struct choice_settings *settings, struct clock *clock);
void chooser_free(struct chooser *chooser);
/* False: no upstream can take it; retry_after_ms tells when to retry. */
bool chooser_pick(struct chooser *chooser, const struct choice_request *request,
    struct rng *rng, struct choice *choice, uint32_t *retry_after_ms);
/* Count the start and the end of a call to this upstream. */
void chooser_begin_call(struct chooser *chooser, struct str upstream);
void chooser_end_call(struct chooser *chooser, struct str upstream);
/* Handle a hint that came with a response, or a node that did not respond. */
void chooser_update_hint(struct chooser *chooser, struct str upstream,
    const struct guard_hint *hint);
void chooser_mark_lost(struct chooser *chooser, struct str upstream);
/* Remove the state of idle upstreams that the snapshot no longer has. */
void chooser_prune(struct chooser *chooser, const struct snapshot *snapshot);
const struct counter_set *chooser_counters(const struct chooser *chooser);

#endif
