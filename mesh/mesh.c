#include "mesh/mesh_private.h"

static void
copy_settings(struct mesh *mesh, const struct mesh_settings *settings)
{
	mesh->settings = *settings;
	mesh->settings.host = str_dup(settings->host);
	mesh->settings.zone = str_dup(settings->zone);
	mesh->settings.address = str_dup(settings->address);
	mesh->settings.seeds = NULL;
	mesh->settings.seed_count = 0;
}

/*
 * Return a node without a state; it begins to join on its first tick. The
 * settings are copied; what env points to must outlive the mesh.
 */
struct mesh *
mesh_new(const struct mesh_settings *settings, const struct mesh_env *env)
{
	struct mesh *mesh = g_new0(struct mesh, 1);

	copy_settings(mesh, settings);
	mesh->env = *env;
	mesh->state = MESH_JOINING;
	mesh->now = clock_now(env->clock);
	mesh->snapshot = snapshot_empty_new();
	/* Responses to an earlier process at this address must not match. */
	mesh->next_request_id = rng_next(env->rng) >> 1 | 1;
	mesh->reader.reachable = true;
	mesh->joining.started_at = mesh->now;
	mesh->last_message = mesh->now;
	counter_set_init(
	    &mesh->counters, mesh_counter_descs, MESH_COUNTER_COUNT);
	publication_ring_init(
	    &mesh->ring, MESH_RING_CAPACITY, MESH_RING_BYTES_MAX);
	members_init(&mesh->members, mesh->settings.host, mesh->settings.zone);
	members_refresh(&mesh->members, mesh->snapshot);
	peer_table_init(&mesh->peers);
	contacts_init(&mesh->contacts, mesh->settings.address, settings->seeds,
	    settings->seed_count);
	election_init(&mesh->election, mesh->settings.host, mesh->settings.zone,
	    settings->heartbeat_ms, settings->readers_per_zone);
	return mesh;
}

/*
 * Free a node. NULL is allowed.
 */
void
mesh_free(struct mesh *mesh)
{
	if (mesh == NULL)
		return;
	mesh_pull_reset(mesh);
	for (size_t i = 0; i < MESH_ZONE_PARTNERS; i++)
		partner_release(&mesh->partners[i]);
	partner_release(&mesh->other_zone_partner);
	handover_release(&mesh->handover);
	election_release(&mesh->election);
	contacts_release(&mesh->contacts);
	peer_table_release(&mesh->peers);
	publication_ring_release(&mesh->ring);
	snapshot_unref(mesh->snapshot);
	str_release(&mesh->settings.host);
	str_release(&mesh->settings.zone);
	str_release(&mesh->settings.address);
	g_free(mesh);
}

/*
 * Return the number of hosts in the fleet according to the snapshot, or else to
 * the platform's list of hosts; 0 if neither is known.
 */
size_t
mesh_fleet_size(const struct mesh *mesh)
{
	return mesh->members.fleet_size > 0 ? mesh->members.fleet_size
					    : mesh->listed_host_count;
}

/*
 * Start to serve: pass the state to the observer, and announce it to the
 * trackers and to the nodes that asked to join while there was no state to
 * send.
 */
void
mesh_become_ready(struct mesh *mesh)
{
	mesh_platform_reader_reset(mesh);
	mesh->state = MESH_READY;
	mesh->last_message = mesh->now;
	mesh->next_heartbeat = mesh->now;
	event_record(mesh->env.events, EVENT_NODE_READY,
	    snapshot_id(mesh->snapshot).version, 0,
	    timespec_ms_between(mesh->joining.started_at, mesh->now),
	    mesh->settings.host);
	mesh_announce_state(mesh);
	for (size_t i = 0; i < mesh->contacts.count; i++) {
		struct contact *contact = &mesh->contacts.items[i];

		if (contact->notify_when_ready)
			mesh_send_announce(mesh, contact->address);
		contact->notify_when_ready = false;
	}
	mesh_notify_observer(mesh);
}

/*
 * A late tick means that this process was stopped. The silence in the meantime
 * is then no evidence that peers failed.
 */
static void
check_tick_gap(struct mesh *mesh)
{
	int64_t gap = timespec_ms_between(mesh->last_tick, mesh->now);

	if (mesh->has_ticked && gap > MESH_TICK_GAP_MAX_MS) {
		counter_add(&mesh->counters, MESH_COUNTER_LATE_TICK, 1);
		election_shift_times(&mesh->election, gap);
		mesh->last_message = mesh->now;
		mesh->catch_up.deadline =
		    timespec_plus_ms(mesh->now, MESH_PULL_TIMEOUT_MS);
	}
	mesh->has_ticked = true;
	mesh->last_tick = mesh->now;
}

/*
 * Run all due work.
 */
void
mesh_tick(struct mesh *mesh)
{
	mesh->now = clock_now(mesh->env.clock);
	check_tick_gap(mesh);
	if (mesh->state == MESH_JOINING)
		mesh_join_tick(mesh);
	else
		mesh_heartbeat_tick(mesh);
	mesh_pull_tick(mesh);
	mesh_platform_reader_tick(mesh);
	handover_expire(&mesh->handover, mesh->now);
}

/*
 * Tell whether the node may serve.
 */
enum mesh_state
mesh_state(const struct mesh *mesh)
{
	return mesh->state;
}

/*
 * Return the current state, borrowed. It must not be served while joining.
 */
struct snapshot *
mesh_snapshot(const struct mesh *mesh)
{
	return mesh->snapshot;
}

/*
 * Tell whether this node reads the platform for its zone.
 */
bool
mesh_is_reader(const struct mesh *mesh)
{
	return mesh->state == MESH_READY && mesh->reader.mode != READ_NONE;
}

/*
 * Tell whether the platform responded to the last request of this node; true if
 * there was none.
 */
bool
mesh_is_platform_up(const struct mesh *mesh)
{
	return mesh->reader.reachable;
}

/*
 * Return the node's counters, which any thread may read.
 */
const struct counter_set *
mesh_counters(const struct mesh *mesh)
{
	return &mesh->counters;
}

/*
 * List up to out_max known peers, in no particular order. Their hosts are
 * borrowed.
 */
size_t
mesh_list_peers(
    const struct mesh *mesh, struct mesh_peer_view *out, size_t out_max)
{
	struct timespec now = clock_now(mesh->env.clock);
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, mesh->peers.by_host);
	while (count < out_max && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *peer = value;

		out[count++] = (struct mesh_peer_view){
			.host = peer->node.host,
			.version = peer->floor,
			.age_ms = timespec_ms_between(peer->last_heard, now),
		};
	}
	return count;
}
