#ifndef TREFOILHILL_ROUTE_BALANCE_H
#define TREFOILHILL_ROUTE_BALANCE_H

#include "common/rng.h"
#include "fleet/catalog.h"

/*
 * Chooses the upstream that is expected to answer first, from the guards'
 * reports and the own requests in flight. Pure state, without I/O.
 */
enum {
	BALANCE_TRIED_MAX = 8,
};

struct balance_request {
	const struct catalog *catalog;
	const char *service;
	const char *zone;    /* of this node */
	struct in_addr host; /* of this node */
	uint32_t objective_ms;
	uint32_t run_ms; /* that such a request usually takes */
	bool bulk;       /* the answer is large */
	int64_t now_ms;
	const struct upstream *tried[BALANCE_TRIED_MAX];
	size_t tried_count;
};

struct balance_choice {
	struct upstream *upstream; /* borrowed; NULL: none can take it */
	uint32_t candidates;       /* that could have been chosen */
	uint32_t expected_ms;      /* until the answer */
	bool last_resort; /* it was avoided, but nothing else is left */
};

struct balance_choice balance_pick(
    const struct balance_request *request, struct rng *rng);
/*
 * Expected time until an answer by this upstream, when such a request takes
 * run_ms at one of mean_us, the mean latency of its service.
 */
uint32_t balance_expected_ms(const struct upstream *upstream, uint32_t run_ms,
    uint32_t mean_us, int64_t now_ms);

#endif
