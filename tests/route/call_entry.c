#include "call_sim.h"

enum {
	ATTEMPTS_MAX = 3,
};

/*
 * Report the result of a call to its caller, once.
 */
void
entry_finish_call(struct sim *sim, int call, enum call_result result)
{
	struct sim_call *state = &sim->calls[call];

	if (state->result != RESULT_PENDING)
		return;
	state->result = result;
	state->ended_ms = sim_now_ms(sim);
}

static void
close_attempt(struct sim *sim, int call)
{
	struct sim_call *state = &sim->calls[call];

	if (state->sent)
		chooser_end_call(
		    sim->chooser, sim->snapshot.upstreams[state->guard].name);
	state->sent = false;
	state->attempt++;
}

static bool
may_retry(struct sim *sim, int call, enum attempt_result end)
{
	struct sim_call *state = &sim->calls[call];
	struct retry_context context = {
		.result = end,
		.idempotent = state->idempotent,
		.body_replayable = true,
		.attempt = state->retries,
		.attempts_max = ATTEMPTS_MAX,
		.fenced = state->fenced,
		.remaining_ms = state->deadline_ms - sim_now_ms(sim),
	};

	if (sim->scenario.variant == VARIANT_RETRY_UNKNOWN)
		context.idempotent = true;
	return retry_allowed(&context, sim->budget);
}

static void
schedule_pick(struct sim *sim, int call)
{
	struct sim_event pick = {
		.type = EV_PICK,
		.target = PROCESS_ENTRY,
		.generation = sim->processes[PROCESS_ENTRY].generation,
		.call = call,
		.attempt = sim->calls[call].attempt,
	};

	sim_schedule(sim, pick, 0);
}

static void
end_attempt(struct sim *sim, int call, enum attempt_result end)
{
	struct sim_call *state = &sim->calls[call];
	bool retry = may_retry(sim, call, end);

	close_attempt(sim, call);
	if (end == ATTEMPT_UNKNOWN)
		state->may_have_run = true;
	if (state->frames_received > 0) {
		entry_finish_call(sim, call, RESULT_ABORTED);
		return;
	}
	if (!retry) {
		entry_finish_call(sim, call,
		    state->may_have_run ? RESULT_UNKNOWN : RESULT_NOT_RUN);
		return;
	}
	if (end == ATTEMPT_FENCED) {
		state->fenced++;
	} else {
		state->retries++;
		state->tried[state->tried_count++] =
		    &sim->snapshot.upstreams[state->guard];
	}
	schedule_pick(sim, call);
}

static void
pick_upstream(struct sim *sim, int call)
{
	struct sim_call *state = &sim->calls[call];
	struct choice_request request = {
		.snapshot = &sim->snapshot,
		.service = str_from("vault"),
		.tried_count = state->tried_count,
	};
	struct sim_event send = {
		.type = EV_SEND,
		.target = PROCESS_ENTRY,
		.generation = sim->processes[PROCESS_ENTRY].generation,
		.call = call,
		.attempt = state->attempt,
	};
	struct choice choice;
	uint32_t after_ms;

	for (size_t i = 0; i < state->tried_count; i++)
		request.tried[i] = state->tried[i];
	if (!chooser_pick(
		sim->chooser, &request, sim->rng, &choice, &after_ms)) {
		entry_finish_call(sim, call,
		    state->may_have_run ? RESULT_UNKNOWN : RESULT_NOT_RUN);
		return;
	}
	state->guard = (int)(choice.upstream - sim->snapshot.upstreams);
	state->known = choice.known;
	sim_schedule(sim, send, 0);
	sim_reach_step(sim, call, STEP_PICKED);
}

static void
send_open(struct sim *sim, const struct sim_event *event)
{
	struct sim_call *state = &sim->calls[event->call];
	struct sim_event open = {
		.type = EV_OPEN,
		.call = event->call,
		.attempt = state->attempt,
		.hint = state->known,
		.value = state->deadline_ms - sim_now_ms(sim),
	};

	if (state->result != RESULT_PENDING || event->attempt != state->attempt)
		return;
	chooser_begin_call(
	    sim->chooser, sim->snapshot.upstreams[state->guard].name);
	state->sent = true;
	sim_send_frame(sim, LINK_TO_GUARD, state->guard, open);
	sim_reach_step(sim, event->call, STEP_OPEN_SENT);
}

static void
expire_call(struct sim *sim, int call)
{
	struct sim_call *state = &sim->calls[call];
	struct sim_event cancel = {
		.type = EV_CANCEL, .call = call, .attempt = state->attempt
	};

	if (state->sent) {
		state->may_have_run = true;
		sim_send_frame(sim, LINK_TO_GUARD, state->guard, cancel);
	}
	close_attempt(sim, call);
	if (state->frames_received > 0)
		entry_finish_call(sim, call, RESULT_ABORTED);
	else
		entry_finish_call(sim, call,
		    state->may_have_run ? RESULT_UNKNOWN : RESULT_NOT_RUN);
}

static void
handle_refusal(struct sim *sim, const struct sim_event *event)
{
	const struct sim_call *state = &sim->calls[event->call];
	enum attempt_result end =
	    attempt_classify(&state->known, event->reason, &event->hint);

	if (sim->scenario.variant == VARIANT_TRUST_ANY_REFUSAL)
		end =
		    attempt_classify(&event->hint, event->reason, &event->hint);
	end_attempt(sim, event->call, end);
}

static void
handle_response_frame(struct sim *sim, const struct sim_event *event)
{
	struct sim_call *state = &sim->calls[event->call];

	if (event->value != state->frames_received) {
		/* Reordered: the response can't be reassembled. */
		if (sim->scenario.variant !=
		    VARIANT_ACCEPT_TRUNCATED_RESPONSE) {
			end_attempt(sim, event->call, ATTEMPT_UNKNOWN);
			return;
		}
	}
	state->frames_received++;
	if (event->value == SIM_RESPONSE_FRAMES - 1) {
		close_attempt(sim, event->call);
		entry_finish_call(sim, event->call, RESULT_OK);
		if (state->frames_received != SIM_RESPONSE_FRAMES)
			sim_record_violation(sim, CHECK_COMPLETE_RESPONSE);
		return;
	}
	sim_reach_step(sim, event->call, STEP_FIRST_FRAME);
}

static void
start_call(struct sim *sim, const struct sim_event *event)
{
	struct sim_event deadline = {
		.type = EV_DEADLINE,
		.target = PROCESS_ENTRY,
		.generation = sim->processes[PROCESS_ENTRY].generation,
		.call = event->call,
	};

	retry_budget_deposit(sim->budget);
	sim->calls[event->call].deadline_ms = sim_now_ms(sim) + event->value;
	sim_schedule(sim, deadline, event->value);
	schedule_pick(sim, event->call);
	sim_reach_step(sim, event->call, STEP_ACCEPTED);
}

/*
 * Handle an event of the entry: a request, a timer or a guard's frame. Frames
 * of an attempt that has ended are dropped, except for the hint in them.
 */
void
entry_handle_event(struct sim *sim, const struct sim_event *event)
{
	struct sim_call *state = &sim->calls[event->call];

	if (event->type == EV_START) {
		start_call(sim, event);
		return;
	}
	if (event->hint.incarnation != 0)
		chooser_update_hint(sim->chooser,
		    sim->snapshot.upstreams[event->guard].name, &event->hint);
	if (state->result != RESULT_PENDING)
		return;
	if (event->type == EV_DEADLINE) {
		expire_call(sim, event->call);
		return;
	}
	if (event->type == EV_PICK) {
		pick_upstream(sim, event->call);
		return;
	}
	if (event->type == EV_SEND) {
		send_open(sim, event);
		return;
	}
	if (!state->sent || event->attempt != state->attempt)
		return;
	if (event->type == EV_PEER_LOST) {
		chooser_mark_lost(
		    sim->chooser, sim->snapshot.upstreams[state->guard].name);
		end_attempt(sim, event->call, ATTEMPT_UNKNOWN);
	} else if (event->type == EV_REFUSED) {
		handle_refusal(sim, event);
	} else if (event->type == EV_FAILED) {
		end_attempt(sim, event->call, ATTEMPT_UNKNOWN);
	} else if (event->type == EV_RESPONSE_FRAME) {
		handle_response_frame(sim, event);
	}
}
