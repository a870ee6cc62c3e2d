#ifndef TREFOILHILL_GUARD_GUARD_PRIVATE_H
#define TREFOILHILL_GUARD_GUARD_PRIVATE_H

#include "guard/admitted_call.h"
#include "guard/dedup_record.h"
#include "guard/fence.h"
#include "guard/guard.h"
#include "guard/limiter.h"
#include "guard/stats.h"

/* Internals of the guard; include only from its own sources. */
struct guard {
	struct guard_settings settings;
	struct clock *clock;
	struct event_log *events;
	struct fence fence;
	struct limiter limiter;
	struct dedup_record *dedup;
	GHashTable *calls; /* ticket to struct admitted_call *, all phases */
	GQueue queue;      /* struct admitted_call *, oldest first */
	uint64_t next_ticket;
	uint64_t cold_epoch; /* times the upstream was marked cold */
	uint32_t in_flight;  /* granted and running */
	uint32_t running;
	bool ready; /* in_service has been set */
	bool in_service;
	bool draining;
	struct timespec last_tick;
	struct counter_set counters;
};

void guard_mark_cold(struct guard *guard, enum cold_cause cause);
void guard_count_refusal(struct guard *guard, enum refusal_reason reason);
/* End a call that did not run. */
void guard_release(struct guard *guard, struct admitted_call *call);
/* Estimate the wait of a call with ahead calls before it, in milliseconds. */
int64_t guard_expected_wait_ms(const struct guard *guard, uint32_t ahead);

#endif
