#include <string.h>

#include "config/digest.h"
#include "config/record_tables.h"

/*
 * Initialize the tables of an empty configuration.
 */
void
record_tables_init(struct record_tables *tables)
{
	memset(tables, 0, sizeof(*tables));
	for (size_t i = 0; i < RECORD_KIND_COUNT; i++)
		tables->by_kind[i] = table_new();
	tables->routes = table_new();
}

/*
 * Initialize with the content of base. The two share their tables until one
 * of them changes.
 */
void
record_tables_init_copy(
    struct record_tables *tables, const struct record_tables *base)
{
	*tables = *base;
	for (size_t i = 0; i < RECORD_KIND_COUNT; i++)
		table_ref(tables->by_kind[i]);
	table_ref(tables->routes);
}

/*
 * Release all tables.
 */
void
record_tables_clear(struct record_tables *tables)
{
	for (size_t i = 0; i < RECORD_KIND_COUNT; i++)
		table_unref(tables->by_kind[i]);
	table_unref(tables->routes);
	memset(tables, 0, sizeof(*tables));
}

/*
 * Return the key of a route in the table of routes: authority, prefix and
 * name, separated by a byte that is valid in none of them. The caller frees
 * it with str_release.
 */
struct str
route_key(const struct record *record)
{
	const struct route_record *route = &record->route;

	return str_from(
	    g_strdup_printf("%.*s\n%.*s\n%.*s", STR_ARG(route->authority),
		STR_ARG(route->prefix), STR_ARG(record->name)));
}

static struct entry *
edit_entry(struct record_tables *tables, enum record_kind kind, struct str name)
{
	return table_edit(&tables->by_kind[kind], name);
}

static struct refusal *
check_reference(const struct record_tables *tables, const struct record *record,
    enum record_kind kind, struct str name)
{
	const char *field = record_kind_name(kind);
	struct refusal *refusal;
	char *name_text;

	if (table_find(tables->by_kind[kind], name) != NULL)
		return NULL;
	name_text = str_dup_cstr(record->name);
	refusal = refusal_new(CONFIG_ERROR_REFERENCE, field,
	    "there is no %s %.*s", field, STR_ARG(name));
	refusal_set_record(refusal, record_kind_name(record->kind), name_text);
	g_free(name_text);
	return refusal;
}

static struct refusal *
check_references(
    const struct record_tables *tables, const struct record *record)
{
	struct refusal *refusal;

	switch (record->kind) {
	case RECORD_HOST:
		return check_reference(
		    tables, record, RECORD_ZONE, record->host.zone);
	case RECORD_UPSTREAM:
		refusal = check_reference(
		    tables, record, RECORD_SERVICE, record->upstream.service);
		if (refusal != NULL)
			return refusal;
		return check_reference(
		    tables, record, RECORD_HOST, record->upstream.host);
	case RECORD_ROUTE:
		return check_reference(
		    tables, record, RECORD_SERVICE, record->route.service);
	case RECORD_ZONE:
	case RECORD_SERVICE:
	case RECORD_KIND_COUNT:
		break;
	}
	return NULL;
}

/*
 * Remove a record from the entries of the records that it refers to.
 */
static void
unlink_record(struct record_tables *tables, const struct record *record)
{
	struct str key;

	switch (record->kind) {
	case RECORD_HOST:
		entry_remove_member(
		    edit_entry(tables, RECORD_ZONE, record->host.zone),
		    record->name);
		break;
	case RECORD_UPSTREAM:
		entry_remove_member(edit_entry(tables, RECORD_SERVICE,
					record->upstream.service),
		    record->name);
		entry_remove_member(
		    edit_entry(tables, RECORD_HOST, record->upstream.host),
		    record->name);
		break;
	case RECORD_ROUTE:
		edit_entry(tables, RECORD_SERVICE, record->route.service)
		    ->route_count--;
		key = route_key(record);
		table_remove(&tables->routes, key);
		str_release(&key);
		break;
	case RECORD_ZONE:
	case RECORD_SERVICE:
	case RECORD_KIND_COUNT:
		break;
	}
}

/*
 * Replace the host's record in the views of all services that have upstreams
 * on it.
 */
static void
update_host_views(struct record_tables *tables, const struct entry *entry)
{
	for (size_t i = 0; i < entry->member_count; i++) {
		struct record *upstream = entry->members[i];

		entry_add_member(edit_entry(tables, RECORD_SERVICE,
				     upstream->upstream.service),
		    upstream, entry->record);
	}
}

/*
 * Add a record to the entries of the records that it refers to.
 */
static void
link_record(struct record_tables *tables, struct record *record)
{
	struct entry *host;

	switch (record->kind) {
	case RECORD_HOST:
		entry_add_member(
		    edit_entry(tables, RECORD_ZONE, record->host.zone), record,
		    NULL);
		update_host_views(tables,
		    table_find(tables->by_kind[RECORD_HOST], record->name));
		break;
	case RECORD_UPSTREAM:
		host = edit_entry(tables, RECORD_HOST, record->upstream.host);
		entry_add_member(host, record, NULL);
		entry_add_member(edit_entry(tables, RECORD_SERVICE,
				     record->upstream.service),
		    record, host->record);
		break;
	case RECORD_ROUTE:
		edit_entry(tables, RECORD_SERVICE, record->route.service)
		    ->route_count++;
		table_put(&tables->routes,
		    entry_new_keyed(record, route_key(record)));
		break;
	case RECORD_ZONE:
	case RECORD_SERVICE:
	case RECORD_KIND_COUNT:
		break;
	}
}

/*
 * Add a record, or replace the one of its kind and name. When a record that
 * it refers to is absent, return a refusal, which the caller frees, and change
 * nothing.
 */
struct refusal *
record_tables_put(struct record_tables *tables, struct record *record)
{
	struct table **table = &tables->by_kind[record->kind];
	struct refusal *refusal = check_references(tables, record);
	struct entry *entry;

	if (refusal != NULL)
		return refusal;
	entry = table_edit(table, record->name);
	if (entry != NULL) {
		tables->digest =
		    digest_subtract(tables->digest, entry->record->digest);
		unlink_record(tables, entry->record);
		entry_set_record(entry, record);
	} else {
		table_put(table, entry_new(record));
	}
	link_record(tables, record);
	tables->digest = digest_add(tables->digest, record->digest);
	return NULL;
}

/*
 * Remove a record. An absent record is no error, so that a publication may
 * remove what an earlier, refused one would have set. While other records
 * refer to it, return a refusal, which the caller frees, and change nothing.
 */
struct refusal *
record_tables_remove(
    struct record_tables *tables, enum record_kind kind, struct str name)
{
	struct entry *entry = table_find(tables->by_kind[kind], name);
	struct refusal *refusal;
	char *name_text;

	if (entry == NULL)
		return NULL;
	if (entry_is_used(entry)) {
		refusal = refusal_new(CONFIG_ERROR_REFERENCE, "",
		    "is still used by %zu records",
		    entry->member_count + entry->route_count);
		name_text = str_dup_cstr(name);
		refusal_set_record(refusal, record_kind_name(kind), name_text);
		g_free(name_text);
		return refusal;
	}
	tables->digest = digest_subtract(tables->digest, entry->record->digest);
	unlink_record(tables, entry->record);
	table_remove(&tables->by_kind[kind], name);
	return NULL;
}
