#include "mesh/mesh_private.h"

enum {
	MS_PER_S = 1000,
	EMPTY_ANSWER_MS = 100,
	STALE_ANSWER_MS = 1000,
};

/* Bookkeeping of any answer; the next request waits for wait_ms. */
static void
note_answer(struct mesh *mesh, enum platform_request kind, int64_t wait_ms)
{
	struct reading *reading = &mesh->reading;

	mesh->now = clock_now(mesh->env.clock);
	reading->open[kind] = false;
	if (!reading->up)
		event_record(mesh->env.events, EVENT_PLATFORM_BACK,
		    snapshot_id(mesh->snapshot).version, 0, 0,
		    mesh->settings.zone);
	reading->up = true;
	reading->answered = reading->answered || kind != PLATFORM_READ_HOSTS;
	reading->failures = 0;
	reading->last_ok = mesh->now;
	reading->next = timespec_plus_ms(mesh->now, wait_ms);
	reading->scheduled = false;
}

/*
 * Least time between two watches of one reader, so that all readers together
 * keep to the budget when changes come fast. The next answer then holds
 * several of them.
 */
static int64_t
watch_spacing_ms(const struct mesh *mesh)
{
	size_t zones = mesh->members.other_zone_count + 1;
	size_t readers = zones * mesh->settings.readers_per_zone;

	return (int64_t)(readers * MS_PER_S / READ_BUDGET_PER_S);
}

/*
 * Take an answer to a read or a watch: publications in rising order, and the
 * platform's head. A head below the version held is a stale answer and
 * changes nothing.
 */
void
mesh_handle_changes(struct mesh *mesh, enum platform_request kind,
    GPtrArray *publications, uint64_t head)
{
	struct reading *reading = &mesh->reading;
	uint64_t before = snapshot_id(mesh->snapshot).version;
	uint64_t version;

	note_answer(mesh, kind, 0);
	reading->head = MAX(reading->head, head);
	if (head < before)
		counter_add(&mesh->counters, MESH_COUNTER_PLATFORM_STALE, 1);
	if (publications != NULL)
		mesh_take_publications(mesh,
		    (struct publication **)publications->pdata,
		    publications->len, TAKE_PLATFORM, true);
	version = snapshot_id(mesh->snapshot).version;
	reading->compacted = reading->compacted && version == before;
	if (head < version)
		reading->next = timespec_plus_ms(mesh->now,
		    STALE_ANSWER_MS / 2 +
			(int64_t)rng_below(mesh->env.rng, STALE_ANSWER_MS));
	else if (kind == PLATFORM_WATCH_CHANGES)
		reading->next = timespec_plus_ms(reading->opened[kind],
		    version == before ? EMPTY_ANSWER_MS
				      : watch_spacing_ms(mesh));
	/* The answer was cut: go on at once. */
	if (version < head && version > before &&
	    kind != PLATFORM_WATCH_CHANGES) {
		reading->next = mesh->now;
		reading->scheduled = true;
	}
}

/*
 * Take a raw read of all current records as a state of a lineage of its own.
 */
void
mesh_handle_records(struct mesh *mesh, const struct raw_record *records,
    size_t count, uint64_t revision)
{
	struct reading *reading = &mesh->reading;

	note_answer(mesh, PLATFORM_READ_RECORDS, 0);
	reading->head = MAX(reading->head, revision);
	reading->raw_scheduled = false;
	reading->compacted = false;
	mesh_adopt(mesh, snapshot_from_raw(records, count, revision));
}

/*
 * Take the platform's list of hosts as a sample of addresses to join by.
 */
void
mesh_handle_hosts(
    struct mesh *mesh, const struct mesh_host_entry *hosts, size_t count)
{
	struct reading *reading = &mesh->reading;
	size_t tries = MIN(count, (size_t)CONTACTS_MAX);
	struct timespec next = reading->next;
	bool scheduled = reading->scheduled;

	note_answer(mesh, PLATFORM_READ_HOSTS, 0);
	reading->next = next;
	reading->scheduled = scheduled;
	mesh->listed_hosts = count;
	for (size_t i = 0; i < tries; i++) {
		size_t at =
		    count <= CONTACTS_MAX ? i : rng_below(mesh->env.rng, count);

		if (!hosts[at].leaving)
			contacts_add(
			    &mesh->contacts, hosts[at].node, mesh->env.rng);
	}
	mesh->joining.ask_next = mesh->now;
}

/*
 * The platform's log begins at revision oldest, after the version asked for.
 */
void
mesh_handle_compacted(
    struct mesh *mesh, enum platform_request kind, uint64_t oldest)
{
	struct reading *reading = &mesh->reading;

	note_answer(mesh, kind, EMPTY_ANSWER_MS);
	reading->raw_scheduled = false;
	if (kind == PLATFORM_READ_RECORDS)
		return; /* the pages moved on: read anew */
	if (!reading->compacted)
		reading->compacted_since = mesh->now;
	reading->compacted = true;
	reading->head = MAX(reading->head, oldest);
	reading->next = timespec_plus_ms(mesh->now, STALE_ANSWER_MS);
}

/*
 * A request failed: the platform is down, cut off or too slow.
 */
void
mesh_handle_platform_failed(struct mesh *mesh, enum platform_request kind)
{
	struct reading *reading = &mesh->reading;

	mesh->now = clock_now(mesh->env.clock);
	reading->open[kind] = false;
	counter_add(&mesh->counters, MESH_COUNTER_PLATFORM_FAILED, 1);
	if (reading->up)
		event_record(mesh->env.events, EVENT_PLATFORM_LOST,
		    snapshot_id(mesh->snapshot).version, 0, 0,
		    mesh->settings.zone);
	reading->up = false;
	reading->failures++;
	reading->raw_scheduled = false;
	reading->scheduled = false;
}
