#include "fleet/catalog_private.h"

/* The upstreams that are listed, by id, by service and by host. */

static bool
has_address(const struct upstream *upstream, const struct sockaddr_in *address)
{
	const struct sockaddr_in *own = &upstream->entry.address;

	return own->sin_addr.s_addr == address->sin_addr.s_addr &&
	    own->sin_port == address->sin_port;
}

static struct fleet_peer *
catalog_peer(struct catalog *catalog, const struct upstream_entry *entry)
{
	struct in_addr host = entry->address.sin_addr;
	void *key = GUINT_TO_POINTER(host.s_addr);
	struct fleet_peer *peer = g_hash_table_lookup(catalog->peers, key);

	if (peer == NULL) {
		peer = fleet_peer_new(host, entry->zone);
		g_hash_table_insert(catalog->peers, key, peer);
	}
	return peer;
}

static void
group_add(struct catalog *catalog, struct upstream *upstream)
{
	struct upstream_group *group =
	    g_hash_table_lookup(catalog->groups, upstream->entry.service);

	if (group == NULL) {
		group = g_new0(struct upstream_group, 1);
		group->service = g_strdup(upstream->entry.service);
		group->upstreams =
		    g_ptr_array_new_with_free_func(catalog_release_upstream);
		g_hash_table_insert(catalog->groups, group->service, group);
	}
	g_ptr_array_add(group->upstreams, upstream_ref(upstream));
}

static void
group_remove(struct catalog *catalog, struct upstream *upstream)
{
	struct upstream_group *group =
	    g_hash_table_lookup(catalog->groups, upstream->entry.service);

	if (group != NULL)
		g_ptr_array_remove(group->upstreams, upstream);
}

/* A host without a listed upstream is no peer any more. */
static void
peer_prune(struct catalog *catalog, struct in_addr host)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, catalog->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct upstream *upstream = value;

		if (upstream->entry.address.sin_addr.s_addr == host.s_addr)
			return;
	}
	g_hash_table_remove(catalog->peers, GUINT_TO_POINTER(host.s_addr));
}

static void
upstream_remove(
    struct catalog *catalog, struct upstream *upstream, uint64_t revision)
{
	struct in_addr host = upstream->entry.address.sin_addr;

	catalog_tell(catalog, CATALOG_EVENT_UPSTREAM_GONE, upstream->entry.id,
	    upstream->entry.service, revision);
	upstream->listed = false;
	group_remove(catalog, upstream);
	g_hash_table_remove(catalog->upstreams, upstream->entry.id);
	peer_prune(catalog, host);
}

/*
 * An upstream is registered no more. With grace_ms above 0 it is kept for so
 * long, unless it was leaving.
 */
void
catalog_miss_upstream(struct catalog *catalog, const char *id,
    uint64_t revision, int64_t now_ms, uint32_t grace_ms)
{
	struct upstream *upstream = g_hash_table_lookup(catalog->upstreams, id);

	if (upstream == NULL)
		return;
	if (grace_ms == 0 || upstream->entry.draining) {
		upstream_remove(catalog, upstream, revision);
		return;
	}
	catalog_tell(catalog, CATALOG_EVENT_UPSTREAM_DOUBTED, id,
	    upstream->entry.service, revision);
	upstream->gone_at_ms = now_ms + grace_ms;
}

/*
 * One socket belongs to one process: what started earlier at the address of an
 * upstream is gone, also while its registration has not run out yet.
 */
static void
remove_superseded(
    struct catalog *catalog, const struct upstream *upstream, uint64_t revision)
{
	GPtrArray *gone = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, catalog->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct upstream *other = value;

		if (has_address(other, &upstream->entry.address) &&
		    other->entry.started_ms < upstream->entry.started_ms)
			g_ptr_array_add(gone, value);
	}
	for (guint i = 0; i < gone->len; i++)
		upstream_remove(catalog, gone->pdata[i], revision);
	g_ptr_array_unref(gone);
}

static void
tell_upstream(
    struct catalog *catalog, struct upstream *upstream, uint64_t revision)
{
	enum catalog_event event = CATALOG_EVENT_UPSTREAM_IN;

	if (upstream->entry.draining)
		event = CATALOG_EVENT_UPSTREAM_DRAINING;
	else if (upstream->entry.cold_ms > 0)
		event = CATALOG_EVENT_UPSTREAM_COLD;
	catalog_tell(catalog, event, upstream->entry.id,
	    upstream->entry.service, revision);
}

/*
 * Put a registration in force; the entry is taken over.
 */
void
catalog_put_upstream(struct catalog *catalog, struct upstream_entry *entry,
    uint64_t revision, int64_t now_ms)
{
	struct upstream *upstream =
	    g_hash_table_lookup(catalog->upstreams, entry->id);
	struct in_addr old_host;

	if (upstream == NULL) {
		upstream = upstream_new(entry, catalog_peer(catalog, entry));
		upstream->cold_until_ms = now_ms + upstream->entry.cold_ms;
		g_hash_table_insert(
		    catalog->upstreams, g_strdup(upstream->entry.id), upstream);
		group_add(catalog, upstream);
		remove_superseded(catalog, upstream, revision);
		tell_upstream(catalog, upstream, revision);
		return;
	}
	if (!upstream_is_news(upstream, entry)) {
		catalog_tell(catalog, CATALOG_EVENT_STALE, entry->id,
		    entry->service, revision);
		return;
	}
	old_host = upstream->entry.address.sin_addr;
	group_remove(catalog, upstream);
	upstream_update(upstream, entry, now_ms);
	group_add(catalog, upstream);
	if (old_host.s_addr != upstream->entry.address.sin_addr.s_addr) {
		struct fleet_peer *old_peer = upstream->peer;

		upstream->peer =
		    fleet_peer_ref(catalog_peer(catalog, &upstream->entry));
		fleet_peer_unref(old_peer);
		peer_prune(catalog, old_host);
	}
	remove_superseded(catalog, upstream, revision);
	tell_upstream(catalog, upstream, revision);
}

/*
 * Drop the upstreams that went missing and did not come back in time.
 */
void
catalog_expire(struct catalog *catalog, int64_t now_ms)
{
	GPtrArray *gone = g_ptr_array_new();
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, catalog->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct upstream *upstream = value;

		if (upstream->gone_at_ms != 0 && upstream->gone_at_ms <= now_ms)
			g_ptr_array_add(gone, value);
	}
	for (guint i = 0; i < gone->len; i++)
		upstream_remove(catalog, gone->pdata[i], 0);
	g_ptr_array_unref(gone);
}

/*
 * Find the upstream at an address. While one replaces another there, both
 * may be listed: the one that started last is meant.
 */
struct upstream *
catalog_upstream_at(
    const struct catalog *catalog, const struct sockaddr_in *address)
{
	struct upstream *found = NULL;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, catalog->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct upstream *upstream = value;

		if (has_address(upstream, address) &&
		    (found == NULL ||
			upstream->entry.started_ms > found->entry.started_ms))
			found = upstream;
	}
	return found;
}
