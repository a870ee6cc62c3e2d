#include "mesh/mesh_private.h"

enum {
	JOIN_ASK_PEERS = 3,
	JOIN_ASK_INTERVAL_MIN_MS = 200,
	JOIN_ASK_INTERVAL_MAX_MS = 2000,
	JOIN_FLOOR_WAIT_MS = 300,
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
ask_random_contacts(struct mesh *mesh)
{
	for (size_t i = 0; i < JOIN_ASK_PEERS; i++) {
		const struct contact *contact =
		    contacts_pick(&mesh->contacts, mesh->env.rng);

		if (contact != NULL)
			send_join(mesh, contact->address);
	}
}

/* Ask at growing intervals, to limit the load when many nodes join at once. */
static void
ask_peers(struct mesh *mesh)
{
	struct joining *joining = &mesh->joining;

	if (timespec_before(mesh->now, joining->next_ask))
		return;
	if (joining->seeds_asked)
		ask_random_contacts(mesh);
	else
		ask_seeds(mesh);
	joining->seeds_asked = true;
	joining->ask_interval_ms = CLAMP(joining->ask_interval_ms * 2,
	    JOIN_ASK_INTERVAL_MIN_MS, JOIN_ASK_INTERVAL_MAX_MS);
	joining->next_ask = timespec_plus_ms(mesh->now,
	    joining->ask_interval_ms / 2 +
		(int64_t)rng_below(
		    mesh->env.rng, (uint64_t)joining->ask_interval_ms));
}

/* No other node is known, so none can know a floor for this host. */
static bool
is_alone(const struct mesh *mesh)
{
	return mesh_fleet_size(mesh) <= 1 && mesh->listed_host_count <= 1 &&
	    mesh->contacts.count == 0;
}

/*
 * Tell whether the current state came from a peer, or covers the platform's log
 * up to its head. The platform may be stale, so its response alone is not
 * enough while peers exist and none of them responds.
 */
static bool
has_complete_state(const struct mesh *mesh)
{
	const struct platform_reader *reader = &mesh->reader;

	if (mesh->joining.state_from_peer)
		return true;
	return (mesh->joining.peer_responded || is_alone(mesh)) &&
	    reader->has_responded && !reader->compacted &&
	    snapshot_id(mesh->snapshot).version >= reader->head;
}

/*
 * Hosts whose responses a joining node waits for: the trackers of its floor,
 * and the zone's first readers. A reader watches the platform, so its version
 * is the platform's head. This covers a version that this host served and no
 * tracker heard of.
 */
static size_t
floor_source_count(const struct mesh *mesh)
{
	return mesh->members.tracker_count + mesh->members.reader_count;
}

static const struct record *
floor_source_at(const struct mesh *mesh, size_t index)
{
	const struct members *members = &mesh->members;

	if (index < members->tracker_count)
		return members->trackers[index];
	return members->readers[index - members->tracker_count];
}

static void
begin_floor_check(struct mesh *mesh)
{
	struct joining *joining = &mesh->joining;

	joining->confirming_floor = true;
	joining->floor_sources_responded = 0;
	joining->floor_deadline =
	    timespec_plus_ms(mesh->now, JOIN_FLOOR_WAIT_MS);
	for (size_t i = 0; i < floor_source_count(mesh); i++)
		send_join(mesh, floor_source_at(mesh, i)->host.node);
}

static bool
all_floor_sources_responded(const struct mesh *mesh)
{
	size_t count = floor_source_count(mesh);

	return count > 0 &&
	    mesh->joining.floor_sources_responded == (1U << count) - 1;
}

/*
 * Once there is a state, ask the floor sources, which are now known from the
 * host's own record and zone. The node becomes ready when all of them have
 * responded or the wait is over, and the state is not below the floor.
 */
static void
confirm_floor(struct mesh *mesh)
{
	struct joining *joining = &mesh->joining;

	if (!has_complete_state(mesh))
		return;
	if (!joining->confirming_floor) {
		begin_floor_check(mesh);
		return;
	}
	if (!all_floor_sources_responded(mesh) &&
	    timespec_before(mesh->now, joining->floor_deadline))
		return;
	if (snapshot_id(mesh->snapshot).version < joining->floor) {
		counter_add(&mesh->counters, MESH_COUNTER_FLOOR_WAIT, 1);
		joining->confirming_floor = false;
		return;
	}
	mesh_become_ready(mesh);
}

/*
 * Run the work that is due while joining.
 */
void
mesh_join_tick(struct mesh *mesh)
{
	ask_peers(mesh);
	confirm_floor(mesh);
}

static void
mark_floor_source(struct mesh *mesh, struct str host)
{
	for (size_t i = 0; i < floor_source_count(mesh); i++)
		if (str_equal(floor_source_at(mesh, i)->name, host))
			mesh->joining.floor_sources_responded |= 1U << i;
}

/*
 * Handle the response to a join: a floor, peers to ask, and from a ready peer
 * the version below which this node will not serve.
 */
void
mesh_handle_welcome(struct mesh *mesh, const struct mesh_message *message)
{
	const struct mesh_welcome *welcome = &message->welcome;
	struct joining *joining = &mesh->joining;

	for (size_t i = 0; i < welcome->peer_count; i++)
		contacts_add(
		    &mesh->contacts, welcome->peers[i].address, mesh->env.rng);
	mesh_handle_pull_busy(mesh, message);
	if (mesh->state != MESH_JOINING)
		return;
	joining->floor = MAX(joining->floor, welcome->floor);
	joining->peer_responded = true;
	mark_floor_source(mesh, message->sender.host);
	if (!message->ready)
		return;
	joining->floor = MAX(joining->floor, message->state.version);
	joining->ready_peer_responded = true;
	joining->last_ready_response = mesh->now;
}
