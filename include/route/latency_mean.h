#ifndef TREFOILHILL_ROUTE_LATENCY_MEAN_H
#define TREFOILHILL_ROUTE_LATENCY_MEAN_H

#include <stdint.h>

/*
 * Recent mean latency of an upstream, by time and not by number of responses.
 *
 * Answers the load pattern of an upstream that got few requests after it was
 * slow: a mean that moves by a fixed share of each response stays wrong for as
 * long as the upstream is avoided because of it.
 */
struct latency_mean {
	uint32_t us; /* 0: no response yet */
	int64_t updated_ms;
};

void latency_mean_add(
    struct latency_mean *mean, uint32_t latency_us, int64_t now_ms);

#endif
