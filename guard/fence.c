#include <glib.h>

#include "guard/fence.h"

/*
 * Start counting ticks at 1. An incarnation of 0 stands for "none" on the
 * wire, so a guard must not have it.
 */
void
fence_init(struct fence *fence, uint64_t incarnation, uint32_t tick_ms,
    uint32_t tick_bound, struct timespec now)
{
	g_assert(incarnation != 0);
	fence->incarnation = incarnation;
	fence->tick_ms = MAX(tick_ms, 1);
	fence->tick_bound = MAX(tick_bound, 1);
	fence->started = now;
	fence->floor = 0;
}

/*
 * Return the current tick. It follows the clock rather than a timer, so a
 * process that was stopped for a while finds the right tick as it wakes,
 * before it looks at the calls that piled up meanwhile.
 */
uint64_t
fence_tick(const struct fence *fence, struct timespec now)
{
	int64_t ms = timespec_ms_between(fence->started, now);
	uint64_t tick = 1 + (uint64_t)MAX(ms, 0) / fence->tick_ms;

	return MAX(tick, fence->floor + 1);
}

/*
 * Tell whether a call that was sent with this word of the guard is recent
 * enough to begin. A tick that has not been yet is refused as well.
 */
bool
fence_allows(const struct fence *fence, uint64_t incarnation, uint64_t tick,
    struct timespec now)
{
	uint64_t current = fence_tick(fence, now);

	if (incarnation != fence->incarnation)
		return false;
	if (tick <= fence->floor || tick > current)
		return false;
	return current - tick <= fence->tick_bound;
}

/*
 * Refuse from now on whatever was sent with a tick seen so far. Used when a
 * refusal can't be remembered: a second copy of the refused call must not be
 * admitted later.
 */
void
fence_raise_floor(struct fence *fence, struct timespec now)
{
	fence->floor = fence_tick(fence, now);
}
