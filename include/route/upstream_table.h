#ifndef TREFOILHILL_ROUTE_UPSTREAM_TABLE_H
#define TREFOILHILL_ROUTE_UPSTREAM_TABLE_H

#include <stdatomic.h>
#include <stdbool.h>
#include <urcu-bp.h>
#include <urcu/rculfhash.h>

#include "common/str.h"
#include "config/snapshot.h"
#include "route/hint_cell.h"

/* State that an entry keeps about one upstream. */
struct upstream_state {
	struct cds_lfht_node node;
	struct str name;
	struct hint_cell hint;
	atomic_uint_fast32_t own_calls;     /* this entry's, in flight */
	atomic_uint_fast32_t losses;        /* consecutive */
	atomic_int_fast64_t avoid_until_ms; /* on the monotonic clock */
	atomic_bool published; /* set before the state can be found */
	struct upstream_state *next_removed;
};

/*
 * RCU hash table from upstream name to struct upstream_state. A state is valid
 * while the read lock is held.
 */
struct upstream_table;

struct upstream_table *upstream_table_new(void);
void upstream_table_free(struct upstream_table *table);
void upstream_table_read_lock(struct upstream_table *table);
void upstream_table_read_unlock(struct upstream_table *table);
struct upstream_state *upstream_table_find(
    struct upstream_table *table, struct str name);
/* Like upstream_table_find, but adds a missing state. */
struct upstream_state *upstream_table_find_or_add(
    struct upstream_table *table, struct str name);
/*
 * Remove idle upstreams that the snapshot lacks. Must not be called with the
 * read lock held, because it waits for all readers.
 */
size_t upstream_table_prune(
    struct upstream_table *table, const struct snapshot *snapshot);

#endif
