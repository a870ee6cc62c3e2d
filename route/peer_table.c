#include <glib.h>
#include <urcu-bp.h>
#include <urcu/rculfhash.h>
#include <xxhash.h>

#include "route/peer_table.h"

enum {
	BUCKET_COUNT = 256, /* fixed; a power of two */
};

struct peer_table {
	struct cds_lfht *hash;
};

/*
 * The thread sanitizer does not see the barriers of a library that was built
 * without it. These annotations mark them; other builds have empty functions.
 */
#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>

static void
annotate_read_unlock(struct peer_table *table)
{
	__tsan_release(table);
}

static void
annotate_grace_period(struct peer_table *table)
{
	__tsan_acquire(table);
}
#else
static void
annotate_read_unlock(struct peer_table *table)
{
}

static void
annotate_grace_period(struct peer_table *table)
{
}
#endif

static unsigned long
hash_name(struct str name)
{
	return (unsigned long)XXH3_64bits(name.ptr, name.len);
}

static int
peer_matches(struct cds_lfht_node *node, const void *key)
{
	struct peer *peer = caa_container_of(node, struct peer, node);

	if (!atomic_load_explicit(&peer->published, memory_order_acquire))
		return 0;
	return str_equal(peer->name, *(const struct str *)key);
}

static struct peer *
peer_new(struct str name)
{
	struct peer *peer = g_new0(struct peer, 1);

	cds_lfht_node_init(&peer->node);
	peer->name = str_dup(name);
	hint_cell_init(&peer->hint);
	atomic_init(&peer->own_calls, 0);
	atomic_init(&peer->losses, 0);
	atomic_init(&peer->avoid_until_ms, 0);
	atomic_init(&peer->published, false);
	atomic_store_explicit(&peer->published, true, memory_order_release);
	return peer;
}

static void
peer_free(struct peer *peer)
{
	str_release(&peer->name);
	g_free(peer);
}

/*
 * Return an empty table.
 */
struct peer_table *
peer_table_new(void)
{
	struct peer_table *table = g_new0(struct peer_table, 1);

	table->hash =
	    cds_lfht_new(BUCKET_COUNT, BUCKET_COUNT, BUCKET_COUNT, 0, NULL);
	g_assert(table->hash != NULL);
	return table;
}

/*
 * Remove all peers, or with keep only the idle ones that keep lacks. Frees
 * them after the current readers have finished.
 */
static size_t
remove_peers(struct peer_table *table, const struct snapshot *keep)
{
	struct cds_lfht_iter iter;
	struct peer *removed = NULL, *peer;
	size_t count = 0;

	rcu_read_lock();
	cds_lfht_for_each_entry(table->hash, &iter, peer, node)
	{
		if (keep != NULL &&
		    (atomic_load(&peer->own_calls) > 0 ||
			snapshot_find(keep, RECORD_UPSTREAM, peer->name) !=
			    NULL))
			continue;
		if (cds_lfht_del(table->hash, &peer->node) != 0)
			continue;
		peer->next_removed = removed;
		removed = peer;
		count++;
	}
	rcu_read_unlock();
	if (removed == NULL)
		return 0;
	synchronize_rcu();
	annotate_grace_period(table);
	while (removed != NULL) {
		peer = removed;
		removed = peer->next_removed;
		peer_free(peer);
	}
	return count;
}

/*
 * Free a table with its peers. No other thread may use it. NULL is allowed.
 */
void
peer_table_free(struct peer_table *table)
{
	if (table == NULL)
		return;
	remove_peers(table, NULL);
	cds_lfht_destroy(table->hash, NULL);
	g_free(table);
}

/*
 * Begin a read-side section: no peer found in it is freed before
 * peer_table_read_unlock.
 */
void
peer_table_read_lock(struct peer_table *table)
{
	rcu_read_lock();
}

/*
 * End a read-side section.
 */
void
peer_table_read_unlock(struct peer_table *table)
{
	annotate_read_unlock(table);
	rcu_read_unlock();
}

/*
 * Return the peer of that name, or NULL; valid until peer_table_read_unlock.
 */
struct peer *
peer_table_find(struct peer_table *table, struct str name)
{
	struct cds_lfht_iter iter;
	struct cds_lfht_node *node;

	cds_lfht_lookup(
	    table->hash, hash_name(name), peer_matches, &name, &iter);
	node = cds_lfht_iter_get_node(&iter);
	return node == NULL ? NULL : caa_container_of(node, struct peer, node);
}

/*
 * Return the peer of that name, added if it is missing; valid until
 * peer_table_read_unlock.
 */
struct peer *
peer_table_find_or_add(struct peer_table *table, struct str name)
{
	struct peer *peer = peer_table_find(table, name);
	struct cds_lfht_node *node;

	if (peer != NULL)
		return peer;
	peer = peer_new(name);
	node = cds_lfht_add_unique(table->hash, hash_name(name), peer_matches,
	    &peer->name, &peer->node);
	if (node != &peer->node)
		peer_free(peer);
	return caa_container_of(node, struct peer, node);
}

/*
 * Remove the idle peers that a snapshot no longer has; returns their number.
 */
size_t
peer_table_prune(struct peer_table *table, const struct snapshot *snapshot)
{
	return remove_peers(table, snapshot);
}
