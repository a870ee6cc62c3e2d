#ifndef TREFOILHILL_ROUTE_RETURN_QUEUE_H
#define TREFOILHILL_ROUTE_RETURN_QUEUE_H

#include <stdint.h>

#include "route/return_room.h"

/*
 * The returns that this node has promised to refused callers, for each service.
 * Answers a burst, and the end of an outage, in which callers refused together
 * would return together and be refused again: promised returns take the
 * capacity as it becomes available, urgent ones first. Pure; times are
 * milliseconds of a monotonic clock.
 */
struct return_queue;

struct return_queue *return_queue_new(void);
void return_queue_free(struct return_queue *queue);
/*
 * Promise a return at the first time that has room, min_ms to max_ms from now.
 * Returns the delay, a multiple of RETURN_STEP_MS; -1 if there is no room by
 * then, and nothing is promised.
 */
int64_t return_queue_promise(struct return_queue *queue, const char *service,
    uint32_t priority, const struct return_room *room, int64_t min_ms,
    int64_t max_ms, int64_t now_ms);

enum {
	RETURN_STEP_MS = 25,
};

#endif
