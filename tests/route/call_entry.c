#include "call_sim.h"

enum {
	ATTEMPTS_MAX = 3,
};

/*
 * The caller gets the result, once.
 */
void
entry_end(struct world *world, int call, enum call_result result)
{
	struct world_call *held = &world->calls[call];

	if (held->result != RESULT_OPEN)
		return;
	held->result = result;
	held->ended_ms = world_now(world);
}

static void
leave_attempt(struct world *world, int call)
{
	struct world_call *held = &world->calls[call];

	if (held->sent)
		chooser_end(world->chooser,
		    world->snapshot.upstreams[held->guard].name);
	held->sent = false;
	held->attempt++;
}

static bool
may_retry(struct world *world, int call, enum attempt_end end)
{
	struct world_call *held = &world->calls[call];
	struct retry_question question = {
		.end = end,
		.idempotent = held->idempotent,
		.body_replayable = true,
		.attempt = held->retries,
		.attempts_max = ATTEMPTS_MAX,
		.fenced = held->fenced,
		.remaining_ms = held->deadline_ms - world_now(world),
	};

	if (world->plan.variant == VARIANT_RETRY_UNKNOWN)
		question.idempotent = true;
	return retry_allowed(&question, world->budget);
}

static void
schedule_pick(struct world *world, int call)
{
	struct event_item pick = {
		.what = HAPPEN_PICK,
		.to = PROCESS_ENTRY,
		.generation = world->processes[PROCESS_ENTRY].generation,
		.call = call,
		.attempt = world->calls[call].attempt,
	};

	world_push(world, pick, 0);
}

static void
end_attempt(struct world *world, int call, enum attempt_end end)
{
	struct world_call *held = &world->calls[call];
	bool again = may_retry(world, call, end);

	leave_attempt(world, call);
	if (end == ATTEMPT_UNKNOWN)
		held->may_have_run = true;
	if (held->parts > 0) {
		entry_end(world, call, RESULT_CUT);
		return;
	}
	if (!again) {
		entry_end(world, call,
		    held->may_have_run ? RESULT_UNKNOWN : RESULT_NOT_RUN);
		return;
	}
	if (end == ATTEMPT_FENCED) {
		held->fenced++;
	} else {
		held->retries++;
		held->tried[held->tried_count++] =
		    &world->snapshot.upstreams[held->guard];
	}
	schedule_pick(world, call);
}

static void
pick_upstream(struct world *world, int call)
{
	struct world_call *held = &world->calls[call];
	struct choice_request request = {
		.snapshot = &world->snapshot,
		.service = str_from("vault"),
		.tried_count = held->tried_count,
	};
	struct event_item send = {
		.what = HAPPEN_SEND,
		.to = PROCESS_ENTRY,
		.generation = world->processes[PROCESS_ENTRY].generation,
		.call = call,
		.attempt = held->attempt,
	};
	struct choice choice;
	uint32_t after_ms;

	for (size_t i = 0; i < held->tried_count; i++)
		request.tried[i] = held->tried[i];
	if (!chooser_pick(
		world->chooser, &request, world->rng, &choice, &after_ms)) {
		entry_end(world, call,
		    held->may_have_run ? RESULT_UNKNOWN : RESULT_NOT_RUN);
		return;
	}
	held->guard = (int)(choice.upstream - world->snapshot.upstreams);
	held->known = choice.known;
	world_push(world, send, 0);
	world_step(world, call, STEP_PICKED);
}

static void
send_open(struct world *world, const struct event_item *item)
{
	struct world_call *held = &world->calls[item->call];
	struct event_item open = {
		.what = HAPPEN_OPEN,
		.call = item->call,
		.attempt = held->attempt,
		.hint = held->known,
		.value = held->deadline_ms - world_now(world),
	};

	if (held->result != RESULT_OPEN || item->attempt != held->attempt)
		return;
	chooser_begin(
	    world->chooser, world->snapshot.upstreams[held->guard].name);
	held->sent = true;
	world_send(world, LINK_TO_GUARD, held->guard, open);
	world_step(world, item->call, STEP_OPEN_SENT);
}

static void
give_up(struct world *world, int call)
{
	struct world_call *held = &world->calls[call];
	struct event_item cancel = {
		.what = HAPPEN_CANCEL, .call = call, .attempt = held->attempt
	};

	if (held->sent) {
		held->may_have_run = true;
		world_send(world, LINK_TO_GUARD, held->guard, cancel);
	}
	leave_attempt(world, call);
	if (held->parts > 0)
		entry_end(world, call, RESULT_CUT);
	else
		entry_end(world, call,
		    held->may_have_run ? RESULT_UNKNOWN : RESULT_NOT_RUN);
}

static void
take_refusal(struct world *world, const struct event_item *item)
{
	const struct world_call *held = &world->calls[item->call];
	enum attempt_end end =
	    attempt_classify(&held->known, item->reason, &item->hint);

	if (world->plan.variant == VARIANT_TRUST_ANY_REFUSAL)
		end = attempt_classify(&item->hint, item->reason, &item->hint);
	end_attempt(world, item->call, end);
}

static void
take_part(struct world *world, const struct event_item *item)
{
	struct world_call *held = &world->calls[item->call];

	if (item->value != held->parts) {
		/* Crossed: the rest can't be put in order any more. */
		if (world->plan.variant != VARIANT_END_CUT_ANSWER) {
			end_attempt(world, item->call, ATTEMPT_UNKNOWN);
			return;
		}
	}
	held->parts++;
	if (item->value == WORLD_PARTS - 1) {
		leave_attempt(world, item->call);
		entry_end(world, item->call, RESULT_OK);
		if (held->parts != WORLD_PARTS)
			world_break(world, CHECK_ANSWER);
		return;
	}
	world_step(world, item->call, STEP_FIRST_PART);
}

static void
start_call(struct world *world, const struct event_item *item)
{
	struct event_item deadline = {
		.what = HAPPEN_DEADLINE,
		.to = PROCESS_ENTRY,
		.generation = world->processes[PROCESS_ENTRY].generation,
		.call = item->call,
	};

	retry_budget_deposit(world->budget);
	world->calls[item->call].deadline_ms = world_now(world) + item->value;
	world_push(world, deadline, item->value);
	schedule_pick(world, item->call);
	world_step(world, item->call, STEP_ACCEPTED);
}

/*
 * What reaches the entry: requests, timers, and the guards' frames. Frames of
 * an attempt that is over are dropped, but for the guard's word in them.
 */
void
entry_handle(struct world *world, const struct event_item *item)
{
	struct world_call *held = &world->calls[item->call];

	if (item->what == HAPPEN_START) {
		start_call(world, item);
		return;
	}
	if (item->hint.incarnation != 0)
		chooser_learn(world->chooser,
		    world->snapshot.upstreams[item->guard].name, &item->hint);
	if (held->result != RESULT_OPEN)
		return;
	if (item->what == HAPPEN_DEADLINE) {
		give_up(world, item->call);
		return;
	}
	if (item->what == HAPPEN_PICK) {
		pick_upstream(world, item->call);
		return;
	}
	if (item->what == HAPPEN_SEND) {
		send_open(world, item);
		return;
	}
	if (!held->sent || item->attempt != held->attempt)
		return;
	if (item->what == HAPPEN_PEER_LOST) {
		chooser_lost(world->chooser,
		    world->snapshot.upstreams[held->guard].name);
		end_attempt(world, item->call, ATTEMPT_UNKNOWN);
	} else if (item->what == HAPPEN_REFUSED) {
		take_refusal(world, item);
	} else if (item->what == HAPPEN_FAILED) {
		end_attempt(world, item->call, ATTEMPT_UNKNOWN);
	} else if (item->what == HAPPEN_PART) {
		take_part(world, item);
	}
}
