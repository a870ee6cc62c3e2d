#include <pthread.h>
#include <stdatomic.h>
#include <time.h>

#include "common/clock.h"
#include "trefoilhilld/data_path.h"
#include "trefoilhilld/locked_guard.h"

enum {
	DEQUEUED_MAX = 64,
};

/* Whether host and zone are in service, as set by the control thread. */
enum in_service_state {
	IN_SERVICE_UNKNOWN,
	IN_SERVICE_YES,
	IN_SERVICE_NO,
};

struct locked_guard {
	struct guard *guard;
	pthread_mutex_t lock;
	uint32_t tick_ms;
	struct locked_guard_handler handler;
	atomic_int in_service; /* enum in_service_state */
	atomic_bool draining;
	enum in_service_state applied_in_service;
	bool applied_draining;
	pthread_t ticker;
	bool started;
	atomic_bool stopping;
};

/* A call that left the guard's queue. */
struct dequeued_call {
	uint64_t ticket;
	enum guard_decision decision;
	enum refusal_reason reason;
};

/*
 * Return a guard protected by a mutex. The guard itself stays owned by the
 * caller.
 */
struct locked_guard *
locked_guard_new(struct guard *guard, uint32_t tick_ms)
{
	struct locked_guard *locked = g_new0(struct locked_guard, 1);

	locked->guard = guard;
	locked->tick_ms = tick_ms;
	pthread_mutex_init(&locked->lock, NULL);
	atomic_init(&locked->in_service, IN_SERVICE_UNKNOWN);
	atomic_init(&locked->draining, false);
	atomic_init(&locked->stopping, false);
	return locked;
}

/*
 * Stop the tick thread and free the lock. NULL is allowed.
 */
void
locked_guard_free(struct locked_guard *locked)
{
	if (locked == NULL)
		return;
	locked_guard_stop(locked);
	pthread_mutex_destroy(&locked->lock);
	g_free(locked);
}

/*
 * Set the handler of dequeued calls. Call before locked_guard_start.
 */
void
locked_guard_set_handler(
    struct locked_guard *locked, struct locked_guard_handler handler)
{
	locked->handler = handler;
}

void
locked_guard_set_in_service(struct locked_guard *locked, bool in_service)
{
	atomic_store(
	    &locked->in_service, in_service ? IN_SERVICE_YES : IN_SERVICE_NO);
}

void
locked_guard_drain(struct locked_guard *locked)
{
	atomic_store(&locked->draining, true);
}

/*
 * Lock the guard and apply the state requested by the control thread.
 */
static void
lock_guard(struct locked_guard *locked)
{
	enum in_service_state wanted;

	pthread_mutex_lock(&locked->lock);
	wanted = (enum in_service_state)atomic_load(&locked->in_service);
	if (wanted != locked->applied_in_service) {
		locked->applied_in_service = wanted;
		guard_set_in_service(locked->guard, wanted == IN_SERVICE_YES);
	}
	if (!locked->applied_draining && atomic_load(&locked->draining)) {
		locked->applied_draining = true;
		guard_drain(locked->guard);
	}
}

static size_t
take_dequeued(
    struct locked_guard *locked, struct dequeued_call dequeued[DEQUEUED_MAX])
{
	size_t count = 0;

	while (count < DEQUEUED_MAX &&
	    guard_dequeue(locked->guard, &dequeued[count].ticket,
		&dequeued[count].decision, &dequeued[count].reason))
		count++;
	return count;
}

/*
 * Unlock the guard and pass on the calls that left its queue while it was
 * locked.
 */
static void
unlock_and_dispatch(struct locked_guard *locked)
{
	struct dequeued_call dequeued[DEQUEUED_MAX];
	size_t count = take_dequeued(locked, dequeued);

	pthread_mutex_unlock(&locked->lock);
	for (size_t i = 0; i < count; i++)
		locked->handler.handle_dequeued(locked->handler.arg,
		    dequeued[i].ticket, dequeued[i].decision,
		    dequeued[i].reason);
}

static void *
run_ticker(void *arg)
{
	struct locked_guard *locked = arg;
	struct timespec interval = timespec_from_ms(locked->tick_ms);

	while (!atomic_load(&locked->stopping)) {
		lock_guard(locked);
		guard_tick(locked->guard);
		unlock_and_dispatch(locked);
		nanosleep(&interval, NULL);
	}
	return NULL;
}

/*
 * Start the thread that ticks the guard. Returns 0, or -1 with error set.
 */
int
locked_guard_start(struct locked_guard *locked, GError **error)
{
	int status = pthread_create(&locked->ticker, NULL, run_ticker, locked);

	if (status != 0) {
		g_set_error(error, DATA_PATH_ERROR, DATA_PATH_ERROR_THREAD,
		    "cannot start the guard tick thread: %s",
		    g_strerror(status));
		return -1;
	}
	locked->started = true;
	return 0;
}

/*
 * Stop the tick thread.
 */
void
locked_guard_stop(struct locked_guard *locked)
{
	if (!locked->started)
		return;
	atomic_store(&locked->stopping, true);
	pthread_join(locked->ticker, NULL);
	locked->started = false;
}

/*
 * Ask the guard to admit a call. Calls that leave the queue as a result are
 * dispatched by the next tick or completion, so that the caller of this
 * function may hold its own mutex.
 */
enum guard_decision
locked_guard_admit(struct locked_guard *locked, const struct guard_call *call,
    uint64_t *ticket, enum refusal_reason *reason)
{
	enum guard_decision decision;

	lock_guard(locked);
	decision = guard_admit(locked->guard, call, ticket, reason);
	pthread_mutex_unlock(&locked->lock);
	return decision;
}

bool
locked_guard_confirm(
    struct locked_guard *locked, uint64_t ticket, enum refusal_reason *reason)
{
	bool confirmed;

	lock_guard(locked);
	confirmed = guard_confirm(locked->guard, ticket, reason);
	pthread_mutex_unlock(&locked->lock);
	return confirmed;
}

/*
 * Cancel a call for its entry. Returns true if the ticket has ended.
 */
bool
locked_guard_cancel(struct locked_guard *locked, uint64_t ticket)
{
	bool ended;

	lock_guard(locked);
	ended = guard_cancel(locked->guard, ticket);
	unlock_and_dispatch(locked);
	return ended;
}

void
locked_guard_complete(struct locked_guard *locked, uint64_t ticket,
    enum guard_outcome outcome, uint32_t latency_us)
{
	lock_guard(locked);
	guard_complete(locked->guard, ticket, outcome, latency_us);
	unlock_and_dispatch(locked);
}

bool
locked_guard_is_idle(struct locked_guard *locked)
{
	bool idle;

	lock_guard(locked);
	idle = guard_is_idle(locked->guard);
	pthread_mutex_unlock(&locked->lock);
	return idle;
}

struct guard_hint
locked_guard_hint(struct locked_guard *locked)
{
	struct guard_hint hint;

	lock_guard(locked);
	hint = guard_hint(locked->guard);
	pthread_mutex_unlock(&locked->lock);
	return hint;
}

uint32_t
locked_guard_retry_after_ms(
    struct locked_guard *locked, enum refusal_reason reason)
{
	uint32_t ms;

	lock_guard(locked);
	ms = guard_retry_after_ms(locked->guard, reason);
	pthread_mutex_unlock(&locked->lock);
	return ms;
}
