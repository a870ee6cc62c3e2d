#include "guard/stats.h"

#define REFUSED(reason)                                                     \
	{                                                                   \
		"trefoilhill_guard_refused_total{reason=\"" reason "\"}",   \
		    "Calls refused before the upstream saw a byte of them." \
	}
#define COMPLETED(outcome)                                                    \
	{                                                                     \
		"trefoilhill_guard_completed_total{outcome=\"" outcome "\"}", \
		    "Calls that ended in the upstream."                       \
	}
#define TURNED_COLD(cause)                                           \
	{                                                            \
		"trefoilhill_guard_cold_total{cause=\"" cause "\"}", \
		    "Times the upstream was taken to be cold."       \
	}

static const struct counter_desc descs[GUARD_COUNTER_COUNT] = {
	[GUARD_ADMITTED] = { "trefoilhill_guard_admitted_total",
	    "Calls admitted without waiting." },
	[GUARD_QUEUED] = { "trefoilhill_guard_queued_total",
	    "Calls that had to wait for their turn." },
	[GUARD_DEQUEUED] = { "trefoilhill_guard_dequeued_total",
	    "Waiting calls whose turn came." },
	[GUARD_WARMED] = { "trefoilhill_guard_warm_total",
	    "Times the limit came up to the slots of the upstream." },
	[GUARD_FROZEN] = { "trefoilhill_guard_frozen_total",
	    "Times this process was found to have stood still." },
	[GUARD_REFUSED + REFUSAL_NONE] = REFUSED("none"),
	[GUARD_REFUSED + REFUSAL_LIMIT] = REFUSED("limit"),
	[GUARD_REFUSED + REFUSAL_QUEUE_WAIT] = REFUSED("queue_wait"),
	[GUARD_REFUSED + REFUSAL_DRAINING] = REFUSED("draining"),
	[GUARD_REFUSED + REFUSAL_OUT_OF_SERVICE] = REFUSED("out"),
	[GUARD_REFUSED + REFUSAL_FENCED] = REFUSED("fenced"),
	[GUARD_REFUSED + REFUSAL_DEADLINE] = REFUSED("deadline"),
	[GUARD_REFUSED + REFUSAL_NOT_READY] = REFUSED("not_ready"),
	[GUARD_REFUSED + REFUSAL_DUPLICATE] = REFUSED("duplicate"),
	[GUARD_REFUSED + REFUSAL_UNREACHABLE] = REFUSED("unreachable"),
	[GUARD_REFUSED + REFUSAL_UNKNOWN_UPSTREAM] =
	    REFUSED("unknown_upstream"),
	[GUARD_REFUSED + REFUSAL_SHED] = REFUSED("shed"),
	[GUARD_REFUSED + REFUSAL_TOO_LARGE] = REFUSED("too_large"),
	[GUARD_REFUSED + REFUSAL_CANCELLED] = REFUSED("cancelled"),
	[GUARD_REFUSED + REFUSAL_RECORD_FULL] = REFUSED("record_full"),
	[GUARD_COMPLETED + OUTCOME_OK] = COMPLETED("ok"),
	[GUARD_COMPLETED + OUTCOME_SHED] = COMPLETED("shed"),
	[GUARD_COMPLETED + OUTCOME_CONNECTION_REFUSED] = COMPLETED("refused"),
	[GUARD_COMPLETED + OUTCOME_FAILED] = COMPLETED("failed"),
	[GUARD_COMPLETED + OUTCOME_TIMEOUT] = COMPLETED("timeout"),
	[GUARD_COMPLETED + OUTCOME_CANCELLED] = COMPLETED("cancelled"),
	[GUARD_TURNED_COLD + COLD_NONE] = TURNED_COLD("none"),
	[GUARD_TURNED_COLD + COLD_STARTED] = TURNED_COLD("started"),
	[GUARD_TURNED_COLD + COLD_CONNECTION_REFUSED] = TURNED_COLD("refused"),
	[GUARD_TURNED_COLD + COLD_FAILURES] = TURNED_COLD("failures"),
	[GUARD_TURNED_COLD + COLD_LATENCY] = TURNED_COLD("latency"),
	[GUARD_TURNED_COLD + COLD_IDLE] = TURNED_COLD("idle"),
	[GUARD_TURNED_COLD + COLD_BACK_IN_SERVICE] = TURNED_COLD("returned"),
};

/*
 * Initialize the counters of a guard to zero.
 */
void
guard_stats_init(struct counter_set *set)
{
	counter_set_init(set, descs, GUARD_COUNTER_COUNT);
}
