#include "call_sim.h"

enum {
	LINK_MS = 1,
	DOWN_MS = 5000,
	RESTART_MS = 100, /* of an upstream */
	FROZEN_MS = 10000,
	CUT_MS = 3000,
	HUNG_MS = 5000,
	LATE_MS = 5000,
	REORDERED_MS = 30,
	DUPLICATED_MS = 50,
	DUPLICATED_LATE_MS = 1500,
	DUPLICATED_OLD_MS = 5000,
	FRAME_FAULT_MAX_MS = 5000, /* wait for a frame to apply a fault to */
	OUT_MS = 20000,
	CONFIG_DELAY_MS = 50,
	LOSS_DETECTION_MS = 300,
	INCARNATION_BASE = 100,
};

int64_t
sim_now_ms(const struct sim *sim)
{
	return timespec_ms_between(timespec_from_ms(0), sim->clock.now);
}

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct sim_event *x = a, *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->sequence < y->sequence ? -1 : 1;
}

void
sim_schedule(struct sim *sim, struct sim_event event, int64_t delay_ms)
{
	event.at_ms = sim_now_ms(sim) + delay_ms;
	event.sequence = sim->next_sequence++;
	g_sequence_insert_sorted(sim->event_queue,
	    g_memdup2(&event, sizeof(event)), compare_events, NULL);
}

/*
 * Put back an event of a frozen process, to be delivered in its original order
 * when the process resumes.
 */
void
sim_postpone(struct sim *sim, struct sim_event event, int64_t at_ms)
{
	event.at_ms = at_ms;
	g_sequence_insert_sorted(sim->event_queue,
	    g_memdup2(&event, sizeof(event)), compare_events, NULL);
}

/*
 * Answer an OPEN to a dead process with a lost connection.
 */
void
sim_refuse_connection(struct sim *sim, const struct sim_event *event)
{
	struct sim_event lost = *event;

	if (event->type != EV_OPEN)
		return;
	lost.type = EV_PEER_LOST;
	lost.target = PROCESS_ENTRY;
	lost.hint = (struct guard_hint){ .incarnation = 0 };
	sim_schedule(sim, lost, LINK_MS);
}

/*
 * Send a frame. A cut link delays frames until it is restored, as TCP does.
 */
void
sim_send_frame(struct sim *sim, enum link_direction direction, int guard,
    struct sim_event event)
{
	int64_t delay_ms = LINK_MS;
	enum fault fault = FAULT_NONE;

	event.target =
	    direction == LINK_TO_GUARD ? PROCESS_GUARD + guard : PROCESS_ENTRY;
	event.guard = guard;
	if (guard == 0) {
		if (sim_now_ms(sim) <= sim->frame_fault_until_ms)
			fault = sim->next_frame_fault;
		sim->next_frame_fault = FAULT_NONE;
		delay_ms +=
		    MAX(sim->cut_until_ms[direction] - sim_now_ms(sim), 0);
	}
	if (fault == FAULT_FRAME_LOST)
		return;
	if (fault == FAULT_FRAME_LATE)
		delay_ms += LATE_MS;
	else if (fault == FAULT_FRAME_REORDERED)
		delay_ms += REORDERED_MS;
	else if (fault == FAULT_FRAME_DUPLICATED)
		sim_schedule(sim, event, delay_ms + DUPLICATED_MS);
	else if (fault == FAULT_FRAME_DUPLICATED_LATE)
		sim_schedule(sim, event, delay_ms + DUPLICATED_LATE_MS);
	else if (fault == FAULT_FRAME_DUPLICATED_OLD)
		sim_schedule(sim, event, delay_ms + DUPLICATED_OLD_MS);
	sim_schedule(sim, event, delay_ms);
}

void
sim_record_violation(struct sim *sim, enum check check)
{
	sim->report->violations[check]++;
}

void
sim_start_entry(struct sim *sim)
{
	struct choice_settings settings = {
		.host = str_from("host-0"),
		.zone = str_from("zone-a"),
		.policy = CHOICE_HINTED,
		.hint_fresh_ms = 2000,
	};

	chooser_free(sim->chooser);
	retry_budget_free(sim->budget);
	sim->chooser = chooser_new(&settings, &sim->clock.base);
	sim->budget = retry_budget_new(20, 10);
	sim->processes[PROCESS_ENTRY].generation++;
	sim->processes[PROCESS_ENTRY].alive = true;
}

void
sim_start_guard(struct sim *sim, int index)
{
	struct process *process = &sim->processes[PROCESS_GUARD + index];
	struct guard_settings settings = {
		.slots = 12,
		.cold_limit = 1,
		.queue_limit = 12,
		.queue_wait_ms = 200,
		.tick_ms = 100,
		.tick_bound = 20,
		.dedup_entries = 64,
		.dedup_lease_ms = 10000,
	};

	process->generation++;
	process->alive = true;
	settings.incarnation =
	    INCARNATION_BASE * (uint64_t)(index + 1) + process->generation;
	guard_free(sim->guards[index]);
	g_hash_table_remove_all(sim->open[index]);
	sim->ticking[index] = false;
	sim->guards[index] = guard_new(&settings, &sim->clock.base, NULL);
	guard_set_in_service(
	    sim->guards[index], index != 0 || sim->guard_in_service);
}

static void
kill_entry(struct sim *sim)
{
	for (int i = 0; i < SIM_CALLS; i++)
		if (sim->calls[i].deadline_ms > 0)
			entry_finish_call(sim, i, RESULT_ABORTED);
	sim->processes[PROCESS_ENTRY].alive = false;
	sim->processes[PROCESS_ENTRY].frozen_until_ms = 0;
}

/*
 * Kill a guard. The upstream sees its connections break immediately, the entry
 * after LOSS_DETECTION_MS.
 */
static void
kill_guard(struct sim *sim, int index)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sim->open[index]);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		sim_schedule(
		    sim, upstream_event(sim, index, EV_ABORT, value), 0);
	}
	for (int i = 0; i < SIM_CALLS; i++) {
		struct sim_event event = {
			.type = EV_PEER_LOST,
			.target = PROCESS_ENTRY,
			.call = i,
			.attempt = sim->calls[i].attempt,
		};

		if (sim->calls[i].sent && sim->calls[i].guard == index)
			sim_schedule(sim, event, LOSS_DETECTION_MS);
	}
	sim->processes[PROCESS_GUARD + index].alive = false;
	sim->processes[PROCESS_GUARD + index].frozen_until_ms = 0;
}

static void
kill_upstream(struct sim *sim, int index)
{
	upstream_break_connections(sim, index);
	sim->upstreams[index].cold_starts++;
	sim->upstreams[index].failures_seen = 0;
	sim->upstreams[index].hung_until_ms = 0;
	sim->processes[PROCESS_UPSTREAM + index].alive = false;
	sim->processes[PROCESS_UPSTREAM + index].frozen_until_ms = 0;
}

void
sim_restart_process(struct sim *sim, enum process_id id)
{
	if (sim->processes[id].alive)
		return;
	if (id == PROCESS_ENTRY)
		sim_start_entry(sim);
	else if (id < PROCESS_UPSTREAM)
		sim_start_guard(sim, (int)(id - PROCESS_GUARD));
	sim->processes[id].alive = true;
	if (id >= PROCESS_UPSTREAM)
		sim->processes[id].generation++;
}

static void
schedule_restart(struct sim *sim, enum process_id id, int64_t delay_ms)
{
	struct sim_event event = { .type = EV_RESTART, .target = id };

	sim_schedule(sim, event, delay_ms);
}

static void
schedule_service_change(
    struct sim *sim, enum process_id id, bool in_service, int64_t delay_ms)
{
	struct sim_event event = {
		.type = EV_SET_IN_SERVICE, .target = id, .value = in_service
	};

	sim_schedule(sim, event, delay_ms);
}

static void
take_zone_out(struct sim *sim, bool notify_entry, bool notify_guard)
{
	if (sim->out_since_ms > 0)
		return;
	sim->out_since_ms = sim_now_ms(sim);
	if (notify_entry) {
		schedule_service_change(
		    sim, PROCESS_ENTRY, false, CONFIG_DELAY_MS);
		schedule_service_change(sim, PROCESS_ENTRY, true, OUT_MS);
	}
	if (notify_guard) {
		sim->guard_in_service = false;
		sim->guard_notified = true;
		schedule_service_change(
		    sim, PROCESS_GUARD, false, CONFIG_DELAY_MS);
		schedule_service_change(sim, PROCESS_GUARD, true, OUT_MS);
	}
	schedule_service_change(sim, PROCESS_UPSTREAM, true, OUT_MS - 1);
}

static void
freeze_process(struct sim *sim, enum process_id id)
{
	sim->processes[id].frozen_until_ms = sim_now_ms(sim) + FROZEN_MS;
}

static void
cut_link(struct sim *sim, enum link_direction direction)
{
	sim->cut_until_ms[direction] = sim_now_ms(sim) + CUT_MS;
}

static void
inject_process_fault(struct sim *sim, enum fault fault)
{
	switch (fault) {
	case FAULT_ENTRY_KILLED:
	case FAULT_ENTRY_RESTARTED:
		kill_entry(sim);
		if (fault == FAULT_ENTRY_KILLED)
			schedule_restart(sim, PROCESS_ENTRY, DOWN_MS);
		else
			sim_restart_process(sim, PROCESS_ENTRY);
		break;
	case FAULT_GUARD_KILLED:
	case FAULT_GUARD_RESTARTED:
		kill_guard(sim, 0);
		if (fault == FAULT_GUARD_KILLED)
			schedule_restart(sim, PROCESS_GUARD, DOWN_MS);
		else
			sim_restart_process(sim, PROCESS_GUARD);
		break;
	case FAULT_UPSTREAM_KILLED:
	case FAULT_UPSTREAM_RESTARTED:
		kill_upstream(sim, 0);
		schedule_restart(sim, PROCESS_UPSTREAM,
		    fault == FAULT_UPSTREAM_KILLED ? DOWN_MS : RESTART_MS);
		break;
	case FAULT_UPSTREAM_COLD:
		sim->upstreams[0].completed = 0;
		sim->upstreams[0].cold_starts++;
		sim->upstreams[0].failures_seen = 0;
		break;
	default:
		break;
	}
}

void
sim_inject_fault(struct sim *sim, enum fault fault)
{
	switch (fault) {
	case FAULT_ENTRY_FROZEN:
		freeze_process(sim, PROCESS_ENTRY);
		break;
	case FAULT_GUARD_FROZEN:
		freeze_process(sim, PROCESS_GUARD);
		break;
	case FAULT_UPSTREAM_FROZEN:
		freeze_process(sim, PROCESS_UPSTREAM);
		break;
	case FAULT_UPSTREAM_HUNG:
		sim->upstreams[0].hung_until_ms = sim_now_ms(sim) + HUNG_MS;
		break;
	case FAULT_CUT_BOTH:
		cut_link(sim, LINK_TO_GUARD);
		cut_link(sim, LINK_TO_ENTRY);
		break;
	case FAULT_CUT_TO_GUARD:
		cut_link(sim, LINK_TO_GUARD);
		break;
	case FAULT_CUT_TO_ENTRY:
		cut_link(sim, LINK_TO_ENTRY);
		break;
	case FAULT_FRAME_LATE:
	case FAULT_FRAME_LOST:
	case FAULT_FRAME_DUPLICATED:
	case FAULT_FRAME_DUPLICATED_LATE:
	case FAULT_FRAME_DUPLICATED_OLD:
	case FAULT_FRAME_REORDERED:
		sim->next_frame_fault = fault;
		sim->frame_fault_until_ms =
		    sim_now_ms(sim) + FRAME_FAULT_MAX_MS;
		break;
	case FAULT_ZONE_OUT:
	case FAULT_ZONE_OUT_ENTRY_ONLY:
	case FAULT_ZONE_OUT_GUARD_ONLY:
		take_zone_out(sim, fault != FAULT_ZONE_OUT_GUARD_ONLY,
		    fault != FAULT_ZONE_OUT_ENTRY_ONLY);
		break;
	default:
		inject_process_fault(sim, fault);
		break;
	}
}

/*
 * Inject the faults of a step that the subject call has reached, the second
 * fault only after the first.
 */
void
sim_reach_step(struct sim *sim, int call, enum step step)
{
	if (call != SIM_SUBJECT)
		return;
	for (int i = 0; i < SIM_FAULTS; i++) {
		if (sim->injected[i] || sim->scenario.faults[i].step != step)
			continue;
		if (i > 0 && !sim->injected[i - 1])
			continue;
		sim->injected[i] = true;
		sim_inject_fault(sim, sim->scenario.faults[i].fault);
	}
}
