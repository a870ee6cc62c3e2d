#include <string.h>

#include "fleet/replica.h"
#include "fleet/source.h"

enum {
	/* Tombstones kept; peers that are further behind need a snapshot. */
	TOMBSTONES_MAX = 1024,
};

struct replica {
	struct replica_ops ops;
	GHashTable *items;      /* key to struct replica_item */
	GQueue tombstones;      /* struct replica_item, no value, by revision */
	uint64_t era;           /* of all revisions */
	uint64_t revision;      /* complete up to here */
	uint64_t history_start; /* the tombstones after this are complete */
	uint64_t unseen_deletions;
	bool entering_era;          /* with the snapshot being loaded */
	uint64_t snapshot_revision; /* of the one being loaded, or 0 */
	GHashTable *snapshot_keys;  /* set of its keys so far; NULL: none */
};

static void
snapshot_keys_clear(struct replica *replica)
{
	if (replica->snapshot_keys != NULL)
		g_hash_table_destroy(replica->snapshot_keys);
	replica->snapshot_keys = NULL;
}

/*
 * Return an empty replica that calls ops for each change.
 */
struct replica *
replica_new(struct replica_ops ops)
{
	struct replica *replica = g_new0(struct replica, 1);

	replica->ops = ops;
	replica->items = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, replica_item_free);
	g_queue_init(&replica->tombstones);
	return replica;
}

/*
 * Free a replica. NULL is allowed.
 */
void
replica_free(struct replica *replica)
{
	if (replica == NULL)
		return;
	g_hash_table_destroy(replica->items);
	g_queue_clear_full(&replica->tombstones, replica_item_free);
	snapshot_keys_clear(replica);
	g_free(replica);
}

/*
 * Return the revision up to which the replica is complete.
 */
uint64_t
replica_revision(const struct replica *replica)
{
	return replica->revision;
}

/*
 * Return the position up to which the replica is complete.
 */
struct store_position
replica_position(const struct replica *replica)
{
	return (struct store_position){
		.era = replica->era,
		.revision = replica->revision,
	};
}

/*
 * Return how many deletions were of items that the replica never held, as it
 * was behind meanwhile.
 */
uint64_t
replica_unseen_deletions(const struct replica *replica)
{
	return replica->unseen_deletions;
}

static void
report_change(struct replica *replica, const struct replica_item *item)
{
	replica->ops.handle_change(
	    replica->ops.arg, item, replica->entering_era);
}

static void
tombstone_add(struct replica *replica, const char *key, uint64_t revision)
{
	g_queue_push_tail(
	    &replica->tombstones, replica_item_new(key, NULL, revision));
	while (g_queue_get_length(&replica->tombstones) > TOMBSTONES_MAX) {
		struct replica_item *oldest =
		    g_queue_pop_head(&replica->tombstones);

		replica->history_start =
		    MAX(replica->history_start, oldest->revision);
		replica_item_free(oldest);
	}
}

static void
item_delete(struct replica *replica, const char *key, uint64_t revision)
{
	struct replica_item removed = {
		.key = g_strdup(key),
		.revision = revision,
	};

	tombstone_add(replica, key, revision);
	g_hash_table_remove(replica->items, key);
	report_change(replica, &removed);
	g_free(removed.key);
}

/* Peers that are sent the changes may hold an item that this one never had. */
static void
record_unseen_deletion(
    struct replica *replica, const char *key, uint64_t revision)
{
	replica->unseen_deletions++;
	tombstone_add(replica, key, revision);
}

/*
 * Apply one change. The key is copied and the value and its compressed form get
 * one more reference; an item without a value deletes its key.
 */
void
replica_put_item(struct replica *replica, const struct replica_item *change)
{
	struct replica_item *item =
	    g_hash_table_lookup(replica->items, change->key);
	uint64_t revision = change->revision;
	bool is_same;

	if (replica->snapshot_keys != NULL && change->value != NULL)
		g_hash_table_add(replica->snapshot_keys, g_strdup(change->key));
	if (item != NULL && item->revision >= revision)
		return;
	/*
	 * All changes up to replica->revision are known, so a missing key was
	 * deleted. Only a snapshot that is no older knows better.
	 */
	if (item == NULL && revision <= replica->revision &&
	    replica->snapshot_revision < replica->revision)
		return;
	if (change->value == NULL) {
		if (item == NULL)
			record_unseen_deletion(replica, change->key, revision);
		else
			item_delete(replica, change->key, revision);
		return;
	}
	is_same = replica->entering_era && item != NULL &&
	    g_bytes_equal(item->value, change->value);
	item = replica_item_new(change->key, change->value, revision);
	if (change->compressed != NULL)
		item->compressed = g_bytes_ref(change->compressed);
	g_hash_table_replace(replica->items, item->key, item);
	if (!is_same)
		report_change(replica, item);
}

/*
 * Apply one change. The key is copied and the value gets one more reference; a
 * value of NULL deletes the key.
 */
void
replica_put(
    struct replica *replica, struct str key, GBytes *value, uint64_t revision)
{
	struct replica_item item = {
		.key = str_dup_cstr(key),
		.value = value,
		.revision = revision,
	};

	replica_put_item(replica, &item);
	g_free(item.key);
}

/*
 * Record that the replica is complete up to a revision. It never goes back.
 */
void
replica_advance(struct replica *replica, uint64_t revision)
{
	replica->revision = MAX(replica->revision, revision);
}

/*
 * Enter an era: revisions of the earlier one have no meaning any more.
 */
static void
enter_era(struct replica *replica, uint64_t era)
{
	GHashTableIter iter;
	void *value;

	replica->entering_era = replica->revision > 0;
	replica->era = era;
	replica->revision = 0;
	replica->history_start = 0;
	g_queue_clear_full(&replica->tombstones, replica_item_free);
	g_hash_table_iter_init(&iter, replica->items);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct replica_item *)value)->revision = 0;
}

/*
 * Start loading a full snapshot, dropping one that was not finished.
 */
void
replica_snapshot_begin(struct replica *replica, struct store_position position)
{
	if (position.era > replica->era)
		enter_era(replica, position.era);
	snapshot_keys_clear(replica);
	replica->snapshot_revision = position.revision;
	replica->snapshot_keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/*
 * Finish a full snapshot. Items that it lacks are deleted, unless they changed
 * after its revision.
 */
void
replica_snapshot_end(struct replica *replica)
{
	uint64_t revision = replica->snapshot_revision;
	GPtrArray *removed = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, replica->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct replica_item *item = value;

		if (item->revision <= revision &&
		    !g_hash_table_contains(replica->snapshot_keys, item->key))
			g_ptr_array_add(removed, g_strdup(item->key));
	}
	for (guint i = 0; i < removed->len; i++)
		item_delete(replica, removed->pdata[i], revision);
	g_ptr_array_unref(removed);
	replica->entering_era = false;
	replica->snapshot_revision = 0;
	snapshot_keys_clear(replica);
	/* Keys created and deleted before the snapshot left no tombstone. */
	replica->history_start = MAX(replica->history_start, revision);
	replica_advance(replica, revision);
}

static int
compare_revision(const void *a, const void *b)
{
	const struct replica_item *const *left = a, *const *right = b;

	return ((*left)->revision > (*right)->revision) -
	    ((*left)->revision < (*right)->revision);
}

/*
 * Return all items, oldest change first. The items are borrowed; the calling
 * code frees the array.
 */
GPtrArray *
replica_snapshot(struct replica *replica)
{
	GPtrArray *items = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, replica->items);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(items, value);
	g_ptr_array_sort(items, compare_revision);
	return items;
}

/*
 * Return the changes after a revision, oldest first; NULL if the tombstones do
 * not reach back that far. The items are borrowed; the calling code frees the
 * array.
 */
GPtrArray *
replica_changes_since(struct replica *replica, uint64_t revision)
{
	GPtrArray *changes;
	GHashTableIter iter;
	void *value;

	if (revision < replica->history_start)
		return NULL;
	changes = g_ptr_array_new();
	g_hash_table_iter_init(&iter, replica->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct replica_item *)value)->revision > revision)
			g_ptr_array_add(changes, value);
	}
	for (GList *link = replica->tombstones.head; link != NULL;
	     link = link->next) {
		if (((struct replica_item *)link->data)->revision > revision)
			g_ptr_array_add(changes, link->data);
	}
	g_ptr_array_sort(changes, compare_revision);
	return changes;
}
