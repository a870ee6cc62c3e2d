#ifndef TREFOILHILL_GUARD_STATS_H
#define TREFOILHILL_GUARD_STATS_H

#include "common/counter.h"
#include "guard/guard.h"
#include "guard/limiter.h"

/* Counters of one guard; those of a metric family are contiguous. */
enum guard_counter {
	GUARD_ADMITTED,
	GUARD_QUEUED,
	GUARD_DEQUEUED,
	GUARD_WARMED,
	GUARD_FROZEN,
	GUARD_REFUSED, /* plus enum refusal_reason */
	GUARD_COMPLETED = GUARD_REFUSED + REFUSAL_COUNT, /* plus outcome */
	GUARD_TURNED_COLD =
	    GUARD_COMPLETED + OUTCOME_CANCELLED + 1, /* plus cause */
	GUARD_COUNTER_COUNT = GUARD_TURNED_COLD + COLD_CAUSE_COUNT,
};

void guard_stats_init(struct counter_set *set);

#endif
