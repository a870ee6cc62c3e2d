#include <pthread.h>
#include <stdatomic.h>
#include <time.h>

#include "common/clock.h"
#include "trefoilhilld/data_path.h"
#include "trefoilhilld/guard_gate.h"

enum {
	TURNS_MAX = 64,
};

/* What the control thread has said of the host and its zone. */
enum service_state {
	SERVICE_UNKNOWN,
	SERVICE_IN,
	SERVICE_OUT,
};

struct guard_gate {
	struct guard *guard;
	pthread_mutex_t lock;
	uint32_t tick_ms;
	struct guard_gate_handler handler;
	atomic_int in_service; /* enum service_state */
	atomic_bool draining;
	enum service_state applied;
	bool applied_draining;
	pthread_t ticker;
	bool started;
	atomic_bool stopping;
};

/* A queued call whose turn has come. */
struct turn {
	uint64_t ticket;
	enum guard_decision decision;
	enum refusal_reason reason;
};

/*
 * Put a guard behind a lock. The guard stays the caller's.
 */
struct guard_gate *
guard_gate_new(struct guard *guard, uint32_t tick_ms)
{
	struct guard_gate *gate = g_new0(struct guard_gate, 1);

	gate->guard = guard;
	gate->tick_ms = tick_ms;
	pthread_mutex_init(&gate->lock, NULL);
	atomic_init(&gate->in_service, SERVICE_UNKNOWN);
	atomic_init(&gate->draining, false);
	atomic_init(&gate->stopping, false);
	return gate;
}

/*
 * Stop and free the gate. NULL is allowed.
 */
void
guard_gate_free(struct guard_gate *gate)
{
	if (gate == NULL)
		return;
	guard_gate_stop(gate);
	pthread_mutex_destroy(&gate->lock);
	g_free(gate);
}

/*
 * Name who is told of turns. Call before guard_gate_start.
 */
void
guard_gate_set_handler(
    struct guard_gate *gate, struct guard_gate_handler handler)
{
	gate->handler = handler;
}

void
guard_gate_set_in_service(struct guard_gate *gate, bool in_service)
{
	atomic_store(&gate->in_service, in_service ? SERVICE_IN : SERVICE_OUT);
}

void
guard_gate_drain(struct guard_gate *gate)
{
	atomic_store(&gate->draining, true);
}

/*
 * Enter the gate, and first apply what the control thread has asked for.
 */
static void
enter(struct guard_gate *gate)
{
	enum service_state wanted;

	pthread_mutex_lock(&gate->lock);
	wanted = (enum service_state)atomic_load(&gate->in_service);
	if (wanted != gate->applied) {
		gate->applied = wanted;
		guard_set_in_service(gate->guard, wanted == SERVICE_IN);
	}
	if (!gate->applied_draining && atomic_load(&gate->draining)) {
		gate->applied_draining = true;
		guard_drain(gate->guard);
	}
}

static size_t
take_turns(struct guard_gate *gate, struct turn turns[TURNS_MAX])
{
	size_t count = 0;

	while (count < TURNS_MAX &&
	    guard_next(gate->guard, &turns[count].ticket,
		&turns[count].decision, &turns[count].reason))
		count++;
	return count;
}

/*
 * Leave the gate and pass on the turns that have come up inside.
 */
static void
leave_with_turns(struct guard_gate *gate)
{
	struct turn turns[TURNS_MAX];
	size_t count = take_turns(gate, turns);

	pthread_mutex_unlock(&gate->lock);
	for (size_t i = 0; i < count; i++)
		gate->handler.handle_turn(gate->handler.arg, turns[i].ticket,
		    turns[i].decision, turns[i].reason);
}

static void *
run_ticker(void *arg)
{
	struct guard_gate *gate = arg;
	struct timespec pause = timespec_from_ms(gate->tick_ms);

	while (!atomic_load(&gate->stopping)) {
		enter(gate);
		guard_tick(gate->guard);
		leave_with_turns(gate);
		nanosleep(&pause, NULL);
	}
	return NULL;
}

/*
 * Start the thread that ticks the guard. Returns 0, or -1 with error set.
 */
int
guard_gate_start(struct guard_gate *gate, GError **error)
{
	int status = pthread_create(&gate->ticker, NULL, run_ticker, gate);

	if (status != 0) {
		g_set_error(error, DATA_PATH_ERROR, DATA_PATH_ERROR_THREAD,
		    "guard's thread: %s", g_strerror(status));
		return -1;
	}
	gate->started = true;
	return 0;
}

/*
 * Stop the ticking thread.
 */
void
guard_gate_stop(struct guard_gate *gate)
{
	if (!gate->started)
		return;
	atomic_store(&gate->stopping, true);
	pthread_join(gate->ticker, NULL);
	gate->started = false;
}

/*
 * Decide one call. Turns that the call itself brings up are left to the next
 * tick or completion, so that the caller may hold its own lock.
 */
enum guard_decision
guard_gate_admit(struct guard_gate *gate, const struct guard_call *call,
    uint64_t *ticket, enum refusal_reason *reason)
{
	enum guard_decision decision;

	enter(gate);
	decision = guard_admit(gate->guard, call, ticket, reason);
	pthread_mutex_unlock(&gate->lock);
	return decision;
}

bool
guard_gate_confirm(
    struct guard_gate *gate, uint64_t ticket, enum refusal_reason *reason)
{
	bool confirmed;

	enter(gate);
	confirmed = guard_confirm(gate->guard, ticket, reason);
	pthread_mutex_unlock(&gate->lock);
	return confirmed;
}

/*
 * The sender gave the call up. True: its ticket has ended.
 */
bool
guard_gate_cancel(struct guard_gate *gate, uint64_t ticket)
{
	bool ended;

	enter(gate);
	ended = guard_cancel(gate->guard, ticket);
	leave_with_turns(gate);
	return ended;
}

void
guard_gate_complete(struct guard_gate *gate, uint64_t ticket,
    enum guard_outcome outcome, uint32_t latency_us)
{
	enter(gate);
	guard_complete(gate->guard, ticket, outcome, latency_us);
	leave_with_turns(gate);
}

bool
guard_gate_is_idle(struct guard_gate *gate)
{
	bool idle;

	enter(gate);
	idle = guard_is_idle(gate->guard);
	pthread_mutex_unlock(&gate->lock);
	return idle;
}

struct guard_hint
guard_gate_hint(struct guard_gate *gate)
{
	struct guard_hint hint;

	enter(gate);
	hint = guard_hint(gate->guard);
	pthread_mutex_unlock(&gate->lock);
	return hint;
}

uint32_t
guard_gate_retry_after_ms(struct guard_gate *gate, enum refusal_reason reason)
{
	uint32_t ms;

	enter(gate);
	ms = guard_retry_after_ms(gate->guard, reason);
	pthread_mutex_unlock(&gate->lock);
	return ms;
}
