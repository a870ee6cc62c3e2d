#ifndef TREFOILHILL_GUARD_FENCE_H
#define TREFOILHILL_GUARD_FENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

/*
 * Rejects stale calls. A call carries the incarnation and the tick of the last
 * hint that its sender received; it is accepted when the incarnation is the
 * present one and the tick is recent. Ticks are counted by this host's
 * monotonic clock alone.
 */
struct fence {
	uint64_t incarnation;
	uint32_t tick_ms;
	uint32_t tick_bound; /* maximum age of a tick, in ticks */
	struct timespec started;
	uint64_t floor; /* ticks up to this one are refused */
};

void fence_init(struct fence *fence, uint64_t incarnation, uint32_t tick_ms,
    uint32_t tick_bound, struct timespec now);
uint64_t fence_tick(const struct fence *fence, struct timespec now);
bool fence_allows(const struct fence *fence, uint64_t incarnation,
    uint64_t tick, struct timespec now);
void fence_raise_floor(struct fence *fence, struct timespec now);

#endif
