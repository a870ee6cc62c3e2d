#include "call_sim.h"

enum {
	LINK_MS = 1,
	DOWN_MS = 5000,
	RESTART_MS = 100, /* of an upstream */
	FROZEN_MS = 10000,
	CUT_MS = 3000,
	HUNG_MS = 5000,
	LATE_MS = 5000,
	CROSSED_MS = 30,
	DOUBLED_MS = 50,
	DOUBLED_LATE_MS = 1500,
	DOUBLED_OLD_MS = 5000,
	ARMED_MS = 5000, /* a fault of the next message waits so long for one */
	OUT_MS = 20000,
	NEWS_MS = 50,
	LOST_NOTICED_MS = 300,
	INCARNATION_BASE = 100,
};

int64_t
world_now(const struct world *world)
{
	return timespec_ms_between(timespec_from_ms(0), world->clock.now);
}

static gint
compare_items(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct event_item *x = a, *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->sequence < y->sequence ? -1 : 1;
}

void
world_push(struct world *world, struct event_item item, int64_t delay_ms)
{
	item.at_ms = world_now(world) + delay_ms;
	item.sequence = world->next_sequence++;
	g_sequence_insert_sorted(
	    world->agenda, g_memdup2(&item, sizeof(item)), compare_items, NULL);
}

/*
 * Put an item back that its frozen process will find as it wakes, in order.
 */
void
world_push_again(struct world *world, struct event_item item, int64_t at_ms)
{
	item.at_ms = at_ms;
	g_sequence_insert_sorted(
	    world->agenda, g_memdup2(&item, sizeof(item)), compare_items, NULL);
}

/*
 * A frame for a dead process comes back as a broken connection.
 */
void
world_refuse_connection(struct world *world, const struct event_item *item)
{
	struct event_item lost = *item;

	if (item->what != HAPPEN_OPEN)
		return;
	lost.what = HAPPEN_PEER_LOST;
	lost.to = PROCESS_ENTRY;
	lost.hint = (struct guard_hint){ .incarnation = 0 };
	world_push(world, lost, LINK_MS);
}

/*
 * A cut link holds frames back until it is mended, as TCP does.
 */
void
world_send(
    struct world *world, enum link_way way, int guard, struct event_item item)
{
	int64_t delay_ms = LINK_MS;
	enum fault fate = FAULT_NONE;

	item.to = way == LINK_TO_GUARD ? PROCESS_GUARD + guard : PROCESS_ENTRY;
	item.guard = guard;
	if (guard == 0) {
		if (world_now(world) <= world->armed_until_ms)
			fate = world->next_message;
		world->next_message = FAULT_NONE;
		delay_ms += MAX(world->cut_until_ms[way] - world_now(world), 0);
	}
	if (fate == FAULT_MESSAGE_LOST)
		return;
	if (fate == FAULT_MESSAGE_LATE)
		delay_ms += LATE_MS;
	else if (fate == FAULT_MESSAGE_CROSSED)
		delay_ms += CROSSED_MS;
	else if (fate == FAULT_MESSAGE_DOUBLED)
		world_push(world, item, delay_ms + DOUBLED_MS);
	else if (fate == FAULT_MESSAGE_DOUBLED_LATE)
		world_push(world, item, delay_ms + DOUBLED_LATE_MS);
	else if (fate == FAULT_MESSAGE_DOUBLED_OLD)
		world_push(world, item, delay_ms + DOUBLED_OLD_MS);
	world_push(world, item, delay_ms);
}

void
world_break(struct world *world, enum check check)
{
	world->verdict->broken[check]++;
}

void
world_start_entry(struct world *world)
{
	struct choice_settings settings = {
		.host = str_from("host-0"),
		.zone = str_from("zone-a"),
		.policy = CHOICE_HINTED,
		.hint_fresh_ms = 2000,
	};

	chooser_free(world->chooser);
	retry_budget_free(world->budget);
	world->chooser = chooser_new(&settings, &world->clock.base);
	world->budget = retry_budget_new(20, 10);
	world->processes[PROCESS_ENTRY].generation++;
	world->processes[PROCESS_ENTRY].alive = true;
}

void
world_start_guard(struct world *world, int index)
{
	struct process *process = &world->processes[PROCESS_GUARD + index];
	struct guard_settings settings = {
		.slots = 12,
		.cold_limit = 1,
		.queue_limit = 12,
		.queue_wait_ms = 200,
		.tick_ms = 100,
		.tick_bound = 20,
		.once_entries = 64,
		.once_lease_ms = 10000,
	};

	process->generation++;
	process->alive = true;
	settings.incarnation =
	    INCARNATION_BASE * (uint64_t)(index + 1) + process->generation;
	guard_free(world->guards[index]);
	g_hash_table_remove_all(world->open[index]);
	world->ticking[index] = false;
	world->guards[index] = guard_new(&settings, &world->clock.base, NULL);
	guard_set_in_service(
	    world->guards[index], index != 0 || world->guard_in_service);
}

static void
kill_entry(struct world *world)
{
	for (int i = 0; i < WORLD_CALLS; i++)
		if (world->calls[i].deadline_ms > 0)
			entry_end(world, i, RESULT_CUT);
	world->processes[PROCESS_ENTRY].alive = false;
	world->processes[PROCESS_ENTRY].frozen_until_ms = 0;
}

/*
 * The upstream sees the guard's connections break, the entry learns of it a
 * little later.
 */
static void
kill_guard(struct world *world, int index)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, world->open[index]);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		world_push(
		    world, upstream_item(world, index, HAPPEN_ABORT, value), 0);
	}
	for (int i = 0; i < WORLD_CALLS; i++) {
		struct event_item item = {
			.what = HAPPEN_PEER_LOST,
			.to = PROCESS_ENTRY,
			.call = i,
			.attempt = world->calls[i].attempt,
		};

		if (world->calls[i].sent && world->calls[i].guard == index)
			world_push(world, item, LOST_NOTICED_MS);
	}
	world->processes[PROCESS_GUARD + index].alive = false;
	world->processes[PROCESS_GUARD + index].frozen_until_ms = 0;
}

static void
kill_upstream(struct world *world, int index)
{
	upstream_break(world, index);
	world->upstreams[index].turns++;
	world->upstreams[index].failures_seen = 0;
	world->upstreams[index].hung_until_ms = 0;
	world->processes[PROCESS_UPSTREAM + index].alive = false;
	world->processes[PROCESS_UPSTREAM + index].frozen_until_ms = 0;
}

void
world_revive(struct world *world, enum process_id id)
{
	if (world->processes[id].alive)
		return;
	if (id == PROCESS_ENTRY)
		world_start_entry(world);
	else if (id < PROCESS_UPSTREAM)
		world_start_guard(world, (int)(id - PROCESS_GUARD));
	world->processes[id].alive = true;
	if (id >= PROCESS_UPSTREAM)
		world->processes[id].generation++;
}

static void
revive_later(struct world *world, enum process_id id, int64_t delay_ms)
{
	struct event_item item = { .what = HAPPEN_REVIVE, .to = id };

	world_push(world, item, delay_ms);
}

static void
set_service(struct world *world, enum process_id id, bool in, int64_t delay_ms)
{
	struct event_item item = {
		.what = HAPPEN_SET_SERVICE, .to = id, .value = in
	};

	world_push(world, item, delay_ms);
}

static void
take_zone_out(struct world *world, bool tell_entry, bool tell_guard)
{
	if (world->out_since_ms > 0)
		return;
	world->out_since_ms = world_now(world);
	if (tell_entry) {
		set_service(world, PROCESS_ENTRY, false, NEWS_MS);
		set_service(world, PROCESS_ENTRY, true, OUT_MS);
	}
	if (tell_guard) {
		world->guard_in_service = false;
		world->guard_told = true;
		set_service(world, PROCESS_GUARD, false, NEWS_MS);
		set_service(world, PROCESS_GUARD, true, OUT_MS);
	}
	set_service(world, PROCESS_UPSTREAM, true, OUT_MS - 1);
}

static void
freeze(struct world *world, enum process_id id)
{
	world->processes[id].frozen_until_ms = world_now(world) + FROZEN_MS;
}

static void
cut(struct world *world, enum link_way way)
{
	world->cut_until_ms[way] = world_now(world) + CUT_MS;
}

static void
strike_process(struct world *world, enum fault fault)
{
	switch (fault) {
	case FAULT_ENTRY_KILLED:
	case FAULT_ENTRY_RESTARTED:
		kill_entry(world);
		if (fault == FAULT_ENTRY_KILLED)
			revive_later(world, PROCESS_ENTRY, DOWN_MS);
		else
			world_revive(world, PROCESS_ENTRY);
		break;
	case FAULT_GUARD_KILLED:
	case FAULT_GUARD_RESTARTED:
		kill_guard(world, 0);
		if (fault == FAULT_GUARD_KILLED)
			revive_later(world, PROCESS_GUARD, DOWN_MS);
		else
			world_revive(world, PROCESS_GUARD);
		break;
	case FAULT_UPSTREAM_KILLED:
	case FAULT_UPSTREAM_RESTARTED:
		kill_upstream(world, 0);
		revive_later(world, PROCESS_UPSTREAM,
		    fault == FAULT_UPSTREAM_KILLED ? DOWN_MS : RESTART_MS);
		break;
	case FAULT_UPSTREAM_COLD:
		world->upstreams[0].completed = 0;
		world->upstreams[0].turns++;
		world->upstreams[0].failures_seen = 0;
		break;
	default:
		break;
	}
}

void
world_strike(struct world *world, enum fault fault)
{
	switch (fault) {
	case FAULT_ENTRY_FROZEN:
		freeze(world, PROCESS_ENTRY);
		break;
	case FAULT_GUARD_FROZEN:
		freeze(world, PROCESS_GUARD);
		break;
	case FAULT_UPSTREAM_FROZEN:
		freeze(world, PROCESS_UPSTREAM);
		break;
	case FAULT_UPSTREAM_HUNG:
		world->upstreams[0].hung_until_ms = world_now(world) + HUNG_MS;
		break;
	case FAULT_CUT_BOTH:
		cut(world, LINK_TO_GUARD);
		cut(world, LINK_TO_ENTRY);
		break;
	case FAULT_CUT_TO_GUARD:
		cut(world, LINK_TO_GUARD);
		break;
	case FAULT_CUT_TO_ENTRY:
		cut(world, LINK_TO_ENTRY);
		break;
	case FAULT_MESSAGE_LATE:
	case FAULT_MESSAGE_LOST:
	case FAULT_MESSAGE_DOUBLED:
	case FAULT_MESSAGE_DOUBLED_LATE:
	case FAULT_MESSAGE_DOUBLED_OLD:
	case FAULT_MESSAGE_CROSSED:
		world->next_message = fault;
		world->armed_until_ms = world_now(world) + ARMED_MS;
		break;
	case FAULT_ZONE_OUT:
	case FAULT_ZONE_OUT_ENTRY_ONLY:
	case FAULT_ZONE_OUT_GUARD_ONLY:
		take_zone_out(world, fault != FAULT_ZONE_OUT_GUARD_ONLY,
		    fault != FAULT_ZONE_OUT_ENTRY_ONLY);
		break;
	default:
		strike_process(world, fault);
		break;
	}
}

/*
 * The subject call has come to a step: strike the faults planned for it, the
 * second only after the first.
 */
void
world_step(struct world *world, int call, enum step step)
{
	if (call != WORLD_SUBJECT)
		return;
	for (int i = 0; i < WORLD_FAULTS; i++) {
		if (world->fired[i] || world->plan.faults[i].step != step)
			continue;
		if (i > 0 && !world->fired[i - 1])
			continue;
		world->fired[i] = true;
		world_strike(world, world->plan.faults[i].fault);
	}
}
