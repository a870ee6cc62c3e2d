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
	const char *zone;      /* of this node */
	struct in_addr host;   /* of this node */
	uint32_t objective_ms;
	bool bulk;             /* the answer is large */
	int64_t now_ms;
	const struct upstream *tried[BALANCE_TRIED_MAX];
	size_t tried_count;
};

struct balance_choice {
	struct upstream *upstream; /* borrowed; NULL: none can take it */
	uint32_t candidates;       /* that could have been chosen */
	uint32_t expected_ms;      /* until the answer */
	uint32_t latency_ms;       /* of the upstream itself */
	bool last_resort;          /* it was avoided, but nothing else is left */
};

struct balance_choice balance_pick(
    const struct balance_request *request, struct rng *rng);
/* Expected time until an answer by this upstream. */
uint32_t balance_expected_ms(const struct upstream *upstream, int64_t now_ms);

#endif
