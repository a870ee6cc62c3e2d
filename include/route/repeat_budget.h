#ifndef TREFOILHILL_ROUTE_REPEAT_BUDGET_H
#define TREFOILHILL_ROUTE_REPEAT_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * This node's share of the fleet-wide limit on repeated sends to each service,
 * counted over a sliding window. Every node derives its share from its own
 * requests alone, so the limit also holds while nodes can't communicate.
 */
struct repeat_budget;

struct repeat_budget_settings {
	uint32_t window_ms;
	double ratio;     /* repeats for each fresh request */
	double allowance; /* further repeats in a window, by all nodes */
};

struct repeat_budget *repeat_budget_new(
    const struct repeat_budget_settings *settings);
void repeat_budget_free(struct repeat_budget *budget);
/* Count one fresh request of this node for a service. */
void repeat_budget_add_request(
    struct repeat_budget *budget, const char *service, int64_t now_ms);
/* Take one repeat; false: the share of this node is exhausted. */
bool repeat_budget_withdraw(struct repeat_budget *budget, const char *service,
    uint32_t nodes, int64_t now_ms);

#endif
