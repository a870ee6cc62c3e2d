#ifndef TREFOILHILL_ROUTE_CHOOSER_STATE_H
#define TREFOILHILL_ROUTE_CHOOSER_STATE_H

#include <stdatomic.h>

#include "route/choice.h"
#include "route/peer_table.h"

/* Insides of the chooser, shared by its sources alone. */
struct chooser {
	struct choice_settings settings;
	struct clock *clock;
	struct peer_table *peers;
	atomic_uint_fast64_t turn; /* of round robin */
	struct counter_set counters;
};

/* What a policy picked, as a place among the service's upstreams. */
struct picked {
	size_t index;
	bool probe;
};

int64_t chooser_now_ms(const struct chooser *chooser);
/* Apply the chooser's policy; between peer_table_enter and peer_table_leave. */
bool chooser_pick_index(struct chooser *chooser,
    const struct choice_request *request, const struct service_view *service,
    struct rng *rng, struct picked *picked);

#endif
