#ifndef TREFOILHILL_ROUTE_LOAD_ESTIMATE_H
#define TREFOILHILL_ROUTE_LOAD_ESTIMATE_H

#include <stdint.h>

#include "route/peer_table.h"

/* What an entry may do with an upstream, best first. */
enum load_class {
	LOAD_FREE,    /* has room by its guard's word */
	LOAD_UNKNOWN, /* no recent word: may be cold, one call at a time */
	LOAD_BUSY,    /* no room, but perhaps a place in the queue */
	LOAD_AVOID,   /* no place, not accepting, or lost a moment ago */
};

struct load_estimate {
	enum load_class class;
	uint32_t calls;
	uint32_t limit;
	uint64_t wait_us; /* until a call's turn; 0 while there is room */
};

struct load_estimate load_estimate(
    struct peer *peer, int64_t now_ms, uint32_t hint_fresh_ms);
/* Is a's turn sooner than b's, or a less loaded for its limit? */
bool load_is_lower(struct load_estimate a, struct load_estimate b);

#endif
