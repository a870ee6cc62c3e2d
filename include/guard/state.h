#ifndef TREFOILHILL_GUARD_STATE_H
#define TREFOILHILL_GUARD_STATE_H

#include "guard/fence.h"
#include "guard/guard.h"
#include "guard/held_call.h"
#include "guard/limiter.h"
#include "guard/once.h"
#include "guard/stats.h"

/* Insides of the guard, shared by its sources alone. */
struct guard {
	struct guard_settings settings;
	struct clock *clock;
	struct event_log *events;
	struct fence fence;
	struct limiter limiter;
	struct once_record *once;
	GHashTable *calls; /* ticket to struct held_call, all phases */
	GQueue queue;      /* struct held_call *, oldest first */
	uint64_t next_ticket;
	uint64_t epoch;     /* turns to cold so far */
	uint32_t in_flight; /* granted and running */
	uint32_t running;
	bool ready;
	bool in_service;
	bool draining;
	struct timespec last_tick;
	struct counter_set counters;
};

void guard_chill(struct guard *guard, enum cold_cause cause);
void guard_refuse(struct guard *guard, enum refusal_reason reason);
/* End a held call that did not run. */
void guard_release(struct guard *guard, struct held_call *call);
/* Milliseconds until the turn of a call behind so many others. */
int64_t guard_expected_wait_ms(const struct guard *guard, uint32_t ahead);

#endif
