#ifndef TREFOILHILL_TESTS_CALL_SIM_H
#define TREFOILHILL_TESTS_CALL_SIM_H

#include <glib.h>

#include "fake_snapshot.h"
#include "guard/guard.h"
#include "route/choice.h"
#include "route/retry.h"

/*
 * Discrete-event simulation of one entry, two guards with their upstreams and
 * the links between them, on a fake clock. Guard, chooser and retry objects are
 * real, the rest are small fakes. A fault is injected when the subject call
 * reaches a given step. Guard 0 is in the entry's zone and receives the
 * subject.
 */
enum {
	SIM_GUARDS = 2,
	SIM_CALLS = 12,
	SIM_SUBJECT = 1,
	SIM_RECOVERY_PROBE = SIM_CALLS - 1, /* after all faults are over */
	SIM_FAULTS = 2,
	SIM_RESPONSE_FRAMES = 2, /* frames of a response */
};

enum process_id {
	PROCESS_ENTRY,
	PROCESS_GUARD,                                 /* plus index */
	PROCESS_UPSTREAM = PROCESS_GUARD + SIM_GUARDS, /* plus index */
	PROCESS_COUNT = PROCESS_UPSTREAM + SIM_GUARDS,
};

enum step {
	STEP_ACCEPTED,
	STEP_PICKED,
	STEP_OPEN_SENT,
	STEP_ADMITTED,
	STEP_CONFIRMED,
	STEP_RUNNING,
	STEP_WORK_DONE,
	STEP_RESPONSE_SENT,
	STEP_FIRST_FRAME,
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
	FAULT_FRAME_LATE,
	FAULT_FRAME_LOST,
	FAULT_FRAME_DUPLICATED,      /* the copy arrives during the call */
	FAULT_FRAME_DUPLICATED_LATE, /* after the call, within the fence */
	FAULT_FRAME_DUPLICATED_OLD,  /* after the call, beyond the fence */
	FAULT_FRAME_REORDERED,
	FAULT_ZONE_OUT,
	FAULT_ZONE_OUT_ENTRY_ONLY, /* the guard misses the change */
	FAULT_ZONE_OUT_GUARD_ONLY, /* the entry misses the change */
	FAULT_COUNT,
};

enum check {
	CHECK_AT_MOST_ONCE,      /* not idempotent: at most one run */
	CHECK_NOT_RUN,           /* reported as not run: no run */
	CHECK_COMPLETE_RESPONSE, /* all frames, and of this call */
	CHECK_ANSWERED_IN_TIME,  /* a response or a typed error, in time */
	/* An upstream is overloaded only after an unexpected cold start. */
	CHECK_COLD_LIMIT,
	CHECK_NO_WORK_WHEN_OUT, /* none 3 s after its zone is out of service */
	CHECK_RECOVERED,
	CHECK_COUNT,
};

/* Rules that can be disabled, to verify that the checks detect it. */
enum variant {
	VARIANT_CORRECT,
	VARIANT_NO_FENCE,
	VARIANT_RETRY_UNKNOWN,
	VARIANT_REFUSE_AFTER_DISPATCH,
	VARIANT_NO_DEDUP_RECORD,
	VARIANT_TRUST_ANY_REFUSAL, /* of any incarnation */
	VARIANT_ACCEPT_TRUNCATED_RESPONSE,
	VARIANT_NO_CONFIRM,
	VARIANT_COUNT,
};

struct sim_fault {
	enum step step;
	enum fault fault;
};

struct sim_scenario {
	enum variant variant;
	bool idempotent;
	bool first_contact; /* the entry has no hint for the subject */
	bool warm;          /* guards and upstreams are initially warm */
	bool long_work;     /* the subject runs for seconds */
	struct sim_fault faults[SIM_FAULTS];
	uint64_t seed;
};

struct sim_report {
	uint32_t violations[CHECK_COUNT];
	uint64_t digest; /* of all events in order */
};

void sim_run(const struct sim_scenario *scenario, struct sim_report *report);

/* The declarations below are private to the sources of the simulation. */
enum sim_event_type {
	EV_START, /* a caller's request */
	EV_PICK,
	EV_SEND,
	EV_DEADLINE,
	EV_PEER_LOST,
	EV_OPEN,
	EV_CANCEL,
	EV_DISPATCH,
	EV_GUARD_DEADLINE,
	EV_TICK,
	EV_REFUSED,
	EV_FAILED,
	EV_RESPONSE_FRAME,
	EV_WORK,
	EV_WORK_DONE,
	EV_OUTCOME,
	EV_NEXT_FRAME,
	EV_ABORT,
	EV_RESTART,
	EV_SET_IN_SERVICE,
};

struct sim_event {
	int64_t at_ms;
	uint64_t sequence;
	enum sim_event_type type;
	enum process_id target;
	uint32_t generation; /* of the process; 0: any */
	int call;
	uint32_t attempt;
	int guard; /* that sent the frame */
	uint64_t ticket;
	bool running; /* confirmed by the guard */
	uint32_t guard_generation;
	uint64_t key;  /* of the work at the upstream */
	int64_t value; /* remaining ms, outcome, frame number or in service */
	enum refusal_reason reason;
	struct guard_hint hint;
};

struct process {
	uint32_t generation;
	bool alive;
	int64_t frozen_until_ms;
};

enum call_result {
	RESULT_PENDING,
	RESULT_OK,
	RESULT_NOT_RUN,
	RESULT_UNKNOWN,
	RESULT_ABORTED, /* the caller's connection broke, or the response did */
};

struct sim_call {
	bool idempotent;
	enum call_result result;
	int64_t ended_ms;
	int64_t deadline_ms;
	uint32_t runs;
	/* State of the entry. */
	uint32_t attempt; /* number of the current OPEN */
	uint32_t retries;
	uint32_t fenced;
	bool sent;
	bool may_have_run; /* by an earlier attempt */
	int64_t frames_received;
	int guard;
	struct guard_hint known;
	const struct record *tried[CHOICE_TRIED_MAX];
	size_t tried_count;
};

struct sim_upstream {
	uint32_t completed;   /* since it was cold */
	GHashTable *working;  /* key to struct sim_event */
	uint32_t cold_starts; /* unannounced or by restart */
	uint32_t overloads;
	uint32_t failures_seen; /* by the guard, consecutive since cold start */
	int64_t failing_until_ms;
	int64_t hung_until_ms;
};

struct sim {
	struct sim_scenario scenario;
	struct sim_report *report;
	struct fake_clock clock;
	struct rng *rng;
	struct snapshot snapshot;
	struct process processes[PROCESS_COUNT];
	struct chooser *chooser;
	struct retry_budget *budget;
	struct guard *guards[SIM_GUARDS];
	GHashTable *open[SIM_GUARDS]; /* ticket to struct sim_event */
	bool ticking[SIM_GUARDS];
	struct sim_upstream upstreams[SIM_GUARDS];
	struct sim_call calls[SIM_CALLS];
	GSequence *event_queue;
	uint64_t next_sequence;
	bool injected[SIM_FAULTS];
	int64_t cut_until_ms[2];     /* by enum link_direction */
	enum fault next_frame_fault; /* applies to the next frame */
	int64_t frame_fault_until_ms;
	bool guard_notified;   /* that its zone is out of service */
	int64_t out_since_ms;  /* of guard 0's zone; 0: in service */
	bool guard_in_service; /* by the configuration of guard 0 */
};

enum link_direction {
	LINK_TO_GUARD,
	LINK_TO_ENTRY,
};

int64_t sim_now_ms(const struct sim *sim);
void sim_schedule(struct sim *sim, struct sim_event event, int64_t delay_ms);
/* Send a frame over the link between the entry and a guard. */
void sim_send_frame(struct sim *sim, enum link_direction direction, int guard,
    struct sim_event event);
void sim_reach_step(struct sim *sim, int call, enum step step);
void sim_postpone(struct sim *sim, struct sim_event event, int64_t at_ms);
void sim_refuse_connection(struct sim *sim, const struct sim_event *event);
void sim_restart_process(struct sim *sim, enum process_id id);
void sim_inject_fault(struct sim *sim, enum fault fault);
void sim_record_violation(struct sim *sim, enum check check);
void sim_start_entry(struct sim *sim);
void sim_start_guard(struct sim *sim, int index);

void entry_handle_event(struct sim *sim, const struct sim_event *event);
void entry_finish_call(struct sim *sim, int call, enum call_result result);
void guard_handle_event(
    struct sim *sim, int index, const struct sim_event *event);
void upstream_handle_event(
    struct sim *sim, int index, const struct sim_event *event);
void upstream_break_connections(struct sim *sim, int index);
/* An event from a guard to its upstream about one of its calls. */
struct sim_event upstream_event(struct sim *sim, int index,
    enum sim_event_type type, const struct sim_event *call);

#endif
