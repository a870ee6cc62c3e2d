#ifndef TREFOILHILL_GUARD_ADMISSION_H
#define TREFOILHILL_GUARD_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/upstream.h"

/*
 * Admission control for one upstream: a concurrency limit, a rate limit while
 * the upstream is cold or names one, and a short queue ordered by priority,
 * then by whether the request can still meet its objective, then by its latest
 * start (guard/queue_order). Each priority is guaranteed a part of the mean
 * share served (guard/class_share). Requests that are no longer expected to
 * start in time are refused at once. A pure state machine without I/O; times
 * are milliseconds of a monotonic clock.
 */
struct admission;

enum admission_reason {
	ADMISSION_OK,
	ADMISSION_FULL,        /* the queue is full */
	ADMISSION_TOO_LATE,    /* expected to start after its latest start */
	ADMISSION_EXPIRED,     /* still queued after its latest start */
	ADMISSION_DISPLACED,   /* evicted from the queue by a more urgent one */
	ADMISSION_CLOSED,      /* drained, out of service or not known */
	ADMISSION_UNREACHABLE, /* the upstream refuses connections */
	ADMISSION_REASON_COUNT,
};

enum admission_verdict {
	ADMISSION_RUN,
	ADMISSION_QUEUED, /* handle_dequeue will be called */
	ADMISSION_REFUSED,
};

enum admission_outcome {
	ADMISSION_SUCCEEDED,
	ADMISSION_FAILED,          /* the upstream responded with a failure */
	ADMISSION_SHED,            /* overloaded; the request did not start */
	ADMISSION_CONNECTION_LOST, /* the connection ended without a response */
	ADMISSION_RESET_FULL, /* the connection was lost at a full upstream */
	ADMISSION_CONNECTION_REFUSED,
	ADMISSION_CANCELLED,       /* no longer wanted by the caller */
	ADMISSION_TIMED_OUT,       /* given up on, no response for long */
	ADMISSION_DEADLINE_PASSED, /* the upstream responded with status 504 */
};

/*
 * A request that asks for admission. Embedded in the user's own structure; the
 * user sets the members up to handle_dequeue, the admission the others.
 */
struct admission_waiter {
	uint32_t priority;       /* 0 is the most urgent */
	bool late;               /* can't meet its latency objective */
	int64_t latest_start_ms; /* refused when it can't start by then */
	bool bulk;               /* large response */
	bool alone;              /* not beside another such request */
	uint32_t work_ms;        /* run time that the sender expects; 0: none */
	/*
	 * Called after the request has left the queue: with ADMISSION_OK it
	 * may start now, else it is refused.
	 */
	void (*handle_dequeue)(
	    struct admission_waiter *waiter, enum admission_reason reason);
	/* Private to the admission. */
	GList link;
	bool queued;
	bool promoted;   /* goes first, for the guaranteed share of its class */
	int64_t rank;    /* place in the queue's order, by priority */
	uint32_t run_us; /* expected run time at this upstream */
	int64_t since_ms;     /* time of the offer */
	uint32_t expected_ms; /* wait expected then */
};

struct admission_bounds {
	uint32_t queue_max;      /* requests */
	uint32_t pause_first_ms; /* after a refused connection; then doubled */
	uint32_t pause_max_ms;
};

struct admission *admission_new(const struct admission_bounds *bounds);
void admission_free(struct admission *admission);
/* Set the number of requests that the upstream can run at once. */
void admission_set_slots(struct admission *admission, uint32_t slots);
/* Limit the rate to per_s requests a second until until_ms. */
void admission_set_cold(
    struct admission *admission, int64_t until_ms, double per_s);
/*
 * Limit the rate to per_ks requests in 1,000 seconds; 0: no limit. Queued
 * requests that can't start in time by a new limit are refused.
 */
void admission_set_rate_limit(
    struct admission *admission, uint32_t per_ks, int64_t now_ms);
/*
 * Limit how many requests with large responses run at once; 0: no limit.
 * transfer_ms is the time that this host's network link needs for one such
 * response.
 */
void admission_set_bulk(
    struct admission *admission, uint32_t limit, uint32_t transfer_ms);
/* Open or close; a closed admission refuses new and queued requests. */
void admission_set_open(struct admission *admission, bool open);
/* Discard the statistics; for use when another upstream takes the place. */
void admission_reset(struct admission *admission);

/*
 * Start, queue or refuse a request; reason tells why it is refused. Queueing it
 * may refuse others, whose handlers may already have taken it out again.
 */
enum admission_verdict admission_offer(struct admission *admission,
    struct admission_waiter *waiter, int64_t now_ms,
    enum admission_reason *reason);
/* Remove a request from the queue without calling handle_dequeue. */
void admission_withdraw(
    struct admission *admission, struct admission_waiter *waiter);
/* Report how a started request ended, and start queued ones. */
void admission_finish(struct admission *admission,
    const struct admission_waiter *waiter, enum admission_outcome outcome,
    uint32_t latency_us, int64_t now_ms);
/* Is a request that has run for so long, without a response, overdue? */
bool admission_is_overdue(const struct admission *admission, int64_t run_ms);
/*
 * Start and expire queued requests; returns when to call again, 0: not
 * needed.
 */
int64_t admission_poll(struct admission *admission, int64_t now_ms);
/* True when the upstream was unreachable and has just responded again. */
bool admission_take_recovered(struct admission *admission);

struct load_report admission_report(
    const struct admission *admission, int64_t now_ms);
/*
 * Are as many requests running as the upstream takes, or some queued? Cancelled
 * ones may run on for a while.
 */
bool admission_is_full(const struct admission *admission, int64_t now_ms);
bool admission_is_idle(const struct admission *admission);
/* Requests of a class (guard/class_share) refused for a reason so far. */
uint64_t admission_refused_count(const struct admission *admission,
    enum admission_reason reason, uint32_t class);
const char *admission_reason_name(enum admission_reason reason);

#endif
