#include "config/digest.h"
#include "config/snapshot.h"
#include "config/snapshot_private.h"

struct snapshot {
	int refs;
	uint64_t version;
	uint64_t base;
	struct record_tables tables; /* immutable */
};

/*
 * Return a snapshot with one reference; takes ownership of the tables.
 */
struct snapshot *
snapshot_new(uint64_t version, uint64_t base, struct record_tables *tables)
{
	struct snapshot *snapshot = g_new0(struct snapshot, 1);

	snapshot->refs = 1;
	snapshot->version = version;
	snapshot->base = base;
	snapshot->tables = *tables;
	return snapshot;
}

/*
 * Return the state before the first publication.
 */
struct snapshot *
snapshot_empty_new(void)
{
	struct record_tables tables;

	record_tables_init(&tables);
	return snapshot_new(0, 0, &tables);
}

/*
 * Return the tables of a snapshot, which are valid as long as the snapshot.
 */
const struct record_tables *
snapshot_tables(const struct snapshot *snapshot)
{
	return &snapshot->tables;
}

/*
 * Add a reference; safe from any thread that holds one.
 */
struct snapshot *
snapshot_ref(struct snapshot *snapshot)
{
	g_atomic_int_inc(&snapshot->refs);
	return snapshot;
}

/*
 * Drop one reference and free the snapshot with the last one.
 */
void
snapshot_unref(struct snapshot *snapshot)
{
	if (!g_atomic_int_dec_and_test(&snapshot->refs))
		return;
	record_tables_clear(&snapshot->tables);
	g_free(snapshot);
}

/*
 * Return the identity of the state.
 */
struct state_id
snapshot_id(const struct snapshot *snapshot)
{
	struct state_id id = {
		.version = snapshot->version,
		.base = snapshot->base,
		.digest = snapshot->tables.digest,
	};

	return id;
}

/*
 * Compare two states by which one a node should hold: positive when a takes
 * precedence over b. The higher version wins, then the lower base, then the
 * lower digest.
 */
int
state_id_compare(struct state_id a, struct state_id b)
{
	if (a.version != b.version)
		return a.version > b.version ? 1 : -1;
	if (a.base != b.base)
		return a.base < b.base ? 1 : -1;
	return digest_compare(b.digest, a.digest);
}

/*
 * Return the record of a kind and name, or NULL.
 */
const struct record *
snapshot_find(
    const struct snapshot *snapshot, enum record_kind kind, struct str name)
{
	const struct entry *entry =
	    table_find(snapshot->tables.by_kind[kind], name);

	return entry == NULL ? NULL : entry->record;
}

/*
 * Return the number of records of a kind.
 */
size_t
snapshot_count(const struct snapshot *snapshot, enum record_kind kind)
{
	return table_count(snapshot->tables.by_kind[kind]);
}

/*
 * Return all records of a kind, ordered by name.
 */
struct record *const *
snapshot_records(
    const struct snapshot *snapshot, enum record_kind kind, size_t *count)
{
	struct table *table = snapshot->tables.by_kind[kind];

	*count = table_count(table);
	return table_records(table);
}

/*
 * Return a service with its upstreams and their hosts, or NULL.
 */
const struct service_view *
snapshot_service(const struct snapshot *snapshot, struct str service)
{
	const struct entry *entry =
	    table_find(snapshot->tables.by_kind[RECORD_SERVICE], service);

	return entry == NULL ? NULL : &entry->view;
}

/*
 * Return whether a host gets no new work because it or its zone is out of
 * service.
 */
bool
snapshot_host_is_out(const struct snapshot *snapshot, const struct record *host)
{
	const struct record *zone;

	if (host->host.out)
		return true;
	zone = snapshot_find(snapshot, RECORD_ZONE, host->host.zone);
	return zone == NULL || zone->zone.out;
}

/*
 * Return the hosts of a zone, ordered by name; none for an unknown zone.
 */
struct record *const *
snapshot_zone_hosts(
    const struct snapshot *snapshot, struct str zone, size_t *count)
{
	const struct entry *entry =
	    table_find(snapshot->tables.by_kind[RECORD_ZONE], zone);

	*count = entry == NULL ? 0 : entry->member_count;
	return entry == NULL ? NULL : entry->members;
}
