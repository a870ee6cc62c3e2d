#include "mesh/mesh_private.h"

enum {
	JOIN_ASK_PEERS = 3,
	JOIN_ASK_FIRST_MS = 200,
	JOIN_ASK_MAX_MS = 2000,
	JOIN_SETTLE_MS = 300,
};

static void
send_join(struct mesh *mesh, struct str address)
{
	struct mesh_message message = mesh_message_begin(mesh, MESH_JOIN);

	mesh_send(mesh, address, &message);
}

static void
ask_seeds(struct mesh *mesh)
{
	struct contacts *contacts = &mesh->contacts;
	size_t asked = 0;

	for (size_t i = 0; i < contacts->count && asked < JOIN_ASK_PEERS; i++) {
		if (!contacts->items[i].seed)
			continue;
		send_join(mesh, contacts->items[i].address);
		asked++;
	}
}

static void
ask_some(struct mesh *mesh)
{
	for (size_t i = 0; i < JOIN_ASK_PEERS; i++) {
		const struct contact *contact =
		    contacts_pick(&mesh->contacts, mesh->env.rng);

		if (contact != NULL)
			send_join(mesh, contact->address);
	}
}

/* Ask again and again, at growing intervals, so that a herd stays bearable. */
static void
ask_peers(struct mesh *mesh)
{
	struct joining *joining = &mesh->joining;

	if (timespec_before(mesh->now, joining->ask_next))
		return;
	if (joining->first_asked)
		ask_some(mesh);
	else
		ask_seeds(mesh);
	joining->first_asked = true;
	joining->ask_wait_ms =
	    CLAMP(joining->ask_wait_ms * 2, JOIN_ASK_FIRST_MS, JOIN_ASK_MAX_MS);
	joining->ask_next = timespec_plus_ms(mesh->now,
	    joining->ask_wait_ms / 2 +
		(int64_t)rng_below(
		    mesh->env.rng, (uint64_t)joining->ask_wait_ms));
}

/* No other node is known, so that none can know a floor. */
static bool
is_alone(const struct mesh *mesh)
{
	return mesh_fleet_size(mesh) <= 1 && mesh->listed_hosts <= 1 &&
	    mesh->contacts.count == 0;
}

/*
 * A state that came from a peer, or the platform's up to its head. The
 * platform may be stale, so that its word alone does not do while there are
 * peers and none of them answers.
 */
static bool
has_whole_state(const struct mesh *mesh)
{
	const struct reading *reading = &mesh->reading;

	if (mesh->joining.given)
		return true;
	return (mesh->joining.peer_answered || is_alone(mesh)) &&
	    reading->answered && !reading->compacted &&
	    snapshot_id(mesh->snapshot).version >= reading->head;
}

/*
 * Those whose word a joiner waits for: the keepers of its floor, and the
 * zone's first readers. A reader watches the platform, so its version is the
 * platform's head: this host may have served one that no keeper heard of.
 */
static size_t
witness_count(const struct mesh *mesh)
{
	return mesh->members.keeper_count + mesh->members.reader_count;
}

static const struct record *
witness_at(const struct mesh *mesh, size_t index)
{
	const struct members *members = &mesh->members;

	if (index < members->keeper_count)
		return members->keepers[index];
	return members->readers[index - members->keeper_count];
}

static void
begin_settling(struct mesh *mesh)
{
	struct joining *joining = &mesh->joining;

	joining->settling = true;
	joining->witnesses_answered = 0;
	joining->settle_until = timespec_plus_ms(mesh->now, JOIN_SETTLE_MS);
	for (size_t i = 0; i < witness_count(mesh); i++)
		send_join(mesh, witness_at(mesh, i)->host.node);
}

static bool
all_witnesses_answered(const struct mesh *mesh)
{
	size_t count = witness_count(mesh);

	return count > 0 &&
	    mesh->joining.witnesses_answered == (1U << count) - 1;
}

/*
 * Once a state is held, ask the witnesses, which the host's own record and
 * zone now name. The node is ready when all of them answered or
 * had the time to, and the state is not below the floor.
 */
static void
settle(struct mesh *mesh)
{
	struct joining *joining = &mesh->joining;

	if (!has_whole_state(mesh))
		return;
	if (!joining->settling) {
		begin_settling(mesh);
		return;
	}
	if (!all_witnesses_answered(mesh) &&
	    timespec_before(mesh->now, joining->settle_until))
		return;
	if (snapshot_id(mesh->snapshot).version < joining->floor) {
		counter_add(&mesh->counters, MESH_COUNTER_FLOOR_WAIT, 1);
		joining->settling = false;
		return;
	}
	mesh_become_ready(mesh);
}

/*
 * Do what is due while joining.
 */
void
mesh_join_tick(struct mesh *mesh)
{
	ask_peers(mesh);
	settle(mesh);
}

static void
note_witness(struct mesh *mesh, struct str host)
{
	for (size_t i = 0; i < witness_count(mesh); i++)
		if (str_equal(witness_at(mesh, i)->name, host))
			mesh->joining.witnesses_answered |= 1U << i;
}

/*
 * Take an answer to a join: a floor, peers to ask, and from a ready peer the
 * version below which this node will not serve.
 */
void
mesh_handle_welcome(struct mesh *mesh, const struct mesh_message *message)
{
	const struct mesh_welcome *welcome = &message->welcome;
	struct joining *joining = &mesh->joining;

	for (size_t i = 0; i < welcome->peer_count; i++)
		contacts_add(
		    &mesh->contacts, welcome->peers[i].address, mesh->env.rng);
	mesh_pull_busy(mesh, message);
	if (mesh->state != MESH_JOINING)
		return;
	joining->floor = MAX(joining->floor, welcome->floor);
	joining->peer_answered = true;
	note_witness(mesh, message->sender.host);
	if (!message->ready)
		return;
	joining->floor = MAX(joining->floor, message->state.version);
	joining->ready_peer = true;
	joining->last_ready_answer = mesh->now;
}
