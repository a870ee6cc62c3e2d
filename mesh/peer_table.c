#include <xxhash.h>

#include "common/clock.h"
#include "mesh/peer_table.h"

static guint
hash_host(gconstpointer key)
{
	const struct str *host = key;

	return (guint)XXH3_64bits(host->ptr, host->len);
}

static gboolean
host_equal(gconstpointer a, gconstpointer b)
{
	const struct str *left = a;
	const struct str *right = b;

	return str_equal(*left, *right);
}

static void
peer_free(gpointer data)
{
	struct peer *peer = data;

	str_release(&peer->node.host);
	str_release(&peer->node.zone);
	str_release(&peer->node.address);
	g_free(peer);
}

/*
 * Initialize an empty table.
 */
void
peer_table_init(struct peer_table *table)
{
	table->by_host =
	    g_hash_table_new_full(hash_host, host_equal, NULL, peer_free);
}

/*
 * Free a table.
 */
void
peer_table_release(struct peer_table *table)
{
	g_hash_table_destroy(table->by_host);
}

/* Evict the peer that has been silent for the longest time. */
static void
peer_table_drop_oldest(struct peer_table *table)
{
	struct peer *oldest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->by_host);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer *peer = value;

		if (oldest == NULL ||
		    timespec_before(peer->last_heard, oldest->last_heard))
			oldest = peer;
	}
	if (oldest != NULL)
		g_hash_table_remove(table->by_host, &oldest->node.host);
}

static void
peer_set_address(struct peer *peer, struct str address)
{
	if (str_equal(peer->node.address, address))
		return;
	str_release(&peer->node.address);
	peer->node.address = str_dup(address);
}

/*
 * Record what a message says about its sender and return the sender's entry.
 * The floor only rises, and only by versions that the host served: a joining
 * node has announced nothing yet.
 */
struct peer *
peer_table_update(struct peer_table *table, const struct mesh_message *message,
    struct timespec now)
{
	const struct mesh_node *sender = &message->sender;
	struct peer *peer = g_hash_table_lookup(table->by_host, &sender->host);

	if (peer == NULL) {
		if (g_hash_table_size(table->by_host) >= PEER_TABLE_MAX)
			peer_table_drop_oldest(table);
		peer = g_new0(struct peer, 1);
		peer->node.host = str_dup(sender->host);
		peer->node.zone = str_dup(sender->zone);
		peer->node.address = str_dup(sender->address);
		g_hash_table_insert(table->by_host, &peer->node.host, peer);
	}
	peer_set_address(peer, sender->address);
	peer->last_heard = now;
	peer->ready = message->ready;
	if (message->ready)
		peer->floor = MAX(peer->floor, message->state.version);
	return peer;
}

/*
 * Return the highest version that a host is known to have served, or 0.
 */
uint64_t
peer_table_floor(const struct peer_table *table, struct str host)
{
	const struct peer *peer = g_hash_table_lookup(table->by_host, &host);

	return peer == NULL ? 0 : peer->floor;
}
