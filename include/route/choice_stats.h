#ifndef TREFOILHILL_ROUTE_CHOICE_STATS_H
#define TREFOILHILL_ROUTE_CHOICE_STATS_H

#include "common/counter.h"
#include "route/load_estimate.h"

enum choice_counter {
	/* Picks by zone: the first counter of each, plus enum load_class. */
	CHOICE_PICKED_LOCAL,
	CHOICE_PICKED_REMOTE = CHOICE_PICKED_LOCAL + LOAD_UNAVAILABLE,
	CHOICE_REFUSED_NO_SERVICE = CHOICE_PICKED_REMOTE + LOAD_UNAVAILABLE,
	CHOICE_REFUSED_NONE_IN_SERVICE,
	CHOICE_REFUSED_NO_ROOM,
	CHOICE_HINT_ACCEPTED,
	CHOICE_HINT_OUTDATED,
	CHOICE_PEER_LOST,
	CHOICE_PEER_PRUNED,
	CHOICE_COUNTER_COUNT,
};

void choice_stats_init(struct counter_set *set);

#endif
