#ifndef TREFOILHILL_ROUTE_HEDGE_POLICY_H
#define TREFOILHILL_ROUTE_HEDGE_POLICY_H

#include <stdint.h>

/*
 * When a second send of a request pays off beside the first. Answers run times
 * with a tail, of which a few take several times as long as the others, and
 * upstreams that hang. Times are in milliseconds.
 */
struct hedge_situation {
	int64_t objective_ms; /* for the response, from the first attempt */
	int64_t spent_ms;     /* of that, until the first send */
	int64_t remaining_ms; /* until the deadline */
	int64_t run_ms;       /* usual run time of such a request */
	int64_t tail_ms;      /* that 95 in 100 don't exceed; 0: not known */
};

/* Time from the first send until the second one, or -1: none. */
int64_t hedge_delay_ms(const struct hedge_situation *situation);

#endif
