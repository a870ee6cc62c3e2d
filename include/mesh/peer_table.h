#ifndef TREFOILHILL_MESH_PEER_TABLE_H
#define TREFOILHILL_MESH_PEER_TABLE_H

#include <glib.h>
#include <stdint.h>
#include <time.h>

#include "mesh/message.h"

enum {
	PEER_TABLE_MAX = 16384,
};

struct peer {
	struct mesh_node node; /* owned */
	uint64_t floor;        /* highest that the host announced while ready */
	bool ready;            /* according to its last message */
	struct timespec last_heard;
};

/*
 * Hosts that sent messages to this node, with the version floor of each: the
 * highest version that the host is known to have served. After a restart the
 * host must not serve a lower one.
 */
struct peer_table {
	GHashTable *by_host; /* struct str * to struct peer * */
};

void peer_table_init(struct peer_table *table);
void peer_table_release(struct peer_table *table);
struct peer *peer_table_update(struct peer_table *table,
    const struct mesh_message *message, struct timespec now);
uint64_t peer_table_floor(const struct peer_table *table, struct str host);

#endif
