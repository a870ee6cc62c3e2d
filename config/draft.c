#include <string.h>

#include "config/digest.h"
#include "config/draft.h"

/*
 * Begin with an empty configuration.
 */
void
draft_init(struct draft *draft)
{
	memset(draft, 0, sizeof(*draft));
	for (size_t i = 0; i < RECORD_KIND_COUNT; i++)
		draft->tables[i] = table_new();
	draft->routes = table_new();
}

/*
 * Begin with what another configuration holds, shared.
 */
void
draft_init_from(struct draft *draft, const struct draft *base)
{
	*draft = *base;
	for (size_t i = 0; i < RECORD_KIND_COUNT; i++)
		table_ref(draft->tables[i]);
	table_ref(draft->routes);
}

/*
 * Drop what the draft holds.
 */
void
draft_clear(struct draft *draft)
{
	for (size_t i = 0; i < RECORD_KIND_COUNT; i++)
		table_unref(draft->tables[i]);
	table_unref(draft->routes);
	memset(draft, 0, sizeof(*draft));
}

/*
 * Return the key of a route in the table that matching searches: authority,
 * prefix and name, each ended by a byte that none of them may hold. The
 * caller ends the key with str_release.
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
edit(struct draft *draft, enum record_kind kind, struct str name)
{
	return table_edit(&draft->tables[kind], name);
}

static struct refusal *
check_reference(const struct draft *draft, const struct record *record,
    enum record_kind kind, struct str name)
{
	const char *field = record_kind_name(kind);
	struct refusal *refusal;
	char *from;

	if (table_find(draft->tables[kind], name) != NULL)
		return NULL;
	from = str_dup_cstr(record->name);
	refusal = refusal_new(CONFIG_ERROR_REFERENCE, field,
	    "there is no %s %.*s", field, STR_ARG(name));
	refusal_set_record(refusal, record_kind_name(record->kind), from);
	g_free(from);
	return refusal;
}

static struct refusal *
check_references(const struct draft *draft, const struct record *record)
{
	struct refusal *refusal;

	switch (record->kind) {
	case RECORD_HOST:
		return check_reference(
		    draft, record, RECORD_ZONE, record->host.zone);
	case RECORD_UPSTREAM:
		refusal = check_reference(
		    draft, record, RECORD_SERVICE, record->upstream.service);
		if (refusal != NULL)
			return refusal;
		return check_reference(
		    draft, record, RECORD_HOST, record->upstream.host);
	case RECORD_ROUTE:
		return check_reference(
		    draft, record, RECORD_SERVICE, record->route.service);
	case RECORD_ZONE:
	case RECORD_SERVICE:
	case RECORD_KIND_COUNT:
		break;
	}
	return NULL;
}

/*
 * Take a record out of the lists of those that it refers to.
 */
static void
detach(struct draft *draft, const struct record *record)
{
	struct str key;

	switch (record->kind) {
	case RECORD_HOST:
		entry_remove_member(
		    edit(draft, RECORD_ZONE, record->host.zone), record->name);
		break;
	case RECORD_UPSTREAM:
		entry_remove_member(
		    edit(draft, RECORD_SERVICE, record->upstream.service),
		    record->name);
		entry_remove_member(
		    edit(draft, RECORD_HOST, record->upstream.host),
		    record->name);
		break;
	case RECORD_ROUTE:
		edit(draft, RECORD_SERVICE, record->route.service)
		    ->route_count--;
		key = route_key(record);
		table_remove(&draft->routes, key);
		str_release(&key);
		break;
	case RECORD_ZONE:
	case RECORD_SERVICE:
	case RECORD_KIND_COUNT:
		break;
	}
}

/*
 * Let the services of all upstreams on a host show its new record.
 */
static void
refresh_host(struct draft *draft, const struct entry *entry)
{
	for (size_t i = 0; i < entry->member_count; i++) {
		struct record *upstream = entry->members[i];

		entry_add_member(
		    edit(draft, RECORD_SERVICE, upstream->upstream.service),
		    upstream, entry->record);
	}
}

/*
 * Add a record to the lists of those that it refers to.
 */
static void
attach(struct draft *draft, struct record *record)
{
	struct entry *host;

	switch (record->kind) {
	case RECORD_HOST:
		entry_add_member(
		    edit(draft, RECORD_ZONE, record->host.zone), record, NULL);
		refresh_host(draft,
		    table_find(draft->tables[RECORD_HOST], record->name));
		break;
	case RECORD_UPSTREAM:
		host = edit(draft, RECORD_HOST, record->upstream.host);
		entry_add_member(host, record, NULL);
		entry_add_member(
		    edit(draft, RECORD_SERVICE, record->upstream.service),
		    record, host->record);
		break;
	case RECORD_ROUTE:
		edit(draft, RECORD_SERVICE, record->route.service)
		    ->route_count++;
		table_put(
		    &draft->routes, entry_new_keyed(record, route_key(record)));
		break;
	case RECORD_ZONE:
	case RECORD_SERVICE:
	case RECORD_KIND_COUNT:
		break;
	}
}

/*
 * Set a record, in place of the one with its kind and name if there is one.
 * Refused, without any effect, when a record that it refers to is absent.
 */
struct refusal *
draft_put(struct draft *draft, struct record *record)
{
	struct table **table = &draft->tables[record->kind];
	struct refusal *refusal = check_references(draft, record);
	struct entry *entry;

	if (refusal != NULL)
		return refusal;
	entry = table_edit(table, record->name);
	if (entry != NULL) {
		draft->digest =
		    digest_subtract(draft->digest, entry->record->digest);
		detach(draft, entry->record);
		entry_set_record(entry, record);
	} else {
		table_put(table, entry_new(record));
	}
	attach(draft, record);
	draft->digest = digest_add(draft->digest, record->digest);
	return NULL;
}

/*
 * Remove a record; without effect when there is none, so that a removal after
 * a refused publication does what it says. Refused, without any effect, while
 * another record refers to it.
 */
struct refusal *
draft_remove(struct draft *draft, enum record_kind kind, struct str name)
{
	struct entry *entry = table_find(draft->tables[kind], name);
	struct refusal *refusal;
	char *text;

	if (entry == NULL)
		return NULL;
	if (entry_is_used(entry)) {
		refusal = refusal_new(CONFIG_ERROR_REFERENCE, "",
		    "is still used by %zu records",
		    entry->member_count + entry->route_count);
		text = str_dup_cstr(name);
		refusal_set_record(refusal, record_kind_name(kind), text);
		g_free(text);
		return refusal;
	}
	draft->digest = digest_subtract(draft->digest, entry->record->digest);
	detach(draft, entry->record);
	table_remove(&draft->tables[kind], name);
	return NULL;
}
