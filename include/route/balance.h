#ifndef TREFOILHILL_ROUTE_BALANCE_H
#define TREFOILHILL_ROUTE_BALANCE_H

#include "common/rng.h"
#include "fleet/catalog.h"
#include "quarantine/request_key.h"

/*
 * Load balancing by expected response time, computed from the guards' load
 * reports and this node's own requests in flight. Pure functions without I/O.
 *
 * Answers the load patterns of many nodes that see the same late reports, and
 * of an upstream that was slow and gets no request that would show that it is
 * fast again.
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
	uint32_t run_ms; /* usual run time of such a request */
	bool bulk;       /* the response is large */
	/* balance_mean_latency_us of a moment ago; 0: not known. */
	uint32_t mean_us;
	/*
	 * For a request that may crash its upstream: all runs of one key meet
	 * at one upstream, where they run one after the other. NULL: none.
	 */
	const struct request_key *meet_by;
	int64_t now_ms;
	const struct upstream *tried[BALANCE_TRIED_MAX];
	size_t tried_count;
};

/* In order of preference. */
enum balance_class {
	BALANCE_GOOD,
	BALANCE_COLD, /* or not reported on yet */
	BALANCE_FAILING,
	BALANCE_UNREACHABLE, /* lost, stopping, or accepts no requests */
	BALANCE_CLASS_COUNT,
};

struct balance_choice {
	struct upstream *upstream; /* borrowed; NULL: none is available */
	uint32_t candidates;       /* number of upstreams considered */
	uint32_t expected_ms;      /* until the response */
	enum balance_class class;
	/* Not the best one; chosen to learn of its present latency. */
	bool refreshes;
};

struct balance_choice balance_pick(
    const struct balance_request *request, struct rng *rng);
uint32_t balance_mean_latency_us(
    const struct upstream_group *group, int64_t now_ms);
/*
 * Expected time until a response by this upstream, for a request that takes
 * run_ms at an upstream whose latency is mean_us, the mean of the service.
 */
uint32_t balance_expected_ms(const struct upstream *upstream, uint32_t run_ms,
    uint32_t mean_us, int64_t now_ms);

#endif
