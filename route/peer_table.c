#include <glib.h>
#include <urcu-bp.h>
#include <urcu/rculfhash.h>
#include <xxhash.h>

#include "route/peer_table.h"

enum {
	BUCKETS = 256, /* of a fixed number, a power of two */
};

struct peer_table {
	struct cds_lfht *hash;
};

/*
 * The thread sanitizer does not see the barriers of a library that was built
 * without it. Say where they are; empty in every other build.
 */
#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>

static void
annotate_leave(struct peer_table *table)
{
	__tsan_release(table);
}

static void
annotate_all_left(struct peer_table *table)
{
	__tsan_acquire(table);
}
#else
static void
annotate_leave(struct peer_table *table)
{
}

static void
annotate_all_left(struct peer_table *table)
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
	atomic_init(&peer->own, 0);
	atomic_init(&peer->lost, 0);
	atomic_init(&peer->until_ms, 0);
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

	table->hash = cds_lfht_new(BUCKETS, BUCKETS, BUCKETS, 0, NULL);
	g_assert(table->hash != NULL);
	return table;
}

/*
 * Drop all peers that match, after the readers of this moment have gone.
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
		    (atomic_load(&peer->own) > 0 ||
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
	annotate_all_left(table);
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
 * Begin to use peers: none that can be found now is freed until leave.
 */
void
peer_table_enter(struct peer_table *table)
{
	rcu_read_lock();
}

/*
 * Stop using peers.
 */
void
peer_table_leave(struct peer_table *table)
{
	annotate_leave(table);
	rcu_read_unlock();
}

/*
 * Return the peer of that name, or NULL; valid until peer_table_leave.
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
 * Return the peer of that name, new if need be; valid until peer_table_leave.
 */
struct peer *
peer_table_get(struct peer_table *table, struct str name)
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
 * Forget the idle peers that a snapshot no longer has; returns their number.
 */
size_t
peer_table_prune(struct peer_table *table, const struct snapshot *snapshot)
{
	return remove_peers(table, snapshot);
}
