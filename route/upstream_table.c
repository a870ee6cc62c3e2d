#include <glib.h>
#include <urcu-bp.h>
#include <urcu/rculfhash.h>
#include <xxhash.h>

#include "route/upstream_table.h"

enum {
	BUCKET_COUNT = 256, /* fixed; a power of two */
};

struct upstream_table {
	struct cds_lfht *hash;
};

/*
 * The thread sanitizer does not see the barriers of a library that was built
 * without it. These annotations mark them; other builds have empty functions.
 */
#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>

static void
annotate_read_unlock(struct upstream_table *table)
{
	__tsan_release(table);
}

static void
annotate_grace_period(struct upstream_table *table)
{
	__tsan_acquire(table);
}
#else
static void
annotate_read_unlock(struct upstream_table *table)
{
}

static void
annotate_grace_period(struct upstream_table *table)
{
}
#endif

static unsigned long
hash_name(struct str name)
{
	return (unsigned long)XXH3_64bits(name.ptr, name.len);
}

static int
state_matches(struct cds_lfht_node *node, const void *key)
{
	struct upstream_state *state =
	    caa_container_of(node, struct upstream_state, node);

	if (!atomic_load_explicit(&state->published, memory_order_acquire))
		return 0;
	return str_equal(state->name, *(const struct str *)key);
}

static struct upstream_state *
state_new(struct str name)
{
	struct upstream_state *state = g_new0(struct upstream_state, 1);

	cds_lfht_node_init(&state->node);
	state->name = str_dup(name);
	hint_cell_init(&state->hint);
	atomic_init(&state->own_calls, 0);
	atomic_init(&state->losses, 0);
	atomic_init(&state->avoid_until_ms, 0);
	atomic_init(&state->published, false);
	atomic_store_explicit(&state->published, true, memory_order_release);
	return state;
}

static void
state_free(struct upstream_state *state)
{
	str_release(&state->name);
	g_free(state);
}

/*
 * Return an empty table.
 */
struct upstream_table *
upstream_table_new(void)
{
	struct upstream_table *table = g_new0(struct upstream_table, 1);

	table->hash =
	    cds_lfht_new(BUCKET_COUNT, BUCKET_COUNT, BUCKET_COUNT, 0, NULL);
	g_assert(table->hash != NULL);
	return table;
}

/*
 * Remove all states, or with keep only the idle ones that keep lacks. Frees
 * them after the current readers have finished.
 */
static size_t
remove_states(struct upstream_table *table, const struct snapshot *keep)
{
	struct cds_lfht_iter iter;
	struct upstream_state *removed = NULL, *state;
	size_t count = 0;

	rcu_read_lock();
	cds_lfht_for_each_entry(table->hash, &iter, state, node)
	{
		if (keep != NULL &&
		    (atomic_load(&state->own_calls) > 0 ||
			snapshot_find(keep, RECORD_UPSTREAM, state->name) !=
			    NULL))
			continue;
		if (cds_lfht_del(table->hash, &state->node) != 0)
			continue;
		state->next_removed = removed;
		removed = state;
		count++;
	}
	rcu_read_unlock();
	if (removed == NULL)
		return 0;
	synchronize_rcu();
	annotate_grace_period(table);
	while (removed != NULL) {
		state = removed;
		removed = state->next_removed;
		state_free(state);
	}
	return count;
}

/*
 * Free a table with its states. No other thread may use it. NULL is allowed.
 */
void
upstream_table_free(struct upstream_table *table)
{
	if (table == NULL)
		return;
	remove_states(table, NULL);
	cds_lfht_destroy(table->hash, NULL);
	g_free(table);
}

/*
 * Begin a read-side section: no state found in it is freed before
 * upstream_table_read_unlock.
 */
void
upstream_table_read_lock(struct upstream_table *table)
{
	rcu_read_lock();
}

/*
 * End a read-side section.
 */
void
upstream_table_read_unlock(struct upstream_table *table)
{
	annotate_read_unlock(table);
	rcu_read_unlock();
}

/*
 * Return the state of that upstream, or NULL; valid until
 * upstream_table_read_unlock.
 */
struct upstream_state *
upstream_table_find(struct upstream_table *table, struct str name)
{
	struct cds_lfht_iter iter;
	struct cds_lfht_node *node;

	cds_lfht_lookup(
	    table->hash, hash_name(name), state_matches, &name, &iter);
	node = cds_lfht_iter_get_node(&iter);
	return node == NULL
	    ? NULL
	    : caa_container_of(node, struct upstream_state, node);
}

/*
 * Return the state of that upstream, added if it is missing; valid until
 * upstream_table_read_unlock.
 */
struct upstream_state *
upstream_table_find_or_add(struct upstream_table *table, struct str name)
{
	struct upstream_state *state = upstream_table_find(table, name);
	struct cds_lfht_node *node;

	if (state != NULL)
		return state;
	state = state_new(name);
	node = cds_lfht_add_unique(table->hash, hash_name(name), state_matches,
	    &state->name, &state->node);
	if (node != &state->node)
		state_free(state);
	return caa_container_of(node, struct upstream_state, node);
}

/*
 * Remove the idle upstreams that a snapshot no longer has; returns their
 * number.
 */
size_t
upstream_table_prune(
    struct upstream_table *table, const struct snapshot *snapshot)
{
	return remove_states(table, snapshot);
}
