#include <stdio.h>

#include "call_sim.h"

enum {
	WORK_MS = 20,
	LONG_WORK_MS = 2500,
	COLD_FAILURES = 3, /* failures after which a guard must assume cold */
	WORK_US = 20000,
	FRAME_GAP_MS = 5,
	TICK_MS = 100,
	SLOTS = 12,
	RAMP_COMPLETIONS = 10, /* for each further slot of a cold upstream */
	OVERLOADED_MS = 2000,
	OUT_DELAY_MAX_MS = 3000,
};

static void
send_reply(struct sim *sim, int index, const struct sim_event *call,
    enum sim_event_type type, int64_t value)
{
	struct sim_event frame = {
		.type = type,
		.call = call->call,
		.attempt = call->attempt,
		.guard = index,
		.value = value,
		.reason = call->reason,
		.hint = guard_hint(sim->guards[index]),
	};

	sim_send_frame(sim, LINK_TO_ENTRY, index, frame);
}

static struct sim_event
guard_event(
    struct sim *sim, int index, enum sim_event_type type, uint64_t ticket)
{
	struct sim_event event = {
		.type = type,
		.target = PROCESS_GUARD + index,
		.ticket = ticket,
	};

	event.generation = sim->processes[event.target].generation;
	return event;
}

struct sim_event
upstream_event(struct sim *sim, int index, enum sim_event_type type,
    const struct sim_event *call)
{
	struct sim_event event = *call;

	event.type = type;
	event.target = PROCESS_UPSTREAM + index;
	event.generation = 0;
	event.guard_generation =
	    sim->processes[PROCESS_GUARD + index].generation;
	event.key = (uint64_t)event.guard_generation << 32 | call->ticket;
	return event;
}

static void
remove_open(struct sim *sim, int index, uint64_t ticket)
{
	g_hash_table_remove(sim->open[index], &ticket);
}

static void
refuse_open(struct sim *sim, int index, struct sim_event *call,
    enum refusal_reason reason)
{
	call->reason = reason;
	send_reply(sim, index, call, EV_REFUSED, 0);
	remove_open(sim, index, call->ticket);
}

static void
run_queue(struct sim *sim, int index)
{
	enum guard_decision decision;
	enum refusal_reason reason;
	uint64_t ticket;

	while (guard_dequeue(sim->guards[index], &ticket, &decision, &reason)) {
		struct sim_event *call =
		    g_hash_table_lookup(sim->open[index], &ticket);

		if (decision == GUARD_RUN)
			sim_schedule(sim,
			    guard_event(sim, index, EV_DISPATCH, ticket), 0);
		else
			refuse_open(sim, index, call, reason);
	}
	if (g_hash_table_size(sim->open[index]) == 0 || sim->ticking[index])
		return;
	sim->ticking[index] = true;
	sim_schedule(sim, guard_event(sim, index, EV_TICK, 0), TICK_MS);
}

static void
handle_open(struct sim *sim, int index, const struct sim_event *event)
{
	char request[16];
	struct sim_event admitted = *event;
	struct guard_call call = {
		.incarnation = event->hint.incarnation,
		.tick = event->hint.tick,
		.attempt = event->attempt,
		.idempotent = sim->calls[event->call].idempotent,
		.deadline = timespec_plus_ms(sim->clock.now, event->value),
	};
	struct guard_hint now = guard_hint(sim->guards[index]);
	enum guard_decision decision;
	struct sim_event *stored;

	snprintf(request, sizeof(request), "r%d", event->call);
	call.request = str_from(request);
	if (sim->scenario.variant == VARIANT_NO_FENCE) {
		call.incarnation = now.incarnation;
		call.tick = now.tick;
	}
	if (sim->scenario.variant == VARIANT_NO_DEDUP_RECORD)
		call.idempotent = true;
	decision = guard_admit(
	    sim->guards[index], &call, &admitted.ticket, &admitted.reason);
	if (decision == GUARD_REFUSE) {
		send_reply(sim, index, &admitted, EV_REFUSED, 0);
		return;
	}
	admitted.running = false;
	stored = g_memdup2(&admitted, sizeof(admitted));
	g_hash_table_insert(sim->open[index], &stored->ticket, stored);
	sim_schedule(sim,
	    guard_event(sim, index, EV_GUARD_DEADLINE, admitted.ticket),
	    event->value);
	if (decision == GUARD_RUN)
		sim_schedule(sim,
		    guard_event(sim, index, EV_DISPATCH, admitted.ticket), 0);
	sim_reach_step(sim, event->call, STEP_ADMITTED);
}

static void
dispatch_call(struct sim *sim, int index, struct sim_event *call)
{
	enum refusal_reason reason;

	if (!guard_confirm(sim->guards[index], call->ticket, &reason) &&
	    sim->scenario.variant != VARIANT_NO_CONFIRM) {
		refuse_open(sim, index, call, reason);
		return;
	}
	call->running = true;
	if (index == 0 && sim->out_since_ms > 0 &&
	    sim_now_ms(sim) - sim->out_since_ms > OUT_DELAY_MAX_MS)
		sim_record_violation(sim, CHECK_NO_WORK_WHEN_OUT);
	sim_schedule(sim, upstream_event(sim, index, EV_WORK, call), 0);
	sim_reach_step(sim, call->call, STEP_CONFIRMED);
}

static void
handle_outcome(struct sim *sim, int index, struct sim_event *call,
    enum guard_outcome outcome)
{
	struct sim_upstream *upstream = &sim->upstreams[index];
	struct sim_event next =
	    guard_event(sim, index, EV_NEXT_FRAME, call->ticket);

	guard_complete(sim->guards[index], call->ticket, outcome, WORK_US);
	upstream->failures_seen =
	    outcome == OUTCOME_OK ? 0 : upstream->failures_seen + 1;
	if (outcome == OUTCOME_OK) {
		int subject = call->call;

		next.call = call->call;
		next.attempt = call->attempt;
		send_reply(sim, index, call, EV_RESPONSE_FRAME, 0);
		sim_schedule(sim, next, FRAME_GAP_MS);
		remove_open(sim, index, call->ticket);
		sim_reach_step(sim, subject, STEP_RESPONSE_SENT);
		return;
	}
	if (outcome == OUTCOME_CONNECTION_REFUSED) {
		refuse_open(sim, index, call, REFUSAL_UNREACHABLE);
		return;
	}
	if (sim->scenario.variant == VARIANT_REFUSE_AFTER_DISPATCH) {
		refuse_open(sim, index, call, REFUSAL_SHED);
		return;
	}
	send_reply(sim, index, call, EV_FAILED, 0);
	remove_open(sim, index, call->ticket);
}

static void
abort_call(struct sim *sim, int index, struct sim_event *call,
    enum guard_outcome outcome)
{
	sim_schedule(sim, upstream_event(sim, index, EV_ABORT, call), 0);
	guard_complete(sim->guards[index], call->ticket, outcome, WORK_US);
	if (sim->scenario.variant == VARIANT_REFUSE_AFTER_DISPATCH) {
		refuse_open(sim, index, call, REFUSAL_DEADLINE);
		return;
	}
	send_reply(sim, index, call, EV_FAILED, 0);
	remove_open(sim, index, call->ticket);
}

static void
handle_cancel(struct sim *sim, int index, const struct sim_event *event)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sim->open[index]);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sim_event *call = value;

		if (call->call != event->call ||
		    call->attempt != event->attempt)
			continue;
		if (guard_cancel(sim->guards[index], call->ticket))
			remove_open(sim, index, call->ticket);
		else if (call->running)
			abort_call(sim, index, call, OUTCOME_CANCELLED);
		return;
	}
}

/*
 * Handle an event of a guard: a frame from the entry, an outcome from the
 * upstream or a timer.
 */
void
guard_handle_event(struct sim *sim, int index, const struct sim_event *event)
{
	struct sim_event *call =
	    g_hash_table_lookup(sim->open[index], &event->ticket);

	if (event->type == EV_SET_IN_SERVICE) {
		guard_set_in_service(sim->guards[index], event->value != 0);
	} else if (event->type == EV_TICK) {
		sim->ticking[index] = false;
		guard_tick(sim->guards[index]);
	} else if (event->type == EV_OPEN) {
		handle_open(sim, index, event);
	} else if (event->type == EV_CANCEL) {
		handle_cancel(sim, index, event);
	} else if (event->type == EV_NEXT_FRAME) {
		send_reply(sim, index, event, EV_RESPONSE_FRAME,
		    SIM_RESPONSE_FRAMES - 1);
	} else if (call != NULL && event->type == EV_DISPATCH) {
		dispatch_call(sim, index, call);
	} else if (call != NULL && event->type == EV_OUTCOME) {
		handle_outcome(
		    sim, index, call, (enum guard_outcome)event->value);
	} else if (call != NULL && call->running) {
		abort_call(sim, index, call, OUTCOME_TIMEOUT);
	}
	if (sim->processes[PROCESS_GUARD + index].alive)
		run_queue(sim, index);
}

static void
send_outcome(struct sim *sim, int index, const struct sim_event *work,
    enum guard_outcome outcome)
{
	struct sim_event event = *work;

	event.type = EV_OUTCOME;
	event.target = PROCESS_GUARD + index;
	event.value = outcome;
	event.generation = work->guard_generation;
	sim_schedule(sim, event, 1);
}

/*
 * Break all connections of an upstream; its work in progress is lost.
 */
void
upstream_break_connections(struct sim *sim, int index)
{
	struct sim_upstream *upstream = &sim->upstreams[index];
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, upstream->working);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		send_outcome(sim, index, value, OUTCOME_FAILED);
	g_hash_table_remove_all(upstream->working);
	upstream->completed = 0;
}

static void
begin_work(struct sim *sim, int index, struct sim_event work)
{
	struct sim_upstream *upstream = &sim->upstreams[index];
	uint32_t capacity =
	    MIN(1 + upstream->completed / RAMP_COMPLETIONS, SLOTS);
	struct sim_event *stored;

	sim->calls[work.call].runs++;
	if (sim_now_ms(sim) < upstream->failing_until_ms) {
		send_outcome(sim, index, &work, OUTCOME_FAILED);
		return;
	}
	stored = g_memdup2(&work, sizeof(work));
	g_hash_table_insert(upstream->working, &stored->key, stored);
	if (g_hash_table_size(upstream->working) > capacity) {
		upstream->overloads++;
		if (upstream->failures_seen >= COLD_FAILURES)
			sim_record_violation(sim, CHECK_COLD_LIMIT);
		upstream->failing_until_ms = sim_now_ms(sim) + OVERLOADED_MS;
		upstream_break_connections(sim, index);
		return;
	}
	work.type = EV_WORK_DONE;
	work.generation = sim->processes[work.target].generation;
	sim_schedule(sim, work,
	    sim->scenario.long_work && work.call == SIM_SUBJECT ? LONG_WORK_MS
								: WORK_MS);
	sim_reach_step(sim, work.call, STEP_RUNNING);
}

/*
 * Handle an event of an upstream. A dead upstream refuses the connection.
 */
void
upstream_handle_event(struct sim *sim, int index, const struct sim_event *event)
{
	struct sim_upstream *upstream = &sim->upstreams[index];
	struct sim_event work = *event;

	if (event->type == EV_WORK) {
		if (sim->processes[event->target].alive)
			begin_work(sim, index, work);
		else
			send_outcome(
			    sim, index, &work, OUTCOME_CONNECTION_REFUSED);
	} else if (event->type == EV_ABORT) {
		g_hash_table_remove(upstream->working, &event->key);
	} else if (event->type == EV_WORK_DONE &&
	    g_hash_table_contains(upstream->working, &event->key)) {
		if (sim_now_ms(sim) < upstream->hung_until_ms) {
			sim_schedule(sim, work,
			    upstream->hung_until_ms - sim_now_ms(sim));
			return;
		}
		g_hash_table_remove(upstream->working, &event->key);
		upstream->completed++;
		send_outcome(sim, index, &work, OUTCOME_OK);
		sim_reach_step(sim, event->call, STEP_WORK_DONE);
	}
}
