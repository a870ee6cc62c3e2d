#ifndef TREFOILHILL_GUARD_GUARD_H
#define TREFOILHILL_GUARD_GUARD_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/event.h"
#include "common/str.h"

/*
 * The one gate to an upstream, on the upstream's own host: decides for local
 * and remote entries alike, from local facts. Pure state machine without I/O;
 * the caller serializes the calls with a lock of its own.
 */
struct guard;

/* Why a call was refused before the upstream saw a byte of it. */
enum refusal_reason {
	REFUSAL_NONE,
	REFUSAL_LIMIT,      /* limit and queue are full */
	REFUSAL_QUEUE_WAIT, /* its turn would come too late */
	REFUSAL_DRAINING,
	REFUSAL_OUT_OF_SERVICE, /* host or zone is out of service */
	REFUSAL_FENCED, /* other incarnation or none, or a tick too old */
	REFUSAL_DEADLINE,
	REFUSAL_NOT_READY,   /* no configuration yet */
	REFUSAL_DUPLICATE,   /* same call is running or has run */
	REFUSAL_UNREACHABLE, /* upstream refused the connection */
	REFUSAL_UNKNOWN_UPSTREAM,
	REFUSAL_SHED, /* the upstream itself said: not begun */
	REFUSAL_TOO_LARGE,
	REFUSAL_CANCELLED,   /* the sender gave it up before its first byte */
	REFUSAL_RECORD_FULL, /* no room to remember that it ran */
	REFUSAL_COUNT,
};
const char *refusal_reason_name(enum refusal_reason reason);
/* False for REFUSAL_DUPLICATE alone: the earlier copy may have run. */
bool refusal_is_not_run(enum refusal_reason reason);

/* What a guard says of itself; piggybacked on each answer, a hint only. */
struct guard_hint {
	uint64_t incarnation;
	uint64_t tick;
	uint32_t limit;
	uint32_t in_flight;
	uint32_t queued;
	uint32_t latency_us; /* recent mean in the upstream */
	bool accepting;
};

struct guard_settings {
	uint64_t incarnation;
	uint32_t slots;      /* of the upstream */
	uint32_t cold_limit; /* calls at once that a cold upstream may get */
	uint32_t queue_limit;
	uint32_t queue_wait_ms;
	uint32_t tick_ms;
	uint32_t tick_bound;    /* ticks after which an OPEN is too old */
	uint32_t once_entries;  /* bound of the at-most-once record */
	uint32_t once_lease_ms; /* how long a call that ran is remembered */
	struct str upstream;    /* its name, for events; copied */
};

/*
 * One OPEN. A sender without a hint (incarnation 0) is always refused as
 * REFUSAL_FENCED and sends again at once with the hint that came back. The
 * sender takes the hint before it works out the remaining time, and numbers
 * each OPEN of a request anew, those after a fence included.
 */
struct guard_call {
	uint64_t incarnation; /* of the guard that the sender knew; 0: none */
	uint64_t tick;        /* last tick that the sender saw */
	struct str request;   /* request id */
	struct str key;       /* Idempotency-Key, empty if none */
	uint32_t attempt;     /* number of this OPEN of the request, from 0 */
	bool idempotent;
	struct timespec deadline; /* on this host's monotonic clock */
};

enum guard_decision {
	GUARD_RUN,   /* dispatch now */
	GUARD_QUEUE, /* guard_next names it when its turn comes */
	GUARD_REFUSE,
};

enum guard_outcome {
	OUTCOME_OK,
	OUTCOME_SHED,    /* the upstream refused to begin: not run */
	OUTCOME_REFUSED, /* connection refused: not run */
	OUTCOME_FAILED,  /* 5xx or broken answer */
	OUTCOME_TIMEOUT,
	OUTCOME_CANCELLED,
};

/*
 * A new guard refuses with REFUSAL_NOT_READY until guard_set_in_service is
 * called for the first time. A ticket ends with a refusal by guard_confirm or
 * guard_next, with guard_complete, or with guard_cancel while it is queued.
 */
struct guard *guard_new(const struct guard_settings *settings,
    struct clock *clock, struct event_log *events);
void guard_free(struct guard *guard);
/* Every tick_ms; a late tick shows that this process was frozen. */
void guard_tick(struct guard *guard);
/* Decide one call; ticket names it in later calls. */
enum guard_decision guard_admit(struct guard *guard,
    const struct guard_call *call, uint64_t *ticket,
    enum refusal_reason *reason);
/* Re-check a call right before its first byte goes to the upstream. */
bool guard_confirm(
    struct guard *guard, uint64_t ticket, enum refusal_reason *reason);
/* Next queued call that may run now, or that has to be refused now. */
bool guard_next(struct guard *guard, uint64_t *ticket,
    enum guard_decision *decision, enum refusal_reason *reason);
/*
 * The sender gave the call up. True: it was still queued and has ended, not
 * run. False: guard_confirm will refuse it, or guard_complete has to follow.
 */
bool guard_cancel(struct guard *guard, uint64_t ticket);
void guard_complete(struct guard *guard, uint64_t ticket,
    enum guard_outcome outcome, uint32_t latency_us);
void guard_set_in_service(struct guard *guard, bool in_service);
void guard_drain(struct guard *guard);
bool guard_is_idle(const struct guard *guard);
struct guard_hint guard_hint(const struct guard *guard);
/* When a refused caller should come back, spread at random by the entry. */
uint32_t guard_retry_after_ms(
    const struct guard *guard, enum refusal_reason reason);
const struct counter_set *guard_counters(const struct guard *guard);

#endif
