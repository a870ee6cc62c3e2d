#ifndef TREFOILHILL_MESH_MEMBERS_H
#define TREFOILHILL_MESH_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/rng.h"
#include "common/str.h"
#include "config/snapshot.h"

enum {
	/* Hosts that remember the highest version another host announced. */
	MEMBERS_TRACKERS = 4,
	MEMBERS_READERS = 2, /* first hosts of the zone in reader order */
	MEMBERS_ZONES_MAX = 256,
};

/*
 * Fleet membership as this node's snapshot has it. All pointers borrow from the
 * snapshot; members_refresh renews them when the snapshot changes.
 */
struct members {
	struct str host; /* this node's */
	struct str zone;
	struct record *const *hosts; /* of this zone */
	size_t host_count;
	struct str other_zones[MEMBERS_ZONES_MAX];
	size_t other_zone_count;
	const struct snapshot *snapshot;
	size_t fleet_size; /* hosts of all zones, 0 if unknown */
	size_t rank;       /* of this host in the reader order of its zone */
	bool is_listed;    /* the snapshot lists this host in this zone */
	const struct record *trackers[MEMBERS_TRACKERS];
	size_t tracker_count;
	const struct record *readers[MEMBERS_READERS]; /* excluding this host */
	size_t reader_count;
};

void members_init(struct members *members, struct str host, struct str zone);
void members_refresh(struct members *members, const struct snapshot *snapshot);
/* Return a random host other than this one, or NULL if none was found. */
const struct record *members_pick_own_zone(
    const struct members *members, struct rng *rng);
const struct record *members_pick_other_zone(
    const struct members *members, struct rng *rng);

#endif
