#ifndef TREFOILHILL_ROUTE_CHOOSER_STATE_H
#define TREFOILHILL_ROUTE_CHOOSER_STATE_H

#include <stdatomic.h>

#include "route/choice.h"
#include "route/upstream_table.h"

/* Internals of the chooser, private to its source files. */
struct chooser {
	struct choice_settings settings;
	struct clock *clock;
	struct upstream_table *upstreams;
	atomic_uint_fast64_t next_turn; /* round-robin position */
	struct counter_set counters;
};

/* The upstream that a policy picked. */
struct pick_result {
	size_t index; /* in the service's upstreams */
	bool probe;
};

int64_t chooser_now_ms(const struct chooser *chooser);
/*
 * Apply the chooser's policy. The read lock of the upstream table has to be
 * held.
 */
bool chooser_pick_index(struct chooser *chooser,
    const struct choice_request *request, const struct service_view *service,
    struct rng *rng, struct pick_result *result);

#endif
