#ifndef TREFOILHILL_ROUTE_BALANCE_PRIVATE_H
#define TREFOILHILL_ROUTE_BALANCE_PRIVATE_H

#include "route/balance.h"

/* Private to route/balance*.c and route/service_room.c. */
bool balance_is_fresh(const struct upstream *upstream, int64_t now_ms);
uint32_t balance_requests(const struct upstream *upstream, bool fresh);
uint32_t balance_limit(const struct upstream *upstream, int64_t now_ms);

#endif
