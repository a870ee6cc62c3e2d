#ifndef TREFOILHILL_MESH_MEMBERS_H
#define TREFOILHILL_MESH_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/rng.h"
#include "common/str.h"
#include "config/snapshot.h"

enum {
	MEMBERS_TRACKERS = 4, /* hosts that remember what another announced */
	MEMBERS_READERS = 2,  /* first in the zone's order of readers */
	MEMBERS_ZONES_MAX = 256,
};

/*
 * The fleet as one node sees it in its snapshot. All pointers borrow from
 * the snapshot; members_refresh renews them when the snapshot changes.
 */
struct members {
	struct str host; /* of this node */
	struct str zone;
	struct record *const *hosts; /* of the zone */
	size_t host_count;
	struct str other_zones[MEMBERS_ZONES_MAX];
	size_t other_zone_count;
	const struct snapshot *snapshot;
	size_t fleet_size; /* hosts of all zones, 0 if unknown */
	size_t rank;       /* of this host in its zone as a reader */
	bool is_listed;    /* the snapshot has this host in this zone */
	const struct record *trackers[MEMBERS_TRACKERS];
	size_t tracker_count;
	const struct record *readers[MEMBERS_READERS]; /* without this host */
	size_t reader_count;
};

void members_init(struct members *members, struct str host, struct str zone);
void members_refresh(struct members *members, const struct snapshot *snapshot);
/* A host at random, never this one; NULL when there is none. */
const struct record *members_pick_own_zone(
    const struct members *members, struct rng *rng);
const struct record *members_pick_other_zone(
    const struct members *members, struct rng *rng);

#endif
