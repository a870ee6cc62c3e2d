#ifndef TREFOILHILL_ROUTE_FLEET_RETRY_BUDGET_H
#define TREFOILHILL_ROUTE_FLEET_RETRY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * This node's share of the fleet-wide limit on retries to each service, counted
 * over a sliding window. Every node derives its share from its own requests
 * alone, so the limit also holds while nodes can't communicate.
 *
 * Answers two load patterns: upstreams that fail or reject requests, so that
 * retries add to the load of a service that is short of capacity; and repeated
 * runs, whose calls repeat the load of the services that they call.
 */
struct fleet_retry_budget;

struct fleet_retry_budget_settings {
	uint32_t window_ms;
	double ratio;     /* retries for each fresh request, in all */
	double allowance; /* further retries in a window, by all nodes */
};

struct fleet_retry_budget *fleet_retry_budget_new(
    const struct fleet_retry_budget_settings *settings);
void fleet_retry_budget_free(struct fleet_retry_budget *budget);
/* Count one fresh request of this node for a service. */
void fleet_retry_budget_add_request(
    struct fleet_retry_budget *budget, const char *service, int64_t now_ms);
/* Take one retry; false: the share of this node is exhausted. */
bool fleet_retry_budget_withdraw(struct fleet_retry_budget *budget,
    const char *service, uint32_t nodes, int64_t now_ms);
/*
 * Count a first attempt that adds to the load like a retry, as it is the call
 * of a run that was itself a retry. It may exceed the share.
 */
void fleet_retry_budget_charge(
    struct fleet_retry_budget *budget, const char *service, int64_t now_ms);

#endif
