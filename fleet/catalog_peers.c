#include "fleet/catalog_private.h"

/* The hosts whose upstreams may be used, by address. */

static void *
host_key(struct in_addr host)
{
	return GUINT_TO_POINTER(host.s_addr);
}

static struct fleet_zone *
zone_get_or_create(struct catalog *catalog, const char *name)
{
	struct fleet_zone *zone = g_hash_table_lookup(catalog->zones, name);

	if (zone == NULL) {
		zone = fleet_zone_new(name);
		g_hash_table_insert(catalog->zones, zone->name, zone);
	}
	return zone;
}

/*
 * Does an upstream make its host a peer? An entry of a service that isn't
 * configured may be that of another system. Before the first configuration
 * nothing is known of services, and a peer may have it.
 */
static bool
names_peer(const struct catalog *catalog, const struct upstream *upstream)
{
	return catalog->config == NULL || upstream->configured;
}

/*
 * Find the peer of an upstream at a host: of any, or of one that makes its host
 * a peer. NULL if there is none.
 */
static struct fleet_peer *
find_peer(const struct catalog *catalog, struct in_addr host, bool any)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, catalog->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct upstream *upstream = value;

		if (upstream->peer->host.s_addr == host.s_addr &&
		    (any || names_peer(catalog, upstream)))
			return upstream->peer;
	}
	return NULL;
}

/*
 * Return the peer of an entry's host, with a reference for the calling code. It
 * is not listed by this.
 */
struct fleet_peer *
catalog_peer_for(struct catalog *catalog, const struct upstream_entry *entry)
{
	struct in_addr host = entry->address.sin_addr;
	struct fleet_peer *peer =
	    g_hash_table_lookup(catalog->peers, host_key(host));

	if (peer == NULL)
		peer = find_peer(catalog, host, true);
	if (peer != NULL)
		return fleet_peer_ref(peer);
	return fleet_peer_new(host, zone_get_or_create(catalog, entry->zone));
}

static void
list_peer(struct catalog *catalog, struct fleet_peer *peer)
{
	if (g_hash_table_contains(catalog->peers, host_key(peer->host)))
		return;
	g_hash_table_insert(
	    catalog->peers, host_key(peer->host), fleet_peer_ref(peer));
	g_hash_table_add(catalog->peer_zones, peer->zone->name);
}

/*
 * Unlist a host if it has no upstream any more that makes it a peer.
 */
void
catalog_unlist_peer(struct catalog *catalog, struct in_addr host)
{
	if (find_peer(catalog, host, false) == NULL)
		g_hash_table_remove(catalog->peers, host_key(host));
}

/*
 * List or unlist the host of an upstream that is new or has changed.
 */
void
catalog_update_peer(struct catalog *catalog, const struct upstream *upstream)
{
	if (names_peer(catalog, upstream))
		list_peer(catalog, upstream->peer);
	else
		catalog_unlist_peer(catalog, upstream->peer->host);
}

/*
 * List the hosts anew, as the configuration has changed.
 */
void
catalog_update_peers(struct catalog *catalog, bool is_first)
{
	GHashTable *former = catalog->peers;
	GHashTableIter iter;
	void *value;

	catalog->peers = catalog_peer_table_new();
	if (is_first)
		g_hash_table_remove_all(catalog->peer_zones);
	g_hash_table_iter_init(&iter, catalog->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct upstream *upstream = value;

		if (names_peer(catalog, upstream))
			list_peer(catalog, upstream->peer);
	}
	g_hash_table_destroy(former);
}

static void
peer_unref(void *peer)
{
	fleet_peer_unref(peer);
}

/*
 * Return an empty table of peers by host.
 */
GHashTable *
catalog_peer_table_new(void)
{
	return g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, NULL, peer_unref);
}

/*
 * Return the peers, keyed by host address in network byte order.
 */
GHashTable *
catalog_peers(const struct catalog *catalog)
{
	return catalog->peers;
}

/*
 * Return the number of zones in which there are or were peers.
 */
uint32_t
catalog_zone_count(const struct catalog *catalog)
{
	return g_hash_table_size(catalog->peer_zones);
}
