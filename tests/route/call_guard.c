#include <stdio.h>

#include "call_sim.h"

enum {
	WORK_MS = 20,
	LONG_WORK_MS = 2500,
	EVIDENCE = 3, /* failures that must show an upstream to be cold */
	WORK_US = 20000,
	PART_GAP_MS = 5,
	TICK_MS = 100,
	SLOTS = 12,
	STEP_COMPLETIONS = 10,
	FALLEN_MS = 2000,
	OUT_BOUND_MS = 3000,
};

static void
reply(struct world *world, int index, const struct event_item *call,
    enum happening what, int64_t value)
{
	struct event_item frame = {
		.what = what,
		.call = call->call,
		.attempt = call->attempt,
		.guard = index,
		.value = value,
		.reason = call->reason,
		.hint = guard_hint(world->guards[index]),
	};

	world_send(world, LINK_TO_ENTRY, index, frame);
}

static struct event_item
to_self(struct world *world, int index, enum happening what, uint64_t ticket)
{
	struct event_item item = {
		.what = what,
		.to = PROCESS_GUARD + index,
		.ticket = ticket,
	};

	item.generation = world->processes[item.to].generation;
	return item;
}

struct event_item
upstream_item(struct world *world, int index, enum happening what,
    const struct event_item *call)
{
	struct event_item item = *call;

	item.what = what;
	item.to = PROCESS_UPSTREAM + index;
	item.generation = 0;
	item.guard_generation =
	    world->processes[PROCESS_GUARD + index].generation;
	item.key = (uint64_t)item.guard_generation << 32 | call->ticket;
	return item;
}

static void
drop_open(struct world *world, int index, uint64_t ticket)
{
	g_hash_table_remove(world->open[index], &ticket);
}

static void
refuse_open(struct world *world, int index, struct event_item *call,
    enum refusal_reason reason)
{
	call->reason = reason;
	reply(world, index, call, HAPPEN_REFUSED, 0);
	drop_open(world, index, call->ticket);
}

static void
run_queue(struct world *world, int index)
{
	enum guard_decision decision;
	enum refusal_reason reason;
	uint64_t ticket;

	while (guard_next(world->guards[index], &ticket, &decision, &reason)) {
		struct event_item *call =
		    g_hash_table_lookup(world->open[index], &ticket);

		if (decision == GUARD_RUN)
			world_push(world,
			    to_self(world, index, HAPPEN_DISPATCH, ticket), 0);
		else
			refuse_open(world, index, call, reason);
	}
	if (g_hash_table_size(world->open[index]) == 0 || world->ticking[index])
		return;
	world->ticking[index] = true;
	world_push(world, to_self(world, index, HAPPEN_TICK, 0), TICK_MS);
}

static void
take_open(struct world *world, int index, const struct event_item *item)
{
	char request[16];
	struct event_item held = *item;
	struct guard_call call = {
		.incarnation = item->hint.incarnation,
		.tick = item->hint.tick,
		.attempt = item->attempt,
		.idempotent = world->calls[item->call].idempotent,
		.deadline = timespec_plus_ms(world->clock.now, item->value),
	};
	struct guard_hint now = guard_hint(world->guards[index]);
	enum guard_decision decision;
	struct event_item *kept;

	snprintf(request, sizeof(request), "r%d", item->call);
	call.request = str_from(request);
	if (world->plan.variant == VARIANT_NO_FENCE) {
		call.incarnation = now.incarnation;
		call.tick = now.tick;
	}
	if (world->plan.variant == VARIANT_NO_ONCE_RECORD)
		call.idempotent = true;
	decision = guard_admit(
	    world->guards[index], &call, &held.ticket, &held.reason);
	if (decision == GUARD_REFUSE) {
		reply(world, index, &held, HAPPEN_REFUSED, 0);
		return;
	}
	held.running = false;
	kept = g_memdup2(&held, sizeof(held));
	g_hash_table_insert(world->open[index], &kept->ticket, kept);
	world_push(world,
	    to_self(world, index, HAPPEN_GUARD_DEADLINE, held.ticket),
	    item->value);
	if (decision == GUARD_RUN)
		world_push(world,
		    to_self(world, index, HAPPEN_DISPATCH, held.ticket), 0);
	world_step(world, item->call, STEP_ADMITTED);
}

static void
dispatch(struct world *world, int index, struct event_item *call)
{
	enum refusal_reason reason;

	if (!guard_confirm(world->guards[index], call->ticket, &reason) &&
	    world->plan.variant != VARIANT_NO_CONFIRM) {
		refuse_open(world, index, call, reason);
		return;
	}
	call->running = true;
	if (index == 0 && world->out_since_ms > 0 &&
	    world_now(world) - world->out_since_ms > OUT_BOUND_MS)
		world_break(world, CHECK_OUT);
	world_push(world, upstream_item(world, index, HAPPEN_WORK, call), 0);
	world_step(world, call->call, STEP_CONFIRMED);
}

static void
take_outcome(struct world *world, int index, struct event_item *call,
    enum guard_outcome outcome)
{
	struct world_upstream *upstream = &world->upstreams[index];
	struct event_item next =
	    to_self(world, index, HAPPEN_NEXT_PART, call->ticket);

	guard_complete(world->guards[index], call->ticket, outcome, WORK_US);
	upstream->failures_seen =
	    outcome == OUTCOME_OK ? 0 : upstream->failures_seen + 1;
	if (outcome == OUTCOME_OK) {
		int subject = call->call;

		next.call = call->call;
		next.attempt = call->attempt;
		reply(world, index, call, HAPPEN_PART, 0);
		world_push(world, next, PART_GAP_MS);
		drop_open(world, index, call->ticket);
		world_step(world, subject, STEP_ANSWER_SENT);
		return;
	}
	if (outcome == OUTCOME_REFUSED) {
		refuse_open(world, index, call, REFUSAL_UNREACHABLE);
		return;
	}
	if (world->plan.variant == VARIANT_REFUSE_AFTER_DISPATCH) {
		refuse_open(world, index, call, REFUSAL_SHED);
		return;
	}
	reply(world, index, call, HAPPEN_FAILED, 0);
	drop_open(world, index, call->ticket);
}

static void
abort_call(struct world *world, int index, struct event_item *call,
    enum guard_outcome outcome)
{
	world_push(world, upstream_item(world, index, HAPPEN_ABORT, call), 0);
	guard_complete(world->guards[index], call->ticket, outcome, WORK_US);
	if (world->plan.variant == VARIANT_REFUSE_AFTER_DISPATCH) {
		refuse_open(world, index, call, REFUSAL_DEADLINE);
		return;
	}
	reply(world, index, call, HAPPEN_FAILED, 0);
	drop_open(world, index, call->ticket);
}

static void
take_cancel(struct world *world, int index, const struct event_item *item)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, world->open[index]);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct event_item *call = value;

		if (call->call != item->call || call->attempt != item->attempt)
			continue;
		if (guard_cancel(world->guards[index], call->ticket))
			drop_open(world, index, call->ticket);
		else if (call->running)
			abort_call(world, index, call, OUTCOME_CANCELLED);
		return;
	}
}

/*
 * What reaches a guard: frames of the entry, outcomes of the upstream, timers.
 */
void
guard_handle(struct world *world, int index, const struct event_item *item)
{
	struct event_item *call =
	    g_hash_table_lookup(world->open[index], &item->ticket);

	if (item->what == HAPPEN_SET_SERVICE) {
		guard_set_in_service(world->guards[index], item->value != 0);
	} else if (item->what == HAPPEN_TICK) {
		world->ticking[index] = false;
		guard_tick(world->guards[index]);
	} else if (item->what == HAPPEN_OPEN) {
		take_open(world, index, item);
	} else if (item->what == HAPPEN_CANCEL) {
		take_cancel(world, index, item);
	} else if (item->what == HAPPEN_NEXT_PART) {
		reply(world, index, item, HAPPEN_PART, WORLD_PARTS - 1);
	} else if (call != NULL && item->what == HAPPEN_DISPATCH) {
		dispatch(world, index, call);
	} else if (call != NULL && item->what == HAPPEN_OUTCOME) {
		take_outcome(
		    world, index, call, (enum guard_outcome)item->value);
	} else if (call != NULL && call->running) {
		abort_call(world, index, call, OUTCOME_TIMEOUT);
	}
	if (world->processes[PROCESS_GUARD + index].alive)
		run_queue(world, index);
}

static void
send_outcome(struct world *world, int index, const struct event_item *work,
    enum guard_outcome outcome)
{
	struct event_item item = *work;

	item.what = HAPPEN_OUTCOME;
	item.to = PROCESS_GUARD + index;
	item.value = outcome;
	item.generation = work->guard_generation;
	world_push(world, item, 1);
}

/*
 * All connections of an upstream break; what it worked on is lost.
 */
void
upstream_break(struct world *world, int index)
{
	struct world_upstream *upstream = &world->upstreams[index];
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, upstream->working);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		send_outcome(world, index, value, OUTCOME_FAILED);
	g_hash_table_remove_all(upstream->working);
	upstream->completed = 0;
}

static void
begin_work(struct world *world, int index, struct event_item work)
{
	struct world_upstream *upstream = &world->upstreams[index];
	uint32_t bears = MIN(1 + upstream->completed / STEP_COMPLETIONS, SLOTS);
	struct event_item *held;

	world->calls[work.call].runs++;
	if (world_now(world) < upstream->failing_until_ms) {
		send_outcome(world, index, &work, OUTCOME_FAILED);
		return;
	}
	held = g_memdup2(&work, sizeof(work));
	g_hash_table_insert(upstream->working, &held->key, held);
	if (g_hash_table_size(upstream->working) > bears) {
		upstream->overloads++;
		if (upstream->failures_seen >= EVIDENCE)
			world_break(world, CHECK_COLD);
		upstream->failing_until_ms = world_now(world) + FALLEN_MS;
		upstream_break(world, index);
		return;
	}
	work.what = HAPPEN_WORK_DONE;
	work.generation = world->processes[work.to].generation;
	world_push(world, work,
	    world->plan.long_work && work.call == WORLD_SUBJECT ? LONG_WORK_MS
								: WORK_MS);
	world_step(world, work.call, STEP_RUNNING);
}

/*
 * What reaches an upstream. A dead one refuses the connection.
 */
void
upstream_handle(struct world *world, int index, const struct event_item *item)
{
	struct world_upstream *upstream = &world->upstreams[index];
	struct event_item work = *item;

	if (item->what == HAPPEN_WORK) {
		if (world->processes[item->to].alive)
			begin_work(world, index, work);
		else
			send_outcome(world, index, &work, OUTCOME_REFUSED);
	} else if (item->what == HAPPEN_ABORT) {
		g_hash_table_remove(upstream->working, &item->key);
	} else if (item->what == HAPPEN_WORK_DONE &&
	    g_hash_table_contains(upstream->working, &item->key)) {
		if (world_now(world) < upstream->hung_until_ms) {
			world_push(world, work,
			    upstream->hung_until_ms - world_now(world));
			return;
		}
		g_hash_table_remove(upstream->working, &item->key);
		upstream->completed++;
		send_outcome(world, index, &work, OUTCOME_OK);
		world_step(world, item->call, STEP_WORK_DONE);
	}
}
