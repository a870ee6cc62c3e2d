#include <string.h>

#include "call_sim.h"

enum {
	TIMEOUT_MS = 4000,
	SUBJECT_AT_MS = 1000,
	BURST = 5, /* calls at once with the subject; the rest later */
	WARM_CALLS = 240,
	WARM_WIDTH = 12,
	WARM_US = 20000,
	BURST_GAP_MS = 130,
	LATER_AT_MS = 3500,
	PROBE_AT_MS = 80000,
	ENTRY_FAULT_SLACK_MS = 30000,
	ANSWER_SLACK_MS = 10,
	END_MS = 100000,
};

static void
start_calls(struct world *world)
{
	int64_t now = world_now(world);

	for (int i = 0; i < WORLD_CALLS; i++) {
		struct event_item start = {
			.what = HAPPEN_START,
			.to = PROCESS_ENTRY,
			.call = i,
			.value = TIMEOUT_MS,
		};
		int64_t at_ms = SUBJECT_AT_MS;

		if (i > BURST)
			at_ms += BURST_GAP_MS;
		if (i == WORLD_PROBE - 1)
			at_ms = LATER_AT_MS;
		if (i == WORLD_PROBE)
			at_ms = PROBE_AT_MS;
		if (i == 0)
			at_ms = world->plan.first_contact ? LATER_AT_MS : 0;
		world->calls[i].idempotent =
		    i == WORLD_SUBJECT ? world->plan.idempotent : i % 2 == 0;
		world_push(world, start, now + at_ms - world_now(world));
	}
	world->calls[WORLD_PROBE].idempotent = true;
}

/*
 * Let a guard see enough good work to take its upstream to be warm.
 */
static void
warm_up(struct world *world, int index)
{
	struct guard *guard = world->guards[index];
	struct guard_call call = { .idempotent = true };
	uint64_t tickets[WARM_WIDTH];
	enum refusal_reason reason;

	call.deadline = timespec_plus_ms(world->clock.now, TIMEOUT_MS);
	for (int done = 0; done < WARM_CALLS;) {
		uint32_t width = guard_hint(guard).limit;

		call.incarnation = guard_hint(guard).incarnation;
		call.tick = guard_hint(guard).tick;
		for (uint32_t i = 0; i < width; i++) {
			guard_admit(guard, &call, &tickets[i], &reason);
			guard_confirm(guard, tickets[i], &reason);
		}
		for (uint32_t i = 0; i < width; i++)
			guard_complete(guard, tickets[i], OUTCOME_OK, WARM_US);
		done += (int)width;
	}
	world->upstreams[index].completed = WARM_CALLS;
}

static void
world_init(struct world *world, const struct world_plan *plan,
    struct world_verdict *verdict)
{
	static const char *const zones[WORLD_GUARDS] = { "zone-a", "zone-b" };

	memset(world, 0, sizeof(*world));
	memset(verdict, 0, sizeof(*verdict));
	world->plan = *plan;
	world->verdict = verdict;
	world->rng = rng_seeded_new(plan->seed);
	world->guard_in_service = true;
	fake_clock_init(&world->clock);
	fake_snapshot_init(&world->snapshot, zones, WORLD_GUARDS);
	world->agenda = g_sequence_new(g_free);
	world_start_entry(world);
	for (int i = 0; i < WORLD_GUARDS; i++) {
		world->open[i] = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, NULL, g_free);
		world->upstreams[i].working = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, NULL, g_free);
		world->processes[PROCESS_UPSTREAM + i].alive = true;
		world_start_guard(world, i);
		if (plan->warm)
			warm_up(world, i);
	}
	start_calls(world);
}

static void
world_clear(struct world *world)
{
	for (int i = 0; i < WORLD_GUARDS; i++) {
		guard_free(world->guards[i]);
		g_hash_table_destroy(world->open[i]);
		g_hash_table_destroy(world->upstreams[i].working);
	}
	chooser_free(world->chooser);
	retry_budget_free(world->budget);
	g_sequence_free(world->agenda);
	rng_free(world->rng);
}

/*
 * The zone comes back, its upstream cold. Unannounced for a guard that never
 * heard that it was out.
 */
static void
return_upstream(struct world *world)
{
	struct world_upstream *upstream = &world->upstreams[0];

	upstream->completed = 0;
	if (!world->guard_told)
		upstream->turns++;
	upstream->failures_seen = 0;
	world->out_since_ms = 0;
}

static void
change_service(struct world *world, const struct event_item *item)
{
	if (item->to == PROCESS_ENTRY) {
		world->snapshot.hosts[0].host.out = item->value == 0;
		return;
	}
	world->guard_in_service = item->value != 0;
	if (world->processes[item->to].alive)
		guard_handle(world, 0, item);
}

static void
deliver(struct world *world, const struct event_item *item)
{
	const struct process *process = &world->processes[item->to];

	if (item->what == HAPPEN_REVIVE) {
		world_revive(world, item->to);
		return;
	}
	if (item->what == HAPPEN_SET_SERVICE) {
		if (item->to == PROCESS_UPSTREAM)
			return_upstream(world);
		else
			change_service(world, item);
		return;
	}
	if (item->generation != 0 && item->generation != process->generation)
		return;
	if (item->to >= PROCESS_UPSTREAM) {
		upstream_handle(
		    world, (int)(item->to - PROCESS_UPSTREAM), item);
		return;
	}
	if (!process->alive) {
		world_refuse_connection(world, item);
		return;
	}
	if (item->to == PROCESS_ENTRY)
		entry_handle(world, item);
	else
		guard_handle(world, (int)(item->to - PROCESS_GUARD), item);
}

static bool
must_wait(const struct world *world, const struct event_item *item)
{
	bool world_event = item->what == HAPPEN_REVIVE ||
	    (item->what == HAPPEN_SET_SERVICE && item->to == PROCESS_UPSTREAM);

	return !world_event &&
	    world->processes[item->to].frozen_until_ms > item->at_ms;
}

static void
note(struct world *world, const struct event_item *item)
{
	uint64_t words[] = { (uint64_t)item->at_ms, item->what, item->to,
		(uint64_t)item->call, item->reason };

	for (size_t i = 0; i < G_N_ELEMENTS(words); i++)
		world->verdict->digest =
		    (world->verdict->digest ^ words[i]) * 0x100000001b3u;
}

static void
run_agenda(struct world *world)
{
	while (!g_sequence_is_empty(world->agenda)) {
		GSequenceIter *first = g_sequence_get_begin_iter(world->agenda);
		struct event_item item =
		    *(struct event_item *)g_sequence_get(first);

		g_sequence_remove(first);
		if (item.at_ms > END_MS)
			break;
		world->clock.now = timespec_from_ms(item.at_ms);
		if (must_wait(world, &item)) {
			world_push_again(world, item,
			    world->processes[item.to].frozen_until_ms);
			continue;
		}
		note(world, &item);
		deliver(world, &item);
	}
}

static bool
strikes_entry(const struct world_plan *plan)
{
	for (int i = 0; i < WORLD_FAULTS; i++)
		if (plan->faults[i].fault >= FAULT_ENTRY_KILLED &&
		    plan->faults[i].fault <= FAULT_ENTRY_FROZEN)
			return true;
	return false;
}

static void
check_call(struct world *world, const struct world_call *call)
{
	int64_t late_ms = call->ended_ms - call->deadline_ms;
	int64_t slack_ms = strikes_entry(&world->plan) ? ENTRY_FAULT_SLACK_MS
						       : ANSWER_SLACK_MS;

	if (!call->idempotent && call->runs > 1)
		world_break(world, CHECK_ONCE);
	if (call->result == RESULT_NOT_RUN && call->runs > 0)
		world_break(world, CHECK_NOT_RUN);
	if (call->deadline_ms == 0)
		return; /* the entry was down: refused by the kernel */
	if (call->result == RESULT_OPEN || late_ms > slack_ms)
		world_break(world, CHECK_ANSWERED);
}

/*
 * Run one cell of the matrix to its end and check all calls.
 */
void
world_run(const struct world_plan *plan, struct world_verdict *verdict)
{
	struct world world;

	world_init(&world, plan, verdict);
	run_agenda(&world);
	for (int i = 0; i < WORLD_CALLS; i++)
		check_call(&world, &world.calls[i]);
	for (int i = 0; i < WORLD_GUARDS; i++)
		if (world.upstreams[i].overloads > world.upstreams[i].turns)
			world_break(&world, CHECK_COLD);
	if (world.calls[WORLD_PROBE].result != RESULT_OK)
		world_break(&world, CHECK_RECOVERED);
	world_clear(&world);
}
