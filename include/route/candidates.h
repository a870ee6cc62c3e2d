#ifndef TREFOILHILL_ROUTE_CANDIDATES_H
#define TREFOILHILL_ROUTE_CANDIDATES_H

#include <stdbool.h>
#include <stddef.h>

#include "common/rng.h"
#include "route/load_estimate.h"

/*
 * Two upstreams drawn at random from all those offered, without a list of
 * them: reservoir sampling.
 */
struct candidate {
	size_t index; /* in the service's upstreams */
	struct load_estimate load;
};

struct candidates {
	size_t seen;
	struct candidate drawn[2];
};

void candidates_offer(struct candidates *candidates,
    const struct candidate *candidate, struct rng *rng);
/* The less loaded of the two; NULL when none was offered. */
const struct candidate *candidates_best(const struct candidates *candidates);

#endif
