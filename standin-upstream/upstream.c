#include <glib.h>

#include "standin-platform/http.h"
#include "standin-upstream/upstream.h"

enum {
	RUNS_MAX = 262144,
	QUEUE_POLL_MS = 20,
};

/* The state of now; the lock is held. */
static struct claim
claim_now(struct upstream *upstream)
{
	const struct work_gate *gate = &upstream->gate;
	struct timespec now = clock_now(upstream->clock);
	struct claim claim = {
		.at = now,
		.cold = gate->cold,
		.draining = gate->draining,
		.fallen = work_gate_fallen(gate, now),
		.busy = gate->busy,
		.queued = gate->queued,
		.limit = work_gate_limit(gate),
	};

	return claim;
}

static void *
sample_claims(void *arg)
{
	struct upstream *upstream = arg;
	struct timespec pause = timespec_from_ms(CLAIM_SAMPLE_MS);

	while (!atomic_load(&upstream->stopping)) {
		struct claim claim;

		pthread_mutex_lock(&upstream->lock);
		claim = claim_now(upstream);
		claim_history_add(&upstream->history, &claim);
		pthread_mutex_unlock(&upstream->lock);
		nanosleep(&pause, NULL);
	}
	return NULL;
}

/*
 * Return an upstream without a server in front. The options must outlive it.
 */
struct upstream *
upstream_new(const struct upstream_options *options)
{
	struct upstream *upstream = g_new0(struct upstream, 1);
	pthread_condattr_t attr;
	struct claim claim;

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
	claim = claim_now(upstream);
	claim_history_add(&upstream->history, &claim);
	pthread_create(&upstream->sampler, NULL, sample_claims, upstream);
	return upstream;
}

/*
 * Let every waiting request end, before the server is stopped.
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
note_decision(struct upstream *upstream, enum admission admission)
{
	second_log_note(&upstream->seconds, clock_wall(upstream->clock).tv_sec,
	    admission == ADMISSION_BEGIN, false, upstream->gate.busy,
	    work_gate_limit(&upstream->gate));
}

/* Wait in the queue; the lock is held. */
static enum begin_result
wait_for_slot(struct upstream *upstream, const struct mg_connection *conn,
    struct timespec deadline)
{
	struct timespec patience = timespec_plus_ms(
	    clock_now(upstream->clock), upstream->options->queue_wait_ms);

	for (;;) {
		struct timespec now = clock_now(upstream->clock);
		struct timespec until = timespec_plus_ms(now, QUEUE_POLL_MS);

		switch (work_gate_retry(&upstream->gate, now)) {
		case ADMISSION_BEGIN:
			return BEGIN_OK;
		case ADMISSION_SHED:
			return BEGIN_SHED;
		case ADMISSION_FALLEN:
			return BEGIN_FALLEN;
		case ADMISSION_WAIT:
			break;
		}
		if (standin_http_peer_gone(conn, 0) ||
		    atomic_load(&upstream->stopping)) {
			work_gate_give_up(&upstream->gate);
			return BEGIN_CANCELLED;
		}
		if (!timespec_before(now, deadline)) {
			work_gate_give_up(&upstream->gate);
			return BEGIN_DEADLINE;
		}
		if (!timespec_before(now, patience)) {
			work_gate_give_up(&upstream->gate);
			return BEGIN_SHED;
		}
		pthread_cond_timedwait(
		    &upstream->slot_free, &upstream->lock, &until);
	}
}

/*
 * Take a slot for a request, waiting in the queue when it must. After
 * BEGIN_OK the caller owes upstream_finish with the generation; after any
 * other result no work was begun.
 */
enum begin_result
upstream_begin(struct upstream *upstream, const struct mg_connection *conn,
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
	    work_gate_arrive(&upstream->gate, clock_now(upstream->clock));
	if (upstream->gate.overloads != overloads)
		second_log_note(&upstream->seconds,
		    clock_wall(upstream->clock).tv_sec, false, true, limit + 1,
		    limit);
	if (admission == ADMISSION_WAIT)
		result = wait_for_slot(upstream, conn, deadline);
	else if (admission == ADMISSION_SHED)
		result = BEGIN_SHED;
	else if (admission == ADMISSION_FALLEN)
		result = BEGIN_FALLEN;
	note_decision(
	    upstream, result == BEGIN_OK ? ADMISSION_BEGIN : ADMISSION_SHED);
	*generation = upstream->gate.generation;
	pthread_mutex_unlock(&upstream->lock);
	return result;
}

/*
 * End work; return false when it was lost because the upstream fell over.
 */
bool
upstream_finish(struct upstream *upstream, uint64_t generation, bool completed)
{
	bool kept;

	pthread_mutex_lock(&upstream->lock);
	kept = work_gate_finish(&upstream->gate, generation, completed);
	pthread_cond_signal(&upstream->slot_free);
	pthread_mutex_unlock(&upstream->lock);
	return kept;
}

/*
 * Tell whether the upstream fell over since a generation.
 */
bool
upstream_lost(struct upstream *upstream, uint64_t generation)
{
	bool lost;

	pthread_mutex_lock(&upstream->lock);
	lost = upstream->gate.generation != generation;
	pthread_mutex_unlock(&upstream->lock);
	return lost;
}

/*
 * Tell whether the upstream is cold.
 */
bool
upstream_cold(struct upstream *upstream)
{
	bool cold;

	pthread_mutex_lock(&upstream->lock);
	cold = upstream->gate.cold;
	pthread_mutex_unlock(&upstream->lock);
	return cold;
}

/*
 * Return what the health and load pages say: the state of some time ago when
 * they lag, and an idle, warm upstream when they lie.
 */
struct claim
upstream_claim(struct upstream *upstream)
{
	int64_t lag_ms = atomic_load(&upstream->lag_ms);
	struct claim claim = { .limit = upstream->options->slots };

	if (atomic_load(&upstream->lies))
		return claim;
	pthread_mutex_lock(&upstream->lock);
	claim = lag_ms == 0
	    ? claim_now(upstream)
	    : claim_history_at(&upstream->history,
		  timespec_plus_ms(clock_now(upstream->clock), -lag_ms));
	pthread_mutex_unlock(&upstream->lock);
	return claim;
}
