#ifndef TREFOILHILL_GUARD_GUARD_H
#define TREFOILHILL_GUARD_GUARD_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/event.h"
#include "common/str.h"

/*
 * Admission control for one upstream. Runs on the upstream's host and decides
 * on calls from local and remote senders alike, using local state only. A pure
 * state machine without I/O; not thread-safe, so the user has to serialize
 * access.
 */
struct guard;

/* Why a call was refused before the upstream saw a byte of it. */
enum refusal_reason {
	REFUSAL_NONE,
	REFUSAL_LIMIT,      /* concurrency limit and queue are full */
	REFUSAL_QUEUE_WAIT, /* the wait in the queue would be too long */
	REFUSAL_DRAINING,
	REFUSAL_OUT_OF_SERVICE, /* host or zone is out of service */
	REFUSAL_FENCED,      /* missing or wrong incarnation, or stale tick */
	REFUSAL_DEADLINE,    /* deadline has passed */
	REFUSAL_NOT_READY,   /* no configuration yet */
	REFUSAL_DUPLICATE,   /* same call is running or has run */
	REFUSAL_UNREACHABLE, /* upstream refused the connection */
	REFUSAL_UNKNOWN_UPSTREAM,
	REFUSAL_SHED, /* the upstream rejected it without starting it */
	REFUSAL_TOO_LARGE,
	REFUSAL_CANCELLED,   /* cancelled by the sender before dispatch */
	REFUSAL_RECORD_FULL, /* no free entry in the deduplication record */
	REFUSAL_COUNT,
};
const char *refusal_reason_name(enum refusal_reason reason);
/* False for REFUSAL_DUPLICATE alone: the earlier copy may have run. */
bool refusal_is_not_run(enum refusal_reason reason);

/*
 * State that a guard reports with each response. Advisory: it may be out of
 * date when it arrives.
 */
struct guard_hint {
	uint64_t incarnation;
	uint64_t tick;
	uint32_t limit;
	uint32_t in_flight;
	uint32_t queued;
	uint32_t latency_us; /* moving average, upstream only */
	bool accepting;
};

struct guard_settings {
	uint64_t incarnation;
	uint32_t slots;         /* calls the upstream can run at once */
	uint32_t cold_limit;    /* concurrent calls to a cold upstream */
	uint32_t queue_limit;   /* calls */
	uint32_t queue_wait_ms; /* maximum time in the queue */
	uint32_t tick_ms;
	uint32_t tick_bound;     /* maximum age of the tick in an OPEN */
	uint32_t dedup_entries;  /* capacity of the deduplication record */
	uint32_t dedup_lease_ms; /* retention of calls that may have run */
	struct str upstream;     /* name used in events; copied */
};

/*
 * One OPEN. A sender that has no hint yet (incarnation 0) is always refused
 * with REFUSAL_FENCED and immediately retries with the hint from that refusal.
 * The sender must read the hint before it computes the remaining time, and
 * must give every OPEN of a request a new attempt number, also when it retries
 * after REFUSAL_FENCED.
 */
struct guard_call {
	uint64_t incarnation; /* from the sender's last hint; 0: no hint */
	uint64_t tick;        /* from the sender's last hint */
	struct str request;   /* request id */
	struct str key;       /* Idempotency-Key, empty if none */
	uint32_t attempt;     /* number of this OPEN of the request, from 0 */
	bool idempotent;
	struct timespec deadline; /* on this host's monotonic clock */
};

enum guard_decision {
	GUARD_RUN,   /* dispatch now */
	GUARD_QUEUE, /* queued; guard_dequeue returns it later */
	GUARD_REFUSE,
};

enum guard_outcome {
	OUTCOME_OK,
	OUTCOME_SHED,               /* rejected by the upstream; did not run */
	OUTCOME_CONNECTION_REFUSED, /* connection refused; did not run */
	OUTCOME_FAILED,             /* 5xx, or no complete response */
	OUTCOME_TIMEOUT,
	OUTCOME_CANCELLED,
};

/*
 * A new guard refuses with REFUSAL_NOT_READY until the first call of
 * guard_set_in_service. A ticket is valid until guard_confirm or guard_dequeue
 * refuses the call, until guard_complete, or until guard_cancel while the call
 * is queued.
 */
struct guard *guard_new(const struct guard_settings *settings,
    struct clock *clock, struct event_log *events);
void guard_free(struct guard *guard);
/* Has to be called every tick_ms; a late call shows that the process hung. */
void guard_tick(struct guard *guard);
/* Decide on a call. On GUARD_RUN and GUARD_QUEUE, ticket identifies it. */
enum guard_decision guard_admit(struct guard *guard,
    const struct guard_call *call, uint64_t *ticket,
    enum refusal_reason *reason);
/* Check a call again right before its first byte goes to the upstream. */
bool guard_confirm(
    struct guard *guard, uint64_t ticket, enum refusal_reason *reason);
/* Dequeue the next call that may run or has to be refused now. */
bool guard_dequeue(struct guard *guard, uint64_t *ticket,
    enum guard_decision *decision, enum refusal_reason *reason);
/*
 * Cancel a call for its sender. True: it was still queued; it did not run and
 * its ticket is invalid now. False: guard_confirm will refuse it, or
 * guard_complete has to follow.
 */
bool guard_cancel(struct guard *guard, uint64_t ticket);
void guard_complete(struct guard *guard, uint64_t ticket,
    enum guard_outcome outcome, uint32_t latency_us);
void guard_set_in_service(struct guard *guard, bool in_service);
void guard_drain(struct guard *guard);
bool guard_is_idle(const struct guard *guard);
struct guard_hint guard_hint(const struct guard *guard);
/* Time after which a refused caller should retry; the sender adds jitter. */
uint32_t guard_retry_after_ms(
    const struct guard *guard, enum refusal_reason reason);
const struct counter_set *guard_counters(const struct guard *guard);

#endif
