#include <string.h>

#include "call_sim.h"

enum {
	TIMEOUT_MS = 4000,
	SUBJECT_AT_MS = 1000,
	BURST = 5, /* calls 1 to 5 start at once, later ones after a gap */
	WARM_CALLS = 240,
	WARM_WIDTH = 12,
	WARM_US = 20000,
	BURST_GAP_MS = 130,
	LATE_CALL_AT_MS = 3500,
	PROBE_AT_MS = 80000,
	ENTRY_FAULT_SLACK_MS = 30000,
	RESPONSE_SLACK_MS = 10,
	END_MS = 100000,
};

static void
start_calls(struct sim *sim)
{
	int64_t now_ms = sim_now_ms(sim);

	for (int i = 0; i < SIM_CALLS; i++) {
		struct sim_event start = {
			.type = EV_START,
			.target = PROCESS_ENTRY,
			.call = i,
			.value = TIMEOUT_MS,
		};
		int64_t at_ms = SUBJECT_AT_MS;

		if (i > BURST)
			at_ms += BURST_GAP_MS;
		if (i == SIM_RECOVERY_PROBE - 1)
			at_ms = LATE_CALL_AT_MS;
		if (i == SIM_RECOVERY_PROBE)
			at_ms = PROBE_AT_MS;
		if (i == 0)
			at_ms =
			    sim->scenario.first_contact ? LATE_CALL_AT_MS : 0;
		sim->calls[i].idempotent =
		    i == SIM_SUBJECT ? sim->scenario.idempotent : i % 2 == 0;
		sim_schedule(sim, start, now_ms + at_ms - sim_now_ms(sim));
	}
	sim->calls[SIM_RECOVERY_PROBE].idempotent = true;
}

/*
 * Complete enough calls at a guard that it considers its upstream warm.
 */
static void
warm_up(struct sim *sim, int index)
{
	struct guard *guard = sim->guards[index];
	struct guard_call call = { .idempotent = true };
	uint64_t tickets[WARM_WIDTH];
	enum refusal_reason reason;

	call.deadline = timespec_plus_ms(sim->clock.now, TIMEOUT_MS);
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
	sim->upstreams[index].completed = WARM_CALLS;
}

static void
sim_init(struct sim *sim, const struct sim_scenario *scenario,
    struct sim_report *report)
{
	static const char *const zones[SIM_GUARDS] = { "zone-a", "zone-b" };

	memset(sim, 0, sizeof(*sim));
	memset(report, 0, sizeof(*report));
	sim->scenario = *scenario;
	sim->report = report;
	sim->rng = rng_seeded_new(scenario->seed);
	sim->guard_in_service = true;
	fake_clock_init(&sim->clock);
	fake_snapshot_init(&sim->snapshot, zones, SIM_GUARDS);
	sim->event_queue = g_sequence_new(g_free);
	sim_start_entry(sim);
	for (int i = 0; i < SIM_GUARDS; i++) {
		sim->open[i] = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, NULL, g_free);
		sim->upstreams[i].working = g_hash_table_new_full(
		    g_int64_hash, g_int64_equal, NULL, g_free);
		sim->processes[PROCESS_UPSTREAM + i].alive = true;
		sim_start_guard(sim, i);
		if (scenario->warm)
			warm_up(sim, i);
	}
	start_calls(sim);
}

static void
sim_clear(struct sim *sim)
{
	for (int i = 0; i < SIM_GUARDS; i++) {
		guard_free(sim->guards[i]);
		g_hash_table_destroy(sim->open[i]);
		g_hash_table_destroy(sim->upstreams[i].working);
	}
	chooser_free(sim->chooser);
	retry_budget_free(sim->budget);
	g_sequence_free(sim->event_queue);
	rng_free(sim->rng);
}

/*
 * Return the zone to service with a cold upstream. A guard that was never
 * notified that the zone was out does not expect the cold start.
 */
static void
return_zone(struct sim *sim)
{
	struct sim_upstream *upstream = &sim->upstreams[0];

	upstream->completed = 0;
	if (!sim->guard_notified)
		upstream->cold_starts++;
	upstream->failures_seen = 0;
	sim->out_since_ms = 0;
}

static void
apply_service_change(struct sim *sim, const struct sim_event *event)
{
	if (event->target == PROCESS_ENTRY) {
		sim->snapshot.hosts[0].host.out = event->value == 0;
		return;
	}
	sim->guard_in_service = event->value != 0;
	if (sim->processes[event->target].alive)
		guard_handle_event(sim, 0, event);
}

static void
deliver_event(struct sim *sim, const struct sim_event *event)
{
	const struct process *process = &sim->processes[event->target];

	if (event->type == EV_RESTART) {
		sim_restart_process(sim, event->target);
		return;
	}
	if (event->type == EV_SET_IN_SERVICE) {
		if (event->target == PROCESS_UPSTREAM)
			return_zone(sim);
		else
			apply_service_change(sim, event);
		return;
	}
	if (event->generation != 0 && event->generation != process->generation)
		return;
	if (event->target >= PROCESS_UPSTREAM) {
		upstream_handle_event(
		    sim, (int)(event->target - PROCESS_UPSTREAM), event);
		return;
	}
	if (!process->alive) {
		sim_refuse_connection(sim, event);
		return;
	}
	if (event->target == PROCESS_ENTRY)
		entry_handle_event(sim, event);
	else
		guard_handle_event(
		    sim, (int)(event->target - PROCESS_GUARD), event);
}

static bool
must_postpone(const struct sim *sim, const struct sim_event *event)
{
	bool is_external = event->type == EV_RESTART ||
	    (event->type == EV_SET_IN_SERVICE &&
		event->target == PROCESS_UPSTREAM);

	return !is_external &&
	    sim->processes[event->target].frozen_until_ms > event->at_ms;
}

static void
update_digest(struct sim *sim, const struct sim_event *event)
{
	uint64_t words[] = { (uint64_t)event->at_ms, event->type, event->target,
		(uint64_t)event->call, event->reason };

	for (size_t i = 0; i < G_N_ELEMENTS(words); i++)
		sim->report->digest =
		    (sim->report->digest ^ words[i]) * 0x100000001b3u;
}

static void
run_events(struct sim *sim)
{
	while (!g_sequence_is_empty(sim->event_queue)) {
		GSequenceIter *first =
		    g_sequence_get_begin_iter(sim->event_queue);
		struct sim_event event =
		    *(struct sim_event *)g_sequence_get(first);

		g_sequence_remove(first);
		if (event.at_ms > END_MS)
			break;
		sim->clock.now = timespec_from_ms(event.at_ms);
		if (must_postpone(sim, &event)) {
			sim_postpone(sim, event,
			    sim->processes[event.target].frozen_until_ms);
			continue;
		}
		update_digest(sim, &event);
		deliver_event(sim, &event);
	}
}

static bool
has_entry_fault(const struct sim_scenario *scenario)
{
	for (int i = 0; i < SIM_FAULTS; i++)
		if (scenario->faults[i].fault >= FAULT_ENTRY_KILLED &&
		    scenario->faults[i].fault <= FAULT_ENTRY_FROZEN)
			return true;
	return false;
}

static void
check_call(struct sim *sim, const struct sim_call *call)
{
	int64_t late_ms = call->ended_ms - call->deadline_ms;
	int64_t slack_ms = has_entry_fault(&sim->scenario)
	    ? ENTRY_FAULT_SLACK_MS
	    : RESPONSE_SLACK_MS;

	if (!call->idempotent && call->runs > 1)
		sim_record_violation(sim, CHECK_AT_MOST_ONCE);
	if (call->result == RESULT_NOT_RUN && call->runs > 0)
		sim_record_violation(sim, CHECK_NOT_RUN);
	if (call->deadline_ms == 0)
		return; /* the entry was down: connection refused */
	if (call->result == RESULT_PENDING || late_ms > slack_ms)
		sim_record_violation(sim, CHECK_ANSWERED_IN_TIME);
}

/*
 * Run one cell of the matrix to its end and check all calls.
 */
void
sim_run(const struct sim_scenario *scenario, struct sim_report *report)
{
	struct sim sim;

	sim_init(&sim, scenario, report);
	run_events(&sim);
	for (int i = 0; i < SIM_CALLS; i++)
		check_call(&sim, &sim.calls[i]);
	for (int i = 0; i < SIM_GUARDS; i++)
		if (sim.upstreams[i].overloads > sim.upstreams[i].cold_starts)
			sim_record_violation(&sim, CHECK_COLD_LIMIT);
	if (sim.calls[SIM_RECOVERY_PROBE].result != RESULT_OK)
		sim_record_violation(&sim, CHECK_RECOVERED);
	sim_clear(&sim);
}
