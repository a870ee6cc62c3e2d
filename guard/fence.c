#include <glib.h>

#include "guard/fence.h"

/*
 * Initialize a fence whose ticks of tick_ms milliseconds are counted from 1.
 * incarnation must not be 0, which means "none" on the wire.
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
 * Return the current tick. It is derived from the clock rather than counted by
 * a timer, so that a process that was suspended has the right tick as soon as
 * it resumes, before it handles the calls that arrived in the meantime.
 */
uint64_t
fence_tick(const struct fence *fence, struct timespec now)
{
	int64_t ms = timespec_ms_between(fence->started, now);
	uint64_t tick = 1 + (uint64_t)MAX(ms, 0) / fence->tick_ms;

	return MAX(tick, fence->floor + 1);
}

/*
 * Tell whether a call sent with this incarnation and tick is recent enough to
 * run. A tick in the future is rejected too.
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
 * Reject from now on every call with a tick up to the current one. Used when a
 * refusal can't be recorded, so that a copy of the refused call is not admitted
 * later.
 */
void
fence_raise_floor(struct fence *fence, struct timespec now)
{
	fence->floor = fence_tick(fence, now);
}
