#include <string.h>

#include "fleet/replica.h"
#include "fleet/source.h"

enum {
	/* Deletions remembered; older peers take a whole copy. */
	DELETIONS_MAX = 1024,
};

struct replica {
	struct replica_ops ops;
	GHashTable *items; /* key to struct replica_item */
	GQueue deletions; /* struct replica_item * without value, by revision */
	uint64_t revision;  /* whole up to here */
	uint64_t floor;     /* history is whole after this */
	bool filling;       /* between whole_begin and whole_end */
	GHashTable *filled; /* keys seen meanwhile */
};

static void
filled_forget(struct replica *replica)
{
	if (replica->filled != NULL)
		g_hash_table_destroy(replica->filled);
	replica->filled = NULL;
}

/*
 * Return an empty replica that tells ops of each change.
 */
struct replica *
replica_new(struct replica_ops ops)
{
	struct replica *replica = g_new0(struct replica, 1);

	replica->ops = ops;
	replica->items = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, replica_item_free);
	g_queue_init(&replica->deletions);
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
	g_queue_clear_full(&replica->deletions, replica_item_free);
	filled_forget(replica);
	g_free(replica);
}

/*
 * Return the revision up to which the replica is whole.
 */
uint64_t
replica_revision(const struct replica *replica)
{
	return replica->revision;
}

static void
deletion_add(struct replica *replica, const char *key, uint64_t revision)
{
	g_queue_push_tail(
	    &replica->deletions, replica_item_new(key, NULL, revision));
	while (g_queue_get_length(&replica->deletions) > DELETIONS_MAX) {
		struct replica_item *oldest =
		    g_queue_pop_head(&replica->deletions);

		replica->floor = MAX(replica->floor, oldest->revision);
		replica_item_free(oldest);
	}
}

static void
item_delete(struct replica *replica, const char *key, uint64_t revision)
{
	struct replica_item gone = {
		.key = g_strdup(key),
		.revision = revision,
	};

	deletion_add(replica, key, revision);
	g_hash_table_remove(replica->items, key);
	replica->ops.handle_change(replica->ops.arg, &gone);
	g_free(gone.key);
}

static bool
was_deleted_later(
    const struct replica *replica, const char *key, uint64_t revision)
{
	for (GList *link = replica->deletions.tail; link != NULL;
	     link = link->prev) {
		const struct replica_item *deletion = link->data;

		if (deletion->revision < revision)
			return false;
		if (strcmp(deletion->key, key) == 0)
			return true;
	}
	return false;
}

/*
 * Take one change in. An item without a value deletes its key.
 */
void
replica_put_item(struct replica *replica, const struct replica_item *change)
{
	struct replica_item *item =
	    g_hash_table_lookup(replica->items, change->key);
	uint64_t revision = change->revision;

	if (replica->filling && change->value != NULL)
		g_hash_table_add(replica->filled, g_strdup(change->key));
	if (item != NULL && item->revision >= revision)
		return;
	/* Changes up to the own revision are known, deletions among them. */
	if (item == NULL && revision <= replica->revision &&
	    (!replica->filling ||
		was_deleted_later(replica, change->key, revision)))
		return;
	if (change->value == NULL) {
		if (item != NULL)
			item_delete(replica, change->key, revision);
		return;
	}
	item = replica_item_new(change->key, change->value, revision);
	if (change->packed != NULL)
		item->packed = g_bytes_ref(change->packed);
	g_hash_table_replace(replica->items, item->key, item);
	replica->ops.handle_change(replica->ops.arg, item);
}

/*
 * Take one change in. A value of NULL deletes the key.
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
 * Note that the replica is whole up to a revision.
 */
void
replica_advance(struct replica *replica, uint64_t revision)
{
	replica->revision = MAX(replica->revision, revision);
}

/*
 * Begin to take a whole copy.
 */
void
replica_whole_begin(struct replica *replica)
{
	filled_forget(replica);
	replica->filled =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	replica->filling = true;
}

/*
 * End a whole copy: what was not in it has been deleted, unless it changed
 * after the revision.
 */
void
replica_whole_end(struct replica *replica, uint64_t revision)
{
	GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, replica->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct replica_item *item = value;

		if (item->revision <= revision &&
		    !g_hash_table_contains(replica->filled, item->key))
			g_ptr_array_add(gone, g_strdup(item->key));
	}
	replica->filling = false;
	for (guint i = 0; i < gone->len; i++)
		item_delete(replica, gone->pdata[i], revision);
	g_ptr_array_unref(gone);
	filled_forget(replica);
	/* What came and went before this copy was never seen. */
	replica->floor = MAX(replica->floor, revision);
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
 * Return all items, the oldest change first.
 */
GPtrArray *
replica_whole(struct replica *replica)
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
 * Return what changed after a revision, the oldest change first; NULL when
 * the history does not reach back so far.
 */
GPtrArray *
replica_since(struct replica *replica, uint64_t revision)
{
	GPtrArray *changes;
	GHashTableIter iter;
	void *value;

	if (revision < replica->floor)
		return NULL;
	changes = g_ptr_array_new();
	g_hash_table_iter_init(&iter, replica->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct replica_item *)value)->revision > revision)
			g_ptr_array_add(changes, value);
	}
	for (GList *link = replica->deletions.head; link != NULL;
	     link = link->next) {
		if (((struct replica_item *)link->data)->revision > revision)
			g_ptr_array_add(changes, link->data);
	}
	g_ptr_array_sort(changes, compare_revision);
	return changes;
}
