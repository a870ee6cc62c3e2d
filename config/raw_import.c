#include <stdlib.h>

#include "config/record_reader.h"
#include "config/snapshot_private.h"

enum {
	REFERENCES_MAX = 2,
};

struct raw_group;
struct raw_item;

/* A node in the list of items that refer to one item. */
struct raw_referrer {
	struct raw_item *item;
	struct raw_referrer *next;
};

struct raw_item {
	uint64_t revision;
	struct record *record; /* NULL: not a valid record */
	struct raw_group *group;
	struct raw_referrer *referrers;
	/* nodes in the lists of the items that this one refers to */
	struct raw_referrer references[REFERENCES_MAX];
};

/* The records that one publication was the last to write. */
struct raw_group {
	struct raw_item *items;
	size_t count;
	bool refused;
};

struct raw_import {
	struct raw_item *items; /* sorted by revision, kind and name */
	size_t count;
	GArray *groups;     /* struct raw_group */
	GPtrArray *refused; /* groups whose referrers are not yet checked */
	GHashTable *by_identity; /* struct record * to struct raw_item * */
};

static guint
identity_hash(gconstpointer key)
{
	const struct record *record = key;

	return g_str_hash(record->name.ptr) * RECORD_KIND_COUNT + record->kind;
}

static int
identity_compare(const struct record *a, const struct record *b)
{
	if (a->kind != b->kind)
		return a->kind < b->kind ? -1 : 1;
	return str_compare(a->name, b->name);
}

static gboolean
identity_equal(gconstpointer a, gconstpointer b)
{
	return identity_compare(a, b) == 0;
}

static int
item_compare(const void *a, const void *b)
{
	const struct raw_item *x = a;
	const struct raw_item *y = b;

	if (x->revision != y->revision)
		return x->revision < y->revision ? -1 : 1;
	if (x->record == NULL || y->record == NULL)
		return (x->record != NULL) - (y->record != NULL);
	return identity_compare(x->record, y->record);
}

static void
refuse_group(struct raw_import *import, struct raw_group *group)
{
	if (group->refused)
		return;
	group->refused = true;
	g_ptr_array_add(import->refused, group);
}

/*
 * Parse and sort all records.
 */
static void
read_items(struct raw_import *import, const struct raw_record *raw)
{
	for (size_t i = 0; i < import->count; i++) {
		struct raw_item *item = &import->items[i];
		struct refusal *refusal = NULL;

		item->revision = raw[i].revision;
		item->record =
		    record_read(raw[i].record, raw[i].revision, &refusal);
		refusal_free(refusal);
	}
	qsort(import->items, import->count, sizeof(import->items[0]),
	    item_compare);
}

/*
 * Build the groups. Items get their pointers into the array once it is
 * complete, as appending may move it.
 */
static void
group_items(struct raw_import *import)
{
	for (size_t i = 0; i < import->count; i++) {
		struct raw_group group = { .items = &import->items[i] };

		if (i == 0 ||
		    import->items[i].revision != import->items[i - 1].revision)
			g_array_append_val(import->groups, group);
		g_array_index(
		    import->groups, struct raw_group, import->groups->len - 1)
		    .count++;
	}
	for (size_t i = 0; i < import->groups->len; i++) {
		struct raw_group *group =
		    &g_array_index(import->groups, struct raw_group, i);

		for (size_t j = 0; j < group->count; j++)
			group->items[j].group = group;
	}
}

/*
 * Refuse the groups that are invalid by themselves, and index the items by
 * identity: of two with the same identity, the one with the higher revision.
 */
static void
check_items(struct raw_import *import, uint64_t revision)
{
	for (size_t i = 0; i < import->count; i++) {
		struct raw_item *item = &import->items[i];
		const struct raw_item *previous;

		if (item->record == NULL || item->revision == 0 ||
		    item->revision > revision) {
			refuse_group(import, item->group);
			continue;
		}
		previous =
		    g_hash_table_lookup(import->by_identity, item->record);
		if (previous != NULL && previous->revision == item->revision)
			refuse_group(import, item->group);
		g_hash_table_replace(import->by_identity, item->record, item);
	}
}

static void
link_reference(struct raw_import *import, struct raw_item *item, size_t slot,
    enum record_kind kind, struct str name)
{
	struct record identity = { .kind = kind, .name = name };
	struct raw_item *target =
	    g_hash_table_lookup(import->by_identity, &identity);

	if (target == NULL) {
		refuse_group(import, item->group);
		return;
	}
	item->references[slot].item = item;
	item->references[slot].next = target->referrers;
	target->referrers = &item->references[slot];
}

/*
 * Link each record to those that it refers to; refuse its group when one of
 * them does not exist.
 */
static void
link_items(struct raw_import *import)
{
	for (size_t i = 0; i < import->count; i++) {
		struct raw_item *item = &import->items[i];
		const struct record *record = item->record;

		if (record == NULL)
			continue;
		if (record->kind == RECORD_HOST)
			link_reference(
			    import, item, 0, RECORD_ZONE, record->host.zone);
		if (record->kind == RECORD_ROUTE)
			link_reference(import, item, 0, RECORD_SERVICE,
			    record->route.service);
		if (record->kind != RECORD_UPSTREAM)
			continue;
		link_reference(
		    import, item, 0, RECORD_SERVICE, record->upstream.service);
		link_reference(
		    import, item, 1, RECORD_HOST, record->upstream.host);
	}
}

/*
 * Refuse every group that refers to a record of a refused group, transitively.
 * Each reference is visited once.
 */
static void
propagate_refusals(struct raw_import *import)
{
	while (import->refused->len > 0) {
		struct raw_group *group = g_ptr_array_steal_index_fast(
		    import->refused, import->refused->len - 1);

		for (size_t i = 0; i < group->count; i++) {
			const struct raw_referrer *referrer =
			    group->items[i].referrers;

			for (; referrer != NULL; referrer = referrer->next)
				refuse_group(import, referrer->item->group);
		}
	}
}

/*
 * Add the accepted records to the tables, each after those that it refers to.
 */
static void
fill_tables(const struct raw_import *import, struct record_tables *tables)
{
	for (size_t kind = 0; kind < RECORD_KIND_COUNT; kind++) {
		for (size_t i = 0; i < import->count; i++) {
			const struct raw_item *item = &import->items[i];
			struct record *record = item->record;

			if (item->group->refused || record->kind != kind ||
			    g_hash_table_lookup(import->by_identity, record) !=
				item)
				continue;
			refusal_free(record_tables_put(tables, record));
		}
	}
}

/*
 * Build an accepted state from the platform's raw records as read at a
 * revision, for a node that cannot get a state from a peer. Of each
 * publication only the records that it was the last to write remain; such a
 * group is accepted or refused as a whole. The result is the largest set of
 * groups in which every reference resolves, which does not depend on the order
 * of the records or groups. Its base is the revision, which marks that
 * refusals of earlier publications were not seen.
 */
struct snapshot *
snapshot_from_raw(const struct raw_record *raw, size_t count, uint64_t revision)
{
	struct raw_import import = {
		.items = g_new0(struct raw_item, count),
		.count = count,
		.groups = g_array_new(FALSE, FALSE, sizeof(struct raw_group)),
		.refused = g_ptr_array_new(),
		.by_identity = g_hash_table_new(identity_hash, identity_equal),
	};
	struct record_tables tables;

	record_tables_init(&tables);
	read_items(&import, raw);
	group_items(&import);
	check_items(&import, revision);
	link_items(&import);
	propagate_refusals(&import);
	fill_tables(&import, &tables);
	g_hash_table_unref(import.by_identity);
	g_ptr_array_unref(import.refused);
	g_array_unref(import.groups);
	for (size_t i = 0; i < count; i++) {
		if (import.items[i].record != NULL)
			record_unref(import.items[i].record);
	}
	g_free(import.items);
	return snapshot_new(revision, revision, &tables);
}
