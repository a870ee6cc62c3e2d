#ifndef TREFOILHILL_GUARD_GUARD_PRIVATE_H
#define TREFOILHILL_GUARD_GUARD_PRIVATE_H

#include "guard/admitted_call.h"
#include "guard/dedup_record.h"
#include "guard/fence.h"
#include "guard/guard.h"
#include "guard/limiter.h"
#include "guard/stats.h"

/* Insides of the guard, shared by its sources alone. */
struct guard {
	struct guard_settings settings;
	struct clock *clock;
	struct event_log *events;
	struct fence fence;
	struct limiter limiter;
	struct dedup_record *dedup;
	GHashTable *calls; /* ticket to struct admitted_call, all phases */
	GQueue queue;      /* struct admitted_call *, oldest first */
	uint64_t next_ticket;
	uint64_t cold_epoch; /* turns to cold so far */
	uint32_t in_flight;  /* granted and running */
	uint32_t running;
	bool ready;
	bool in_service;
	bool draining;
	struct timespec last_tick;
	struct counter_set counters;
};

void guard_mark_cold(struct guard *guard, enum cold_cause cause);
void guard_count_refusal(struct guard *guard, enum refusal_reason reason);
/* End a held call that did not run. */
void guard_release(struct guard *guard, struct admitted_call *call);
/* Milliseconds until the turn of a call behind so many others. */
int64_t guard_expected_wait_ms(const struct guard *guard, uint32_t ahead);

#endif
