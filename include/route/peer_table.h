#ifndef TREFOILHILL_ROUTE_PEER_TABLE_H
#define TREFOILHILL_ROUTE_PEER_TABLE_H

#include <stdatomic.h>
#include <stdbool.h>
#include <urcu-bp.h>
#include <urcu/rculfhash.h>

#include "common/str.h"
#include "config/snapshot.h"
#include "route/hint_cell.h"

/* State that an entry keeps about one upstream. */
struct peer {
	struct cds_lfht_node node;
	struct str name;
	struct hint_cell hint;
	atomic_uint_fast32_t own_calls;     /* this entry's, in flight */
	atomic_uint_fast32_t losses;        /* consecutive */
	atomic_int_fast64_t avoid_until_ms; /* on the monotonic clock */
	atomic_bool published; /* set before the peer can be found */
	struct peer *next_removed;
};

/*
 * RCU hash table from upstream name to struct peer. Peers are valid while the
 * read lock is held.
 */
struct peer_table;

struct peer_table *peer_table_new(void);
void peer_table_free(struct peer_table *table);
void peer_table_read_lock(struct peer_table *table);
void peer_table_read_unlock(struct peer_table *table);
struct peer *peer_table_find(struct peer_table *table, struct str name);
/* Like peer_table_find, but adds a missing peer. */
struct peer *peer_table_find_or_add(struct peer_table *table, struct str name);
/*
 * Remove idle peers that the snapshot lacks. Must not be called with the read
 * lock held, because it waits for all readers.
 */
size_t peer_table_prune(
    struct peer_table *table, const struct snapshot *snapshot);

#endif
