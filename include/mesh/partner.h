#ifndef TREFOILHILL_MESH_PARTNER_H
#define TREFOILHILL_MESH_PARTNER_H

#include <time.h>

#include "common/rng.h"
#include "common/str.h"
#include "mesh/members.h"

/*
 * A random peer that is kept for several seconds, so that heartbeats reuse open
 * connections.
 */
struct partner {
	struct str address; /* owned; empty if there is none */
	struct timespec expires;
};

struct str partner_in_own_zone(struct partner *partner,
    const struct members *members, struct rng *rng, struct timespec now);
struct str partner_in_other_zone(struct partner *partner,
    const struct members *members, struct rng *rng, struct timespec now);
void partner_release(struct partner *partner);

#endif
