#include "mesh/mesh_private.h"

enum {
	MS_PER_S = 1000,
	EMPTY_RESPONSE_DELAY_MS = 100,
	STALE_RESPONSE_DELAY_MS = 1000,
};

/* Record any response; the next request is due after wait_ms. */
static void
record_response(struct mesh *mesh, enum platform_request kind, int64_t wait_ms)
{
	struct platform_reader *reader = &mesh->reader;

	mesh->now = clock_now(mesh->env.clock);
	reader->pending[kind] = false;
	if (!reader->reachable)
		event_record(mesh->env.events, EVENT_PLATFORM_BACK,
		    snapshot_id(mesh->snapshot).version, 0, 0,
		    mesh->settings.zone);
	reader->reachable = true;
	reader->has_responded =
	    reader->has_responded || kind != PLATFORM_READ_HOSTS;
	reader->consecutive_failures = 0;
	reader->last_success = mesh->now;
	reader->next_request = timespec_plus_ms(mesh->now, wait_ms);
	reader->is_scheduled = false;
}

/*
 * Return the minimum milliseconds between two watches of one reader, so that
 * all readers together stay within the budget when changes come fast. One
 * response then holds several changes.
 */
static int64_t
watch_spacing_ms(const struct mesh *mesh)
{
	size_t zones = mesh->members.other_zone_count + 1;
	size_t readers = zones * mesh->settings.readers_per_zone;

	return (int64_t)(readers * MS_PER_S / READ_BUDGET_PER_S);
}

/*
 * Handle the response to a read or a watch: publications in ascending order,
 * and the platform's head. A head below the current version marks a stale
 * response, which does not change the state.
 */
void
mesh_handle_changes(struct mesh *mesh, enum platform_request kind,
    GPtrArray *publications, uint64_t head)
{
	struct platform_reader *reader = &mesh->reader;
	uint64_t before = snapshot_id(mesh->snapshot).version;
	uint64_t version;

	record_response(mesh, kind, 0);
	reader->head = MAX(reader->head, head);
	if (head < before)
		counter_add(&mesh->counters, MESH_COUNTER_PLATFORM_STALE, 1);
	if (publications != NULL)
		mesh_apply_publications(mesh,
		    (struct publication **)publications->pdata,
		    publications->len, APPLY_PLATFORM, true);
	version = snapshot_id(mesh->snapshot).version;
	reader->compacted = reader->compacted && version == before;
	if (head < version)
		reader->next_request = timespec_plus_ms(mesh->now,
		    STALE_RESPONSE_DELAY_MS / 2 +
			(int64_t)rng_below(
			    mesh->env.rng, STALE_RESPONSE_DELAY_MS));
	else if (kind == PLATFORM_WATCH_CHANGES)
		reader->next_request =
		    timespec_plus_ms(reader->requested_at[kind],
			version == before ? EMPTY_RESPONSE_DELAY_MS
					  : watch_spacing_ms(mesh));
	/* The response was truncated: continue at once. */
	if (version < head && version > before &&
	    kind != PLATFORM_WATCH_CHANGES) {
		reader->next_request = mesh->now;
		reader->is_scheduled = true;
	}
}

/*
 * Handle a raw read of all current records as a state with a base of its own.
 */
void
mesh_handle_records(struct mesh *mesh, const struct raw_record *records,
    size_t count, uint64_t revision)
{
	struct platform_reader *reader = &mesh->reader;

	record_response(mesh, PLATFORM_READ_RECORDS, 0);
	reader->head = MAX(reader->head, revision);
	reader->is_raw_read_scheduled = false;
	reader->compacted = false;
	mesh_adopt_state(mesh, snapshot_from_raw(records, count, revision));
}

/*
 * Handle the platform's list of hosts: take a sample as addresses to join
 * through.
 */
void
mesh_handle_hosts(
    struct mesh *mesh, const struct mesh_host_entry *hosts, size_t count)
{
	struct platform_reader *reader = &mesh->reader;
	size_t tries = MIN(count, (size_t)CONTACTS_MAX);
	struct timespec next = reader->next_request;
	bool is_scheduled = reader->is_scheduled;

	record_response(mesh, PLATFORM_READ_HOSTS, 0);
	reader->next_request = next;
	reader->is_scheduled = is_scheduled;
	mesh->listed_host_count = count;
	for (size_t i = 0; i < tries; i++) {
		size_t at =
		    count <= CONTACTS_MAX ? i : rng_below(mesh->env.rng, count);

		if (!hosts[at].leaving)
			contacts_add(
			    &mesh->contacts, hosts[at].node, mesh->env.rng);
	}
	mesh->joining.next_ask = mesh->now;
}

/*
 * Handle the error that the platform's log starts at revision oldest, after the
 * version asked for.
 */
void
mesh_handle_compacted(
    struct mesh *mesh, enum platform_request kind, uint64_t oldest)
{
	struct platform_reader *reader = &mesh->reader;

	record_response(mesh, kind, EMPTY_RESPONSE_DELAY_MS);
	reader->is_raw_read_scheduled = false;
	if (kind == PLATFORM_READ_RECORDS)
		return; /* compacted between two pages: read again */
	if (!reader->compacted)
		reader->compacted_since = mesh->now;
	reader->compacted = true;
	reader->head = MAX(reader->head, oldest);
	reader->next_request =
	    timespec_plus_ms(mesh->now, STALE_RESPONSE_DELAY_MS);
}

/*
 * Handle a failed request: the platform is down, unreachable or too slow.
 */
void
mesh_handle_platform_failed(struct mesh *mesh, enum platform_request kind)
{
	struct platform_reader *reader = &mesh->reader;

	mesh->now = clock_now(mesh->env.clock);
	reader->pending[kind] = false;
	counter_add(&mesh->counters, MESH_COUNTER_PLATFORM_FAILED, 1);
	if (reader->reachable)
		event_record(mesh->env.events, EVENT_PLATFORM_LOST,
		    snapshot_id(mesh->snapshot).version, 0, 0,
		    mesh->settings.zone);
	reader->reachable = false;
	reader->consecutive_failures++;
	reader->is_raw_read_scheduled = false;
	reader->is_scheduled = false;
}
