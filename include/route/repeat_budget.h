#ifndef TREFOILHILL_ROUTE_REPEAT_BUDGET_H
#define TREFOILHILL_ROUTE_REPEAT_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * This node's share of the fleet's bound on repeated sends to one service,
 * counted over a sliding window. Every node keeps to its share by its own
 * requests alone, so that the sum holds also while nodes can't talk.
 */
struct repeat_budget;

struct repeat_budget_settings {
	uint32_t window_ms;
	double ratio;     /* repeats for each fresh request */
	double allowance; /* repeats in a window beyond that, of all nodes */
};

struct repeat_budget *repeat_budget_new(
    const struct repeat_budget_settings *settings);
void repeat_budget_free(struct repeat_budget *budget);
/* Count one fresh request of this node for a service. */
void repeat_budget_fresh(
    struct repeat_budget *budget, const char *service, int64_t now_ms);
/* Take one repeat; false: the share of this node is used up. */
bool repeat_budget_take(struct repeat_budget *budget, const char *service,
    uint32_t nodes, int64_t now_ms);

#endif
