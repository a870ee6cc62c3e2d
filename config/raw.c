#include <stdlib.h>

#include "config/record_reader.h"
#include "config/snapshot_new.h"

enum {
	REFERENCES_MAX = 2,
};

struct raw_group;
struct raw_item;

/* A place in the list of those that refer to one item. */
struct raw_user {
	struct raw_item *item;
	struct raw_user *next;
};

struct raw_item {
	uint64_t revision;
	struct record *record; /* NULL: not a valid record */
	struct raw_group *group;
	struct raw_user *users;
	struct raw_user links[REFERENCES_MAX]; /* in others' lists */
};

/* All records that one publication was the last to write. */
struct raw_group {
	struct raw_item *items;
	size_t count;
	bool refused;
};

struct fold {
	struct raw_item *items; /* by revision, kind and name */
	size_t count;
	GArray *groups;          /* struct raw_group */
	GPtrArray *refused;      /* groups whose users were not yet looked at */
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
refuse_group(struct fold *fold, struct raw_group *group)
{
	if (group->refused)
		return;
	group->refused = true;
	g_ptr_array_add(fold->refused, group);
}

/*
 * Read all records and bring them in order.
 */
static void
read_items(struct fold *fold, const struct raw_record *raw)
{
	for (size_t i = 0; i < fold->count; i++) {
		struct raw_item *item = &fold->items[i];
		struct refusal *fault = NULL;

		item->revision = raw[i].revision;
		item->record =
		    record_read(raw[i].record, raw[i].revision, &fault);
		refusal_free(fault);
	}
	qsort(fold->items, fold->count, sizeof(fold->items[0]), item_compare);
}

/*
 * Find the groups. The array is complete before any item points into it.
 */
static void
group_items(struct fold *fold)
{
	for (size_t i = 0; i < fold->count; i++) {
		struct raw_group fresh = { .items = &fold->items[i] };

		if (i == 0 ||
		    fold->items[i].revision != fold->items[i - 1].revision)
			g_array_append_val(fold->groups, fresh);
		g_array_index(
		    fold->groups, struct raw_group, fold->groups->len - 1)
		    .count++;
	}
	for (size_t i = 0; i < fold->groups->len; i++) {
		struct raw_group *group =
		    &g_array_index(fold->groups, struct raw_group, i);

		for (size_t j = 0; j < group->count; j++)
			group->items[j].group = group;
	}
}

/*
 * Refuse the groups that are wrong by themselves, and note who holds which
 * record: of two with one identity the higher revision.
 */
static void
check_items(struct fold *fold, uint64_t revision)
{
	for (size_t i = 0; i < fold->count; i++) {
		struct raw_item *item = &fold->items[i];
		const struct raw_item *before;

		if (item->record == NULL || item->revision == 0 ||
		    item->revision > revision) {
			refuse_group(fold, item->group);
			continue;
		}
		before = g_hash_table_lookup(fold->by_identity, item->record);
		if (before != NULL && before->revision == item->revision)
			refuse_group(fold, item->group);
		g_hash_table_replace(fold->by_identity, item->record, item);
	}
}

static void
link_reference(struct fold *fold, struct raw_item *item, size_t slot,
    enum record_kind kind, struct str name)
{
	struct record identity = { .kind = kind, .name = name };
	struct raw_item *target =
	    g_hash_table_lookup(fold->by_identity, &identity);

	if (target == NULL) {
		refuse_group(fold, item->group);
		return;
	}
	item->links[slot].item = item;
	item->links[slot].next = target->users;
	target->users = &item->links[slot];
}

/*
 * Link each record to those that it refers to; refuse its group when there
 * is no such record at all.
 */
static void
link_items(struct fold *fold)
{
	for (size_t i = 0; i < fold->count; i++) {
		struct raw_item *item = &fold->items[i];
		const struct record *record = item->record;

		if (record == NULL)
			continue;
		if (record->kind == RECORD_HOST)
			link_reference(
			    fold, item, 0, RECORD_ZONE, record->host.zone);
		if (record->kind == RECORD_ROUTE)
			link_reference(fold, item, 0, RECORD_SERVICE,
			    record->route.service);
		if (record->kind != RECORD_UPSTREAM)
			continue;
		link_reference(
		    fold, item, 0, RECORD_SERVICE, record->upstream.service);
		link_reference(
		    fold, item, 1, RECORD_HOST, record->upstream.host);
	}
}

/*
 * Refuse whoever refers to a record of a refused group, until nothing
 * changes. Each reference is looked at once.
 */
static void
spread_refusals(struct fold *fold)
{
	while (fold->refused->len > 0) {
		struct raw_group *group = g_ptr_array_steal_index_fast(
		    fold->refused, fold->refused->len - 1);

		for (size_t i = 0; i < group->count; i++) {
			const struct raw_user *user = group->items[i].users;

			for (; user != NULL; user = user->next)
				refuse_group(fold, user->item->group);
		}
	}
}

/*
 * Put the accepted records into a draft, those first that others refer to.
 */
static void
fill_draft(const struct fold *fold, struct draft *draft)
{
	for (size_t kind = 0; kind < RECORD_KIND_COUNT; kind++) {
		for (size_t i = 0; i < fold->count; i++) {
			const struct raw_item *item = &fold->items[i];
			struct record *record = item->record;

			if (item->group->refused || record->kind != kind ||
			    g_hash_table_lookup(fold->by_identity, record) !=
				item)
				continue;
			refusal_free(draft_put(draft, record));
		}
	}
}

/*
 * Make an accepted state from the raw records of the platform, as read at a
 * revision, for a node that can get none from a peer. The publications are
 * known only by what is left of them: the records that each was the last to
 * write. Such a group is accepted or refused whole. The result is the largest
 * set of groups in which every reference is met, which does not depend on the
 * order of the records or of the groups. Its base is the revision, which
 * tells that refusals of earlier publications were not seen.
 */
struct snapshot *
snapshot_from_raw(const struct raw_record *raw, size_t count, uint64_t revision)
{
	struct fold fold = {
		.items = g_new0(struct raw_item, count),
		.count = count,
		.groups = g_array_new(FALSE, FALSE, sizeof(struct raw_group)),
		.refused = g_ptr_array_new(),
		.by_identity = g_hash_table_new(identity_hash, identity_equal),
	};
	struct draft draft;

	draft_init(&draft);
	read_items(&fold, raw);
	group_items(&fold);
	check_items(&fold, revision);
	link_items(&fold);
	spread_refusals(&fold);
	fill_draft(&fold, &draft);
	g_hash_table_unref(fold.by_identity);
	g_ptr_array_unref(fold.refused);
	g_array_unref(fold.groups);
	for (size_t i = 0; i < count; i++) {
		if (fold.items[i].record != NULL)
			record_unref(fold.items[i].record);
	}
	g_free(fold.items);
	return snapshot_new(revision, revision, &draft);
}
