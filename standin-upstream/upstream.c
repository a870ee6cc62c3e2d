#include <glib.h>

#include "standin-platform/http.h"
#include "standin-upstream/upstream.h"

enum {
	RUNS_MAX = 262144,
	QUEUE_POLL_MS = 20,
};

/* Return the current state; the lock is held. */
static struct status_report
current_status(struct upstream *upstream)
{
	const struct work_gate *gate = &upstream->gate;
	struct timespec now = clock_now(upstream->clock);
	struct status_report report = {
		.at = now,
		.cold = gate->cold,
		.draining = gate->draining,
		.failed = work_gate_is_failed(gate, now),
		.busy = gate->busy,
		.queued = gate->queued,
		.limit = work_gate_limit(gate),
	};

	return report;
}

static void *
sample_status(void *arg)
{
	struct upstream *upstream = arg;
	struct timespec pause = timespec_from_ms(STATUS_SAMPLE_MS);

	while (!atomic_load(&upstream->stopping)) {
		struct status_report report;

		pthread_mutex_lock(&upstream->lock);
		report = current_status(upstream);
		status_history_add(&upstream->history, &report);
		pthread_mutex_unlock(&upstream->lock);
		nanosleep(&pause, NULL);
	}
	return NULL;
}

/*
 * Return a new upstream, not yet served over HTTP. The options must outlive
 * it; the caller frees it with upstream_free.
 */
struct upstream *
upstream_new(const struct upstream_options *options)
{
	struct upstream *upstream = g_new0(struct upstream, 1);
	pthread_condattr_t attr;
	struct status_report report;

	upstream->options = options;
	upstream->clock = clock_system();
	pthread_mutex_init(&upstream->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&upstream->slot_free, &attr);
	pthread_condattr_destroy(&attr);
	work_gate_init(&upstream->gate, options->slots, options->queue_limit,
	    options->cold);
	atomic_store(&upstream->cold_slowdown, options->cold_slowdown);
	upstream->runs = run_log_new(RUNS_MAX);
	report = current_status(upstream);
	status_history_add(&upstream->history, &report);
	pthread_create(&upstream->sampler, NULL, sample_status, upstream);
	return upstream;
}

/*
 * End every waiting request. Call this before stopping the server.
 */
void
upstream_stop(struct upstream *upstream)
{
	atomic_store(&upstream->stopping, true);
	pthread_cond_broadcast(&upstream->slot_free);
}

/*
 * Free an upstream whose server has stopped. NULL is allowed.
 */
void
upstream_free(struct upstream *upstream)
{
	if (upstream == NULL)
		return;
	upstream_stop(upstream);
	pthread_join(upstream->sampler, NULL);
	run_log_free(upstream->runs);
	pthread_cond_destroy(&upstream->slot_free);
	pthread_mutex_destroy(&upstream->lock);
	g_free(upstream);
}

static void
record_admission(struct upstream *upstream, enum admission admission)
{
	per_second_log_add(&upstream->seconds,
	    clock_wall(upstream->clock).tv_sec, admission == ADMISSION_BEGIN,
	    false, upstream->gate.busy, work_gate_limit(&upstream->gate));
}

/* Wait in the queue for a slot; the lock is held. */
static enum begin_result
wait_for_slot(struct upstream *upstream, const struct mg_connection *conn,
    struct timespec deadline)
{
	struct timespec queue_deadline = timespec_plus_ms(
	    clock_now(upstream->clock), upstream->options->queue_wait_ms);

	for (;;) {
		struct timespec now = clock_now(upstream->clock);
		struct timespec until = timespec_plus_ms(now, QUEUE_POLL_MS);

		switch (work_gate_retry_queued(&upstream->gate, now)) {
		case ADMISSION_BEGIN:
			return BEGIN_OK;
		case ADMISSION_SHED:
			return BEGIN_SHED;
		case ADMISSION_FAILING:
			return BEGIN_FAILING;
		case ADMISSION_WAIT:
			break;
		}
		if (standin_http_is_peer_closed(conn, 0) ||
		    atomic_load(&upstream->stopping)) {
			work_gate_cancel_queued(&upstream->gate);
			return BEGIN_CANCELLED;
		}
		if (!timespec_before(now, deadline)) {
			work_gate_cancel_queued(&upstream->gate);
			return BEGIN_DEADLINE;
		}
		if (!timespec_before(now, queue_deadline)) {
			work_gate_cancel_queued(&upstream->gate);
			return BEGIN_SHED;
		}
		pthread_cond_timedwait(
		    &upstream->slot_free, &upstream->lock, &until);
	}
}

/*
 * Take a slot for a request, waiting in the queue if none is free. After
 * BEGIN_OK the caller must call upstream_finish_work with the generation;
 * after any other result no work was begun.
 */
enum begin_result
upstream_begin_work(struct upstream *upstream, const struct mg_connection *conn,
    struct timespec deadline, uint64_t *generation)
{
	enum begin_result result = BEGIN_OK;
	enum admission admission;
	uint64_t overloads;
	uint32_t limit;

	pthread_mutex_lock(&upstream->lock);
	overloads = upstream->gate.overloads;
	limit = work_gate_limit(&upstream->gate);
	admission =
	    work_gate_admit(&upstream->gate, clock_now(upstream->clock));
	if (upstream->gate.overloads != overloads)
		per_second_log_add(&upstream->seconds,
		    clock_wall(upstream->clock).tv_sec, false, true, limit + 1,
		    limit);
	if (admission == ADMISSION_WAIT)
		result = wait_for_slot(upstream, conn, deadline);
	else if (admission == ADMISSION_SHED)
		result = BEGIN_SHED;
	else if (admission == ADMISSION_FAILING)
		result = BEGIN_FAILING;
	record_admission(
	    upstream, result == BEGIN_OK ? ADMISSION_BEGIN : ADMISSION_SHED);
	*generation = upstream->gate.generation;
	pthread_mutex_unlock(&upstream->lock);
	return result;
}

/*
 * End work. Return false if an overload discarded it.
 */
bool
upstream_finish_work(
    struct upstream *upstream, uint64_t generation, bool completed)
{
	bool kept;

	pthread_mutex_lock(&upstream->lock);
	kept = work_gate_finish(&upstream->gate, generation, completed);
	pthread_cond_signal(&upstream->slot_free);
	pthread_mutex_unlock(&upstream->lock);
	return kept;
}

/*
 * Return whether an overload has failed the upstream since a generation.
 */
bool
upstream_has_failed_since(struct upstream *upstream, uint64_t generation)
{
	bool lost;

	pthread_mutex_lock(&upstream->lock);
	lost = upstream->gate.generation != generation;
	pthread_mutex_unlock(&upstream->lock);
	return lost;
}

/*
 * Return whether the upstream is cold.
 */
bool
upstream_is_cold(struct upstream *upstream)
{
	bool cold;

	pthread_mutex_lock(&upstream->lock);
	cold = upstream->gate.cold;
	pthread_mutex_unlock(&upstream->lock);
	return cold;
}

/*
 * Return the state that /health and /load report: an earlier state if a report
 * lag is set, and an idle, warm upstream if it reports falsely.
 */
struct status_report
upstream_reported_status(struct upstream *upstream)
{
	int64_t report_lag_ms = atomic_load(&upstream->report_lag_ms);
	struct status_report report = { .limit = upstream->options->slots };

	if (atomic_load(&upstream->reports_idle))
		return report;
	pthread_mutex_lock(&upstream->lock);
	report = report_lag_ms == 0
	    ? current_status(upstream)
	    : status_history_at(&upstream->history,
		  timespec_plus_ms(clock_now(upstream->clock), -report_lag_ms));
	pthread_mutex_unlock(&upstream->lock);
	return report;
}
