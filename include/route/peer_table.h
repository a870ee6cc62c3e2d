#ifndef TREFOILHILL_ROUTE_PEER_TABLE_H
#define TREFOILHILL_ROUTE_PEER_TABLE_H

#include <stdatomic.h>
#include <stdbool.h>
#include <urcu-bp.h>
#include <urcu/rculfhash.h>

#include "common/str.h"
#include "config/snapshot.h"
#include "route/hint_cell.h"

/* What an entry knows of one upstream. */
struct peer {
	struct cds_lfht_node node;
	struct str name;
	struct hint_cell hint;
	atomic_uint_fast32_t own;     /* own calls in flight */
	atomic_uint_fast32_t lost;    /* times lost in a row */
	atomic_int_fast64_t until_ms; /* avoided until then */
	atomic_bool published;        /* set before it can be found */
	struct peer *next_removed;
};

/* Upstream name to struct peer. Peers are valid between enter and leave. */
struct peer_table;

struct peer_table *peer_table_new(void);
void peer_table_free(struct peer_table *table);
void peer_table_enter(struct peer_table *table);
void peer_table_leave(struct peer_table *table);
struct peer *peer_table_find(struct peer_table *table, struct str name);
/* Like find, but adds what is not there. */
struct peer *peer_table_get(struct peer_table *table, struct str name);
/* Drop idle peers that the snapshot lacks; not between enter and leave. */
size_t peer_table_prune(
    struct peer_table *table, const struct snapshot *snapshot);

#endif
