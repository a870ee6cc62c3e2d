#ifndef TREFOILHILL_ROUTE_CANDIDATES_H
#define TREFOILHILL_ROUTE_CANDIDATES_H

#include <stdbool.h>
#include <stddef.h>

#include "common/rng.h"
#include "route/load_estimate.h"

/*
 * Two upstreams chosen at random from all those added, in constant memory
 * (reservoir sampling).
 */
struct candidate {
	size_t index; /* in the service's upstreams */
	struct load_estimate load;
};

struct candidates {
	size_t count; /* added so far */
	struct candidate sample[2];
};

void candidates_add(struct candidates *candidates,
    const struct candidate *candidate, struct rng *rng);
/* The less loaded of the two; NULL when none was added. */
const struct candidate *candidates_best(const struct candidates *candidates);

#endif
