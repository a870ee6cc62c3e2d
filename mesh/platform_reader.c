#include "mesh/mesh_private.h"

enum {
	JOIN_PEER_WAIT_MS = 600,  /* for responses of peers to a joining node */
	JOIN_SILENCE_MS = 2000,   /* since the last response of a ready peer */
	URGENT_WINDOW_MS = 100,   /* for the few nodes that must not wait */
	PREFERRED_RETRY_MS = 500, /* of a preferred reader, after a failure */
	POLL_PERIOD_MS = 1000,
	COMPACTED_PEER_WAIT_MS = 1000, /* for a newer state from a peer */
	ACTIVE_AFTER_RESPONSE_MS = 3000,
	READ_TIMEOUT_MS = 15000,
	WATCH_TIMEOUT_MS = 60000,
	JOIN_READ_COUNT = 2, /* the list of hosts, and the changes */
	/* First read of a joining node that knows no peers and no fleet. */
	NO_PEERS_WINDOW_MS = 10000,
};

static bool
is_preferred_reader(const struct mesh *mesh)
{
	return mesh->members.rank < mesh->settings.readers_per_zone;
}

/*
 * Tell whether a joining node has no peers to ask and no list of hosts. It may
 * be one of many that start together, so it must not read at once.
 */
static bool
has_no_peers(const struct mesh *mesh)
{
	return !mesh->contacts.self_is_seed && mesh->contacts.count == 0 &&
	    mesh->listed_host_count == 0;
}

static bool
is_urgent_joiner(const struct mesh *mesh)
{
	return mesh->contacts.self_is_seed ||
	    (mesh->contacts.count == 0 && mesh->listed_host_count > 0);
}

static int64_t
elapsed_ms(const struct mesh *mesh, struct timespec then)
{
	return timespec_ms_between(then, mesh->now);
}

/*
 * A joining node reads the platform only if no ready peer responds, or if every
 * state it received is below its floor.
 */
static bool
joiner_needs_platform(const struct mesh *mesh)
{
	const struct joining *joining = &mesh->joining;

	if (elapsed_ms(mesh, joining->started_at) < JOIN_PEER_WAIT_MS)
		return false;
	if (!joining->ready_peer_responded ||
	    elapsed_ms(mesh, joining->last_ready_response) > JOIN_SILENCE_MS)
		return true;
	return snapshot_id(mesh->snapshot).version < joining->floor &&
	    elapsed_ms(mesh, joining->started_at) > JOIN_SILENCE_MS;
}

static bool
is_platform_confirmed(const struct mesh *mesh)
{
	const struct platform_reader *reader = &mesh->reader;

	return reader->has_responded && reader->reachable &&
	    !timespec_before(reader->last_success, reader->started_at);
}

/*
 * A reader that is not among the preferred ones watches only after other hosts
 * had time to hear of it, so that of many that start together most stop before.
 */
static bool
may_watch(const struct mesh *mesh)
{
	int64_t notice_ms =
	    (int64_t)mesh->settings.heartbeat_ms * ELECTION_FRESH_HEARTBEATS;

	return is_platform_confirmed(mesh) &&
	    (is_preferred_reader(mesh) ||
		elapsed_ms(mesh, mesh->reader.started_at) >= notice_ms);
}

static enum read_mode
choose_mode(struct mesh *mesh)
{
	bool elected;

	if (mesh->state == MESH_JOINING)
		return joiner_needs_platform(mesh) ? READ_POLL : READ_NONE;
	if (mesh->settings.policy == SPREAD_POLL)
		return READ_POLL;
	elected =
	    election_update(&mesh->election, mesh->members.rank, mesh->now);
	if (elected && mesh->reader.mode != READ_NONE && may_watch(mesh))
		return READ_WATCH;
	if (elected ||
	    elapsed_ms(mesh, mesh->last_message) > MESH_SILENCE_TIMEOUT_MS)
		return READ_POLL;
	return READ_NONE;
}

static void
send_request(struct mesh *mesh, enum platform_request kind, uint64_t after)
{
	struct platform_reader *reader = &mesh->reader;

	reader->pending[kind] = true;
	reader->requested_at[kind] = mesh->now;
	counter_add(&mesh->counters,
	    kind == PLATFORM_WATCH_CHANGES ? MESH_COUNTER_PLATFORM_WATCH
					   : MESH_COUNTER_PLATFORM_READ,
	    1);
	mesh->env.platform->ops->request(mesh->env.platform, kind, after);
}

static void
cancel_request(struct mesh *mesh, enum platform_request kind)
{
	if (!mesh->reader.pending[kind])
		return;
	mesh->reader.pending[kind] = false;
	mesh->env.platform->ops->cancel(mesh->env.platform, kind);
}

static void
set_mode(struct mesh *mesh, enum read_mode mode)
{
	struct platform_reader *reader = &mesh->reader;
	enum read_mode old = reader->mode;
	bool ready = mesh->state == MESH_READY;

	if (mode == old)
		return;
	reader->mode = mode;
	if (old == READ_WATCH)
		cancel_request(mesh, PLATFORM_WATCH_CHANGES);
	if (old == READ_NONE) {
		reader->started_at = mesh->now;
		reader->is_scheduled = false;
	}
	if (!ready || (old != READ_NONE && mode != READ_NONE))
		return;
	counter_add(&mesh->counters, MESH_COUNTER_READER_CHANGE, 1);
	event_record(mesh->env.events,
	    mode == READ_NONE ? EVENT_READER_ENDED : EVENT_READER_BEGAN,
	    snapshot_id(mesh->snapshot).version, 0, (int64_t)mesh->members.rank,
	    mesh->settings.zone);
}

static int64_t
urgent_delay_ms(struct mesh *mesh)
{
	int64_t pause =
	    mesh->reader.consecutive_failures > 0 ? PREFERRED_RETRY_MS : 0;

	return pause + (int64_t)rng_below(mesh->env.rng, URGENT_WINDOW_MS);
}

static bool
is_urgent(const struct mesh *mesh)
{
	if (mesh->state == MESH_JOINING)
		return is_urgent_joiner(mesh);
	return is_preferred_reader(mesh) &&
	    mesh->settings.policy != SPREAD_POLL;
}

/*
 * Drop the read schedule of a joining node: a ready one follows other rules.
 */
void
mesh_platform_reader_reset(struct mesh *mesh)
{
	set_mode(mesh, READ_NONE);
	mesh->reader.is_scheduled = false;
}

/* Return the milliseconds until the next single read of this node. */
static int64_t
poll_delay_ms(struct mesh *mesh)
{
	const struct platform_reader *reader = &mesh->reader;
	size_t reads = mesh->state == MESH_JOINING ? JOIN_READ_COUNT : 1;
	size_t fleet = mesh_fleet_size(mesh);
	struct rng *rng = mesh->env.rng;

	if (is_urgent(mesh))
		return urgent_delay_ms(mesh);
	if (reader->consecutive_failures == 0 && !reader->has_responded &&
	    mesh->state == MESH_JOINING && has_no_peers(mesh))
		return (int64_t)rng_below(rng, NO_PEERS_WINDOW_MS);
	if (reader->consecutive_failures == 0 && !reader->has_responded)
		return read_budget_first_ms(rng, fleet, reads);
	if (mesh->state == MESH_READY &&
	    read_budget_window_ms(fleet, reads) < POLL_PERIOD_MS)
		return POLL_PERIOD_MS / 2 +
		    (int64_t)rng_below(rng, POLL_PERIOD_MS);
	return read_budget_next_ms(rng, fleet, reads);
}

static void
poll_tick(struct mesh *mesh)
{
	struct platform_reader *reader = &mesh->reader;
	uint64_t version = snapshot_id(mesh->snapshot).version;

	if (!reader->is_scheduled) {
		reader->is_scheduled = true;
		reader->next_request =
		    timespec_plus_ms(mesh->now, poll_delay_ms(mesh));
	}
	if (reader->pending[PLATFORM_READ_CHANGES] ||
	    timespec_before(mesh->now, reader->next_request))
		return;
	if (mesh->state == MESH_JOINING && mesh->listed_host_count == 0 &&
	    !reader->hosts_requested && !reader->pending[PLATFORM_READ_HOSTS]) {
		reader->hosts_requested = true;
		send_request(mesh, PLATFORM_READ_HOSTS, 0);
		if (!is_urgent_joiner(mesh)) {
			reader->next_request =
			    timespec_plus_ms(mesh->now, JOIN_PEER_WAIT_MS);
			return;
		}
	}
	reader->hosts_requested = false;
	send_request(mesh, PLATFORM_READ_CHANGES, version);
}

static void
watch_tick(struct mesh *mesh)
{
	struct platform_reader *reader = &mesh->reader;

	if (reader->pending[PLATFORM_WATCH_CHANGES] ||
	    timespec_before(mesh->now, reader->next_request))
		return;
	send_request(
	    mesh, PLATFORM_WATCH_CHANGES, snapshot_id(mesh->snapshot).version);
}

/*
 * The platform's log starts after the current version. The accepted state of a
 * peer is preferred to a raw read, so peers get time to announce one first.
 */
static void
raw_read_tick(struct mesh *mesh)
{
	struct platform_reader *reader = &mesh->reader;
	bool urgent = is_preferred_reader(mesh);
	int64_t wait;

	if (!reader->compacted || reader->pending[PLATFORM_READ_RECORDS])
		return;
	if (mesh->state == MESH_JOINING)
		urgent = is_urgent_joiner(mesh);
	if (mesh->catch_up.newer_peer_count > 0 ||
	    elapsed_ms(mesh, reader->compacted_since) < COMPACTED_PEER_WAIT_MS)
		return;
	if (!reader->is_raw_read_scheduled) {
		wait = urgent
		    ? (int64_t)rng_below(mesh->env.rng, URGENT_WINDOW_MS)
		    : read_budget_first_ms(mesh->env.rng, mesh_fleet_size(mesh),
			  READ_BUDGET_RAW_READ_COST);
		reader->is_raw_read_scheduled = true;
		reader->next_raw_read = timespec_plus_ms(mesh->now, wait);
	}
	if (timespec_before(mesh->now, reader->next_raw_read))
		return;
	send_request(mesh, PLATFORM_READ_RECORDS, 0);
}

static void
timeout_tick(struct mesh *mesh)
{
	struct platform_reader *reader = &mesh->reader;

	for (size_t i = 0; i < READ_REQUEST_KINDS; i++) {
		int64_t limit = i == PLATFORM_WATCH_CHANGES ? WATCH_TIMEOUT_MS
							    : READ_TIMEOUT_MS;

		if (!reader->pending[i] ||
		    elapsed_ms(mesh, reader->requested_at[i]) < limit)
			continue;
		cancel_request(mesh, (enum platform_request)i);
		mesh_handle_platform_failed(mesh, (enum platform_request)i);
	}
}

/*
 * Decide whether and how this node reads the platform now, and send the
 * requests that are due.
 */
void
mesh_platform_reader_tick(struct mesh *mesh)
{
	timeout_tick(mesh);
	set_mode(mesh, choose_mode(mesh));
	switch (mesh->reader.mode) {
	case READ_NONE:
		return;
	case READ_POLL:
		poll_tick(mesh);
		break;
	case READ_WATCH:
		watch_tick(mesh);
		break;
	}
	raw_read_tick(mesh);
}

/*
 * Tell whether this node reads the platform and gets responses, so that its
 * beat may keep other hosts from reading.
 */
bool
mesh_is_active_reader(const struct mesh *mesh)
{
	const struct platform_reader *reader = &mesh->reader;

	if (mesh->state != MESH_READY || reader->mode == READ_NONE ||
	    !mesh->election.is_reader || !is_platform_confirmed(mesh))
		return false;
	return reader->pending[PLATFORM_WATCH_CHANGES] ||
	    elapsed_ms(mesh, reader->last_success) < ACTIVE_AFTER_RESPONSE_MS;
}
