#ifndef TREFOILHILL_GUARD_ADMISSION_H
#define TREFOILHILL_GUARD_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/upstream.h"

/*
 * Decides which requests the one upstream behind it gets, and when: a limit
 * of requests at once, a rate while the upstream is cold, and a short queue:
 * by priority, then what can still be on time, then by the latest start. Pure
 * state, without I/O; times are milliseconds of a steady clock.
 */
struct admission;

enum admission_reason {
	ADMISSION_OK,
	ADMISSION_FULL,        /* no place in the queue */
	ADMISSION_TOO_LATE,    /* its turn would come too late */
	ADMISSION_EXPIRED,     /* its turn did not come in time */
	ADMISSION_DISPLACED,   /* its place went to a more urgent request */
	ADMISSION_CLOSED,      /* drained, out of service or not known */
	ADMISSION_UNREACHABLE, /* the upstream takes no connections */
	ADMISSION_REASON_COUNT,
};

enum admission_verdict {
	ADMISSION_RUN,
	ADMISSION_QUEUED, /* handle_turn follows */
	ADMISSION_REFUSED,
};

enum admission_outcome {
	ADMISSION_GOOD,
	ADMISSION_FAILED, /* the upstream answered with a failure */
	ADMISSION_SHED,   /* it did not begin the request: it is full */
	ADMISSION_BROKEN, /* the connection ended without an answer */
	ADMISSION_REFUSED_CONNECTION,
	ADMISSION_CANCELLED, /* nobody waits for the answer any more */
	ADMISSION_MISSED,    /* its deadline passed */
};

/* A request at the gate. The owner embeds it and fills the first part. */
struct admission_waiter {
	uint32_t priority;       /* 0 goes first */
	bool late;               /* can't be answered within its objective */
	int64_t latest_start_ms; /* no use in starting it later */
	bool bulk;               /* its answer is large */
	/* Its turn has come, or why it never will. */
	void (*handle_turn)(
	    struct admission_waiter *waiter, enum admission_reason reason);
	/* The admission's own. */
	GList link;
	bool queued;
	int64_t since_ms;
};

struct admission_bounds {
	uint32_t queue_max;
	uint32_t pause_first_ms; /* after a refused connection */
	uint32_t pause_max_ms;
};

struct admission *admission_new(const struct admission_bounds *settings);
void admission_free(struct admission *admission);
/* How many requests at once the upstream works on. */
void admission_set_slots(struct admission *admission, uint32_t slots);
/* How many requests a second a cold upstream bears, and for how long. */
void admission_set_cold(
    struct admission *admission, int64_t until_ms, double per_s);
/*
 * How many requests with large answers may run at once, and how long the link
 * of this host takes for such an answer; 0: the link is no limit.
 */
void admission_set_bulk(
    struct admission *admission, uint32_t limit, uint32_t transfer_ms);
/* A closed one refuses what comes and what is queued. */
void admission_set_open(struct admission *admission, bool open);
/* The upstream at the gate is another one now: forget what was learned. */
void admission_reset(struct admission *admission);

enum admission_verdict admission_offer(struct admission *admission,
    struct admission_waiter *waiter, int64_t now_ms,
    enum admission_reason *reason);
/* A queued one is no longer wanted. */
void admission_withdraw(
    struct admission *admission, struct admission_waiter *waiter);
/* A request that ran has ended; queued ones may get their turn. */
void admission_finish(struct admission *admission,
    const struct admission_waiter *waiter, enum admission_outcome outcome,
    uint32_t latency_us, int64_t now_ms);
/* Start and expire queued ones; returns when to call again, 0: not needed. */
int64_t admission_poll(struct admission *admission, int64_t now_ms);
/* True when the upstream was unreachable and has just answered again. */
bool admission_take_returned(struct admission *admission);

struct load_report admission_report(
    const struct admission *admission, int64_t now_ms);
bool admission_is_idle(const struct admission *admission);
const char *admission_reason_name(enum admission_reason reason);

#endif
