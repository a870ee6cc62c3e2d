#ifndef TREFOILHILL_ROUTE_LOAD_ESTIMATE_H
#define TREFOILHILL_ROUTE_LOAD_ESTIMATE_H

#include <stdint.h>

#include "route/upstream_table.h"

/* Whether an upstream can take a call, best first. */
enum load_class {
	LOAD_FREE,        /* below its limit by its guard's last hint */
	LOAD_UNKNOWN,     /* no recent hint: may be cold, one call at a time */
	LOAD_BUSY,        /* at its limit, but its queue may have room */
	LOAD_UNAVAILABLE, /* queue full, not accepting, or lost recently */
};

struct load_estimate {
	enum load_class class;
	uint32_t calls;
	uint32_t limit;
	uint64_t wait_us; /* expected time in the queue; 0 below the limit */
};

struct load_estimate load_estimate(
    struct upstream_state *state, int64_t now_ms, uint32_t hint_fresh_ms);
/* Has a the shorter wait, or with equal waits the lower load per limit? */
bool load_is_lower(struct load_estimate a, struct load_estimate b);

#endif
