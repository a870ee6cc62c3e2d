#ifndef TREFOILHILL_GUARD_ADMISSION_PRIVATE_H
#define TREFOILHILL_GUARD_ADMISSION_PRIVATE_H

#include "guard/admission.h"
#include "guard/class_share.h"
#include "guard/latency_estimate.h"
#include "guard/pacer.h"

/* Internals of the admission; include only from its own sources. */
enum {
	MS_PER_S = 1000,
	COLD_WINDOW_MS = MS_PER_S, /* cold rates are per second */
	COLD_STARTS_MAX = 4096,
	/*
	 * Makes up for a late event loop. Small, since each process that starts
	 * within a second adds as much.
	 */
	COLD_BURST_US = 50 * 1000,
	RATE_BURST_US = 500 * 1000,
	FAILURE_WEIGHT = 16, /* weight of a new result in the rate: 1/16 */
	FAILURE_SCALE = 1000,
	FAILURE_HALF_LIFE_MS = 1500, /* old failures say little */
	LIMIT_SCALE = 16,            /* the limit is kept in sixteenths */
	LIMIT_FLOOR_DIVISOR = 2,     /* sheds never lower it below slots / 2 */
};

/* A started request. */
struct admission_run {
	const struct admission_waiter *waiter; /* identifies it, not followed */
	int64_t started_ms;
	uint32_t run_us; /* expected when it started */
	bool alone;
};

/*
 * admission_outcome.c uses admission.c and admission_report, admission.c uses
 * admission_wait, and all of them use admission_queue and admission_rate.
 */
struct admission {
	struct admission_bounds bounds;
	bool open;
	uint32_t slots;
	uint32_t limit; /* in units of 1 / LIMIT_SCALE request */
	uint32_t in_flight;
	uint32_t bulk_limit; /* 0: none */
	uint32_t bulk_transfer_ms;
	uint32_t bulk_in_flight;
	uint32_t bulk_queued;
	uint32_t alone_in_flight;
	uint32_t abandoned;   /* cancelled, may still run; halves with time */
	int64_t abandoned_ms; /* of the last of them */
	uint32_t passable; /* queued, bulk or alone: others may start before */
	GQueue queue;      /* struct admission_waiter *, most urgent first */
	int64_t cold_until_ms;
	double cold_per_s;
	struct pacer cold_pacer; /* by cold_per_s; counts while it is cold */
	struct pacer pacer;      /* by the limit that the upstream has named */
	GQueue starts; /* int64_t *, times of recent starts, oldest first */
	struct latency_estimate latency;
	GArray *runs; /* struct admission_run, in no order */
	struct class_share shares;
	uint64_t refused[ADMISSION_REASON_COUNT][CLASS_SHARE_COUNT];
	uint32_t failures_per_mille;
	int64_t failures_updated_ms; /* time of the last result */
	uint32_t pause_ms; /* length of the last pause; 0: reachable */
	int64_t paused_until_ms;
	bool recovered; /* not yet reported by admission_take_recovered */
};

/* admission_rate.c */
uint32_t admission_limit(const struct admission *admission);
bool admission_is_cold(const struct admission *admission, int64_t now_ms);
void admission_record_start(struct admission *admission,
    const struct admission_waiter *waiter, int64_t now_ms);
void admission_record_end(
    struct admission *admission, const struct admission_waiter *waiter);
int64_t admission_next_start_ms(struct admission *admission, int64_t now_ms);

/* admission_queue.c */
bool admission_is_bulk_full(const struct admission *admission);
bool admission_must_wait(
    const struct admission *admission, const struct admission_waiter *waiter);
void admission_enqueue(
    struct admission *admission, struct admission_waiter *waiter);
struct admission_waiter *admission_next_startable(struct admission *admission);
void admission_dequeue(struct admission *admission,
    struct admission_waiter *waiter, enum admission_reason reason);
void admission_remove_refused(struct admission *admission,
    struct admission_waiter *waiter, enum admission_reason reason);
void admission_refuse_queued(
    struct admission *admission, enum admission_reason reason);
void admission_count_refused(struct admission *admission,
    const struct admission_waiter *waiter, enum admission_reason reason);

/* admission_report.c */
uint32_t admission_failures_per_mille(
    const struct admission *admission, int64_t now_ms);

/* admission_wait.c */
struct admission_waiter *admission_find_infeasible(
    struct admission *admission, int64_t now_ms);
void admission_refuse_infeasible(struct admission *admission, int64_t now_ms);
int64_t admission_wait_ms(const struct admission *admission,
    const struct admission_waiter *waiter, int64_t now_ms);

#endif
