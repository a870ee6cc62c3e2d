#include "mesh/mesh_private.h"

enum {
	JOIN_PEERS_MS = 600,    /* time that peers have to answer a joiner */
	JOIN_SILENCE_MS = 2000, /* after the last answer of a ready peer */
	URGENT_WINDOW_MS = 100, /* for the few that must not wait */
	WANTED_RETRY_MS = 500,  /* of a wanted reader, when it failed */
	POLL_PERIOD_MS = 1000,
	COMPACTED_PATIENCE_MS = 1000, /* for a peer to be ahead */
	BEAT_AFTER_ANSWER_MS = 3000,
	READ_STALL_MS = 15000,
	WATCH_STALL_MS = 60000,
	JOIN_READS = 2, /* the list of hosts and the changes */
	/* First read of a joiner that knows neither peers nor its fleet. */
	NOBODY_WINDOW_MS = 10000,
};

static bool
is_wanted_reader(const struct mesh *mesh)
{
	return mesh->members.rank < mesh->settings.readers_per_zone;
}

/*
 * Tell whether a joiner has nobody to ask and no list of hosts. It may be one
 * of many that begin together, so it must not read at once.
 */
static bool
knows_nobody(const struct mesh *mesh)
{
	return !mesh->contacts.self_is_seed && mesh->contacts.count == 0 &&
	    mesh->listed_hosts == 0;
}

static bool
is_urgent_joiner(const struct mesh *mesh)
{
	return mesh->contacts.self_is_seed ||
	    (mesh->contacts.count == 0 && mesh->listed_hosts > 0);
}

static int64_t
since_ms(const struct mesh *mesh, struct timespec then)
{
	return timespec_ms_between(then, mesh->now);
}

/*
 * A joiner reads the platform only when no ready peer answers, or when all
 * that it was given stays below its floor.
 */
static bool
joiner_needs_platform(const struct mesh *mesh)
{
	const struct joining *joining = &mesh->joining;

	if (since_ms(mesh, joining->began) < JOIN_PEERS_MS)
		return false;
	if (!joining->ready_peer ||
	    since_ms(mesh, joining->last_ready_answer) > JOIN_SILENCE_MS)
		return true;
	return snapshot_id(mesh->snapshot).version < joining->floor &&
	    since_ms(mesh, joining->began) > JOIN_SILENCE_MS;
}

static bool
platform_confirmed(const struct mesh *mesh)
{
	const struct reading *reading = &mesh->reading;

	return reading->answered && reading->up &&
	    !timespec_before(reading->last_ok, reading->began);
}

/*
 * A reader out of its turn watches only after others had the time to hear of
 * it, so that of many that begin together most stop before.
 */
static bool
may_watch(const struct mesh *mesh)
{
	int64_t settled =
	    (int64_t)mesh->settings.heartbeat_ms * ELECTION_FRESH_BEATS;

	return platform_confirmed(mesh) &&
	    (is_wanted_reader(mesh) ||
		since_ms(mesh, mesh->reading.began) >= settled);
}

static enum read_mode
wanted_mode(struct mesh *mesh)
{
	bool reader;

	if (mesh->state == MESH_JOINING)
		return joiner_needs_platform(mesh) ? READ_DRAW : READ_NONE;
	if (mesh->settings.policy == SPREAD_POLL)
		return READ_DRAW;
	reader =
	    election_update(&mesh->election, mesh->members.rank, mesh->now);
	if (reader && mesh->reading.mode != READ_NONE && may_watch(mesh))
		return READ_WATCH;
	if (reader || since_ms(mesh, mesh->last_news) > MESH_NEWS_TIMEOUT_MS)
		return READ_DRAW;
	return READ_NONE;
}

static void
request(struct mesh *mesh, enum platform_request kind, uint64_t after)
{
	struct reading *reading = &mesh->reading;

	reading->open[kind] = true;
	reading->opened[kind] = mesh->now;
	counter_add(&mesh->counters,
	    kind == PLATFORM_WATCH_CHANGES ? MESH_COUNTER_PLATFORM_WATCH
					   : MESH_COUNTER_PLATFORM_READ,
	    1);
	mesh->env.platform->ops->request(mesh->env.platform, kind, after);
}

static void
cancel(struct mesh *mesh, enum platform_request kind)
{
	if (!mesh->reading.open[kind])
		return;
	mesh->reading.open[kind] = false;
	mesh->env.platform->ops->cancel(mesh->env.platform, kind);
}

static void
set_mode(struct mesh *mesh, enum read_mode mode)
{
	struct reading *reading = &mesh->reading;
	enum read_mode old = reading->mode;
	bool ready = mesh->state == MESH_READY;

	if (mode == old)
		return;
	reading->mode = mode;
	if (old == READ_WATCH)
		cancel(mesh, PLATFORM_WATCH_CHANGES);
	if (old == READ_NONE) {
		reading->began = mesh->now;
		reading->scheduled = false;
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
urgent_wait_ms(struct mesh *mesh)
{
	int64_t pause = mesh->reading.failures > 0 ? WANTED_RETRY_MS : 0;

	return pause + (int64_t)rng_below(mesh->env.rng, URGENT_WINDOW_MS);
}

static bool
is_urgent(const struct mesh *mesh)
{
	if (mesh->state == MESH_JOINING)
		return is_urgent_joiner(mesh);
	return is_wanted_reader(mesh) && mesh->settings.policy != SPREAD_POLL;
}

/*
 * Forget what was drawn while joining: a ready node reads by other rules.
 */
void
mesh_reading_restart(struct mesh *mesh)
{
	set_mode(mesh, READ_NONE);
	mesh->reading.scheduled = false;
}

/* Milliseconds until the next single read of this node. */
static int64_t
draw_wait_ms(struct mesh *mesh)
{
	const struct reading *reading = &mesh->reading;
	size_t reads = mesh->state == MESH_JOINING ? JOIN_READS : 1;
	size_t fleet = mesh_fleet_size(mesh);
	struct rng *rng = mesh->env.rng;

	if (is_urgent(mesh))
		return urgent_wait_ms(mesh);
	if (reading->failures == 0 && !reading->answered &&
	    mesh->state == MESH_JOINING && knows_nobody(mesh))
		return (int64_t)rng_below(rng, NOBODY_WINDOW_MS);
	if (reading->failures == 0 && !reading->answered)
		return read_budget_first_ms(rng, fleet, reads);
	if (mesh->state == MESH_READY &&
	    read_budget_window_ms(fleet, reads) < POLL_PERIOD_MS)
		return POLL_PERIOD_MS / 2 +
		    (int64_t)rng_below(rng, POLL_PERIOD_MS);
	return read_budget_next_ms(rng, fleet, reads);
}

static void
draw_tick(struct mesh *mesh)
{
	struct reading *reading = &mesh->reading;
	uint64_t version = snapshot_id(mesh->snapshot).version;

	if (!reading->scheduled) {
		reading->scheduled = true;
		reading->next = timespec_plus_ms(mesh->now, draw_wait_ms(mesh));
	}
	if (reading->open[PLATFORM_READ_CHANGES] ||
	    timespec_before(mesh->now, reading->next))
		return;
	if (mesh->state == MESH_JOINING && mesh->listed_hosts == 0 &&
	    !reading->hosts_asked && !reading->open[PLATFORM_READ_HOSTS]) {
		reading->hosts_asked = true;
		request(mesh, PLATFORM_READ_HOSTS, 0);
		if (!is_urgent_joiner(mesh)) {
			reading->next =
			    timespec_plus_ms(mesh->now, JOIN_PEERS_MS);
			return;
		}
	}
	reading->hosts_asked = false;
	request(mesh, PLATFORM_READ_CHANGES, version);
}

static void
watch_tick(struct mesh *mesh)
{
	struct reading *reading = &mesh->reading;

	if (reading->open[PLATFORM_WATCH_CHANGES] ||
	    timespec_before(mesh->now, reading->next))
		return;
	request(
	    mesh, PLATFORM_WATCH_CHANGES, snapshot_id(mesh->snapshot).version);
}

/*
 * The log no longer reaches back to the version held. A peer's accepted
 * state is better than a raw read, so peers get their time first.
 */
static void
raw_tick(struct mesh *mesh)
{
	struct reading *reading = &mesh->reading;
	bool hurry = is_wanted_reader(mesh);
	int64_t wait;

	if (!reading->compacted || reading->open[PLATFORM_READ_RECORDS])
		return;
	if (mesh->state == MESH_JOINING)
		hurry = is_urgent_joiner(mesh);
	if (mesh->pulling.ahead_count > 0 ||
	    since_ms(mesh, reading->compacted_since) < COMPACTED_PATIENCE_MS)
		return;
	if (!reading->raw_scheduled) {
		wait = hurry
		    ? (int64_t)rng_below(mesh->env.rng, URGENT_WINDOW_MS)
		    : read_budget_first_ms(mesh->env.rng, mesh_fleet_size(mesh),
			  READ_BUDGET_RAW_READS);
		reading->raw_scheduled = true;
		reading->raw_next = timespec_plus_ms(mesh->now, wait);
	}
	if (timespec_before(mesh->now, reading->raw_next))
		return;
	request(mesh, PLATFORM_READ_RECORDS, 0);
}

static void
stall_tick(struct mesh *mesh)
{
	struct reading *reading = &mesh->reading;

	for (size_t i = 0; i < READ_REQUEST_KINDS; i++) {
		int64_t limit = i == PLATFORM_WATCH_CHANGES ? WATCH_STALL_MS
							    : READ_STALL_MS;

		if (!reading->open[i] ||
		    since_ms(mesh, reading->opened[i]) < limit)
			continue;
		cancel(mesh, (enum platform_request)i);
		mesh_handle_platform_failed(mesh, (enum platform_request)i);
	}
}

/*
 * Decide whether and how this node reads the platform now, and do what is
 * due.
 */
void
mesh_reading_tick(struct mesh *mesh)
{
	stall_tick(mesh);
	set_mode(mesh, wanted_mode(mesh));
	switch (mesh->reading.mode) {
	case READ_NONE:
		return;
	case READ_DRAW:
		draw_tick(mesh);
		break;
	case READ_WATCH:
		watch_tick(mesh);
		break;
	}
	raw_tick(mesh);
}

/*
 * Tell whether this node reads the platform and gets answers, so that its
 * beat may hold others back from reading.
 */
bool
mesh_reading_beats(const struct mesh *mesh)
{
	const struct reading *reading = &mesh->reading;

	if (mesh->state != MESH_READY || reading->mode == READ_NONE ||
	    !mesh->election.reading || !platform_confirmed(mesh))
		return false;
	return reading->open[PLATFORM_WATCH_CHANGES] ||
	    since_ms(mesh, reading->last_ok) < BEAT_AFTER_ANSWER_MS;
}
