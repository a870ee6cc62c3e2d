#ifndef TREFOILHILL_ROUTE_RETURN_ROOM_H
#define TREFOILHILL_ROUTE_RETURN_ROOM_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/catalog.h"

/*
 * The capacity of a service that callers refused by this node may return to, by
 * the load reports of its upstreams. Pure; times are in milliseconds.
 */
struct return_room {
	bool known;       /* there are recent reports */
	double per_s;     /* returns a second; 0: no upstream accepts any */
	int64_t opens_ms; /* from now, when the first queue is empty */
};

/*
 * nodes is the size of the fleet, run_ms the usual run time. group may be NULL.
 */
struct return_room return_room_of(const struct upstream_group *group,
    uint32_t nodes, uint32_t run_ms, int64_t now_ms);

#endif
