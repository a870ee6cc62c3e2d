#ifndef TREFOILHILL_TESTS_CALL_WORLD_H
#define TREFOILHILL_TESTS_CALL_WORLD_H

#include <glib.h>

#include "fake_snapshot.h"
#include "guard/guard.h"
#include "route/choice.h"
#include "route/retry.h"

/*
 * One entry, two guards with their upstreams, and the links between them,
 * under one fake clock: real guard, chooser and retry objects, the rest small
 * fakes. Faults strike when the subject call reaches a step. Guard 0 stands in
 * the entry's zone and is where the subject goes.
 */
enum {
	WORLD_GUARDS = 2,
	WORLD_CALLS = 12,
	WORLD_SUBJECT = 1,
	WORLD_PROBE = WORLD_CALLS - 1, /* after all faults are over */
	WORLD_FAULTS = 2,
	WORLD_PARTS = 2, /* an answer comes in so many frames */
};

enum process_id {
	PROCESS_ENTRY,
	PROCESS_GUARD,                                   /* plus index */
	PROCESS_UPSTREAM = PROCESS_GUARD + WORLD_GUARDS, /* plus index */
	PROCESS_COUNT = PROCESS_UPSTREAM + WORLD_GUARDS,
};

enum step {
	STEP_ACCEPTED,
	STEP_PICKED,
	STEP_OPEN_SENT,
	STEP_ADMITTED,
	STEP_CONFIRMED,
	STEP_RUNNING,
	STEP_WORK_DONE,
	STEP_ANSWER_SENT,
	STEP_FIRST_PART,
	STEP_COUNT,
};

enum fault {
	FAULT_NONE,
	FAULT_ENTRY_KILLED,
	FAULT_ENTRY_RESTARTED,
	FAULT_ENTRY_FROZEN,
	FAULT_GUARD_KILLED,
	FAULT_GUARD_RESTARTED,
	FAULT_GUARD_FROZEN,
	FAULT_UPSTREAM_KILLED,
	FAULT_UPSTREAM_RESTARTED,
	FAULT_UPSTREAM_FROZEN,
	FAULT_UPSTREAM_COLD,
	FAULT_UPSTREAM_HUNG,
	FAULT_CUT_TO_GUARD,
	FAULT_CUT_TO_ENTRY,
	FAULT_CUT_BOTH,
	FAULT_MESSAGE_LATE,
	FAULT_MESSAGE_LOST,
	FAULT_MESSAGE_DOUBLED,      /* the copy comes while the call runs */
	FAULT_MESSAGE_DOUBLED_LATE, /* after it, within the fence */
	FAULT_MESSAGE_DOUBLED_OLD,  /* and when the fence has passed it */
	FAULT_MESSAGE_CROSSED,
	FAULT_ZONE_OUT,
	FAULT_ZONE_OUT_ENTRY_ONLY, /* the guard is cut off from the news */
	FAULT_ZONE_OUT_GUARD_ONLY,
	FAULT_COUNT,
};

enum check {
	CHECK_ONCE,     /* not idempotent: at most one run */
	CHECK_NOT_RUN,  /* told "not run": no run */
	CHECK_ANSWER,   /* whole and its own */
	CHECK_ANSWERED, /* an answer or a typed error, in time */
	CHECK_COLD,     /* a cold upstream is overloaded only unannounced */
	CHECK_OUT,      /* no new work 3 s after "out" */
	CHECK_RECOVERED,
	CHECK_COUNT,
};

/* The rules that can be switched off, to see that the checks find it. */
enum variant {
	VARIANT_RIGHT,
	VARIANT_NO_FENCE,
	VARIANT_RETRY_UNKNOWN,
	VARIANT_REFUSE_AFTER_DISPATCH,
	VARIANT_NO_ONCE_RECORD,
	VARIANT_TRUST_ANY_REFUSAL, /* of whichever incarnation */
	VARIANT_END_CUT_ANSWER,
	VARIANT_NO_CONFIRM,
	VARIANT_COUNT,
};

struct planned_fault {
	enum step step;
	enum fault fault;
};

struct world_plan {
	enum variant variant;
	bool idempotent;
	bool first_contact; /* the subject knows no hint */
	bool warm;          /* guards and upstreams are warm at first */
	bool long_work;     /* the subject works for seconds */
	struct planned_fault faults[WORLD_FAULTS];
	uint64_t seed;
};

struct world_verdict {
	uint32_t broken[CHECK_COUNT];
	uint64_t digest; /* of all that happened */
};

void world_run(const struct world_plan *plan, struct world_verdict *verdict);

/* What follows is shared by the sources of the world alone. */
enum happening {
	HAPPEN_START, /* a caller's request */
	HAPPEN_PICK,
	HAPPEN_SEND,
	HAPPEN_DEADLINE,
	HAPPEN_PEER_LOST,
	HAPPEN_OPEN,
	HAPPEN_CANCEL,
	HAPPEN_DISPATCH,
	HAPPEN_GUARD_DEADLINE,
	HAPPEN_TICK,
	HAPPEN_REFUSED,
	HAPPEN_FAILED,
	HAPPEN_PART,
	HAPPEN_WORK,
	HAPPEN_WORK_DONE,
	HAPPEN_OUTCOME,
	HAPPEN_NEXT_PART,
	HAPPEN_ABORT,
	HAPPEN_REVIVE,
	HAPPEN_SET_SERVICE,
};

struct event_item {
	int64_t at_ms;
	uint64_t sequence;
	enum happening what;
	enum process_id to;
	uint32_t generation; /* of the process; 0: whichever lives */
	int call;
	uint32_t attempt;
	int guard; /* that sent the frame */
	uint64_t ticket;
	bool running; /* confirmed by the guard */
	uint32_t guard_generation;
	uint64_t key;  /* of the work at the upstream */
	int64_t value; /* remaining time, outcome, part or "in service" */
	enum refusal_reason reason;
	struct guard_hint hint;
};

struct process {
	uint32_t generation;
	bool alive;
	int64_t frozen_until_ms;
};

enum call_result {
	RESULT_OPEN,
	RESULT_OK,
	RESULT_NOT_RUN,
	RESULT_UNKNOWN,
	RESULT_CUT, /* the caller's connection broke, or the answer did */
};

struct world_call {
	bool idempotent;
	enum call_result result;
	int64_t ended_ms;
	int64_t deadline_ms;
	uint32_t runs;
	/* What the entry keeps. */
	uint32_t attempt; /* number of the OPEN that is out */
	uint32_t retries;
	uint32_t fenced;
	bool sent;
	bool may_have_run; /* by an earlier attempt */
	int64_t parts;
	int guard;
	struct guard_hint known;
	const struct record *tried[CHOICE_TRIED_MAX];
	size_t tried_count;
};

struct world_upstream {
	uint32_t completed;  /* since it was cold */
	GHashTable *working; /* key to struct event_item */
	uint32_t turns;      /* to cold, unannounced or by restart */
	uint32_t overloads;
	uint32_t failures_seen; /* by the guard, in a row since a turn */
	int64_t failing_until_ms;
	int64_t hung_until_ms;
};

struct world {
	struct world_plan plan;
	struct world_verdict *verdict;
	struct fake_clock clock;
	struct rng *rng;
	struct snapshot snapshot;
	struct process processes[PROCESS_COUNT];
	struct chooser *chooser;
	struct retry_budget *budget;
	struct guard *guards[WORLD_GUARDS];
	GHashTable *open[WORLD_GUARDS]; /* ticket to struct event_item */
	bool ticking[WORLD_GUARDS];
	struct world_upstream upstreams[WORLD_GUARDS];
	struct world_call calls[WORLD_CALLS];
	GSequence *agenda;
	uint64_t next_sequence;
	bool fired[WORLD_FAULTS];
	int64_t cut_until_ms[2]; /* to the guard, to the entry */
	enum fault next_message; /* what happens to the next frame */
	int64_t armed_until_ms;
	bool guard_told;       /* that its zone is out */
	int64_t out_since_ms;  /* of guard 0's zone; 0: in service */
	bool guard_in_service; /* what the configuration tells guard 0 */
};

enum link_way {
	LINK_TO_GUARD,
	LINK_TO_ENTRY,
};

int64_t world_now(const struct world *world);
void world_push(struct world *world, struct event_item item, int64_t delay_ms);
/* Send a frame over the link between the entry and a guard. */
void world_send(
    struct world *world, enum link_way way, int guard, struct event_item item);
void world_step(struct world *world, int call, enum step step);
void world_push_again(
    struct world *world, struct event_item item, int64_t at_ms);
void world_refuse_connection(
    struct world *world, const struct event_item *item);
void world_revive(struct world *world, enum process_id id);
void world_strike(struct world *world, enum fault fault);
void world_break(struct world *world, enum check check);
void world_start_entry(struct world *world);
void world_start_guard(struct world *world, int index);

void entry_handle(struct world *world, const struct event_item *item);
void entry_end(struct world *world, int call, enum call_result result);
void guard_handle(
    struct world *world, int index, const struct event_item *item);
void upstream_handle(
    struct world *world, int index, const struct event_item *item);
void upstream_break(struct world *world, int index);
/* What a guard sends to its upstream about one of its calls. */
struct event_item upstream_item(struct world *world, int index,
    enum happening what, const struct event_item *call);

#endif
