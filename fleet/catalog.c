#include <string.h>

#include "fleet/catalog.h"

struct catalog {
	struct catalog_ops ops;
	struct mesh_config *config;
	uint64_t config_revision;
	int64_t config_ms;
	GHashTable *upstreams; /* id to struct upstream */
	GHashTable *groups;    /* service to struct upstream_group */
	GHashTable *peers;     /* host address to struct fleet_peer */
	GHashTable *zones_out; /* set of names */
};

static void
upstream_release(void *upstream)
{
	upstream_unref(upstream);
}

static void
peer_release(void *peer)
{
	fleet_peer_unref(peer);
}

static void
group_free(void *data)
{
	struct upstream_group *group = data;

	g_free(group->service);
	g_ptr_array_unref(group->upstreams);
	g_free(group);
}

/*
 * Return an empty catalog.
 */
struct catalog *
catalog_new(struct catalog_ops ops)
{
	struct catalog *catalog = g_new0(struct catalog, 1);

	catalog->ops = ops;
	catalog->upstreams = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, upstream_release);
	catalog->groups =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, group_free);
	catalog->peers = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, NULL, peer_release);
	catalog->zones_out =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return catalog;
}

/*
 * Free a catalog. NULL is allowed.
 */
void
catalog_free(struct catalog *catalog)
{
	if (catalog == NULL)
		return;
	g_hash_table_destroy(catalog->groups);
	g_hash_table_destroy(catalog->upstreams);
	g_hash_table_destroy(catalog->peers);
	g_hash_table_destroy(catalog->zones_out);
	mesh_config_unref(catalog->config);
	g_free(catalog);
}

/*
 * Free what a change still holds.
 */
void
catalog_change_clear(struct catalog_change *change)
{
	mesh_config_unref(change->config);
	change->config = NULL;
	upstream_entry_clear(&change->entry);
	g_clear_pointer(&change->subject, g_free);
	g_clear_pointer(&change->reason, g_free);
}

static void
catalog_tell(struct catalog *catalog, enum catalog_event event,
    const char *subject, const char *detail, uint64_t revision)
{
	catalog->ops.handle_event(
	    catalog->ops.arg, event, subject, detail, revision);
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
		    g_ptr_array_new_with_free_func(upstream_release);
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

static void
apply_gone(struct catalog *catalog, const char *id, uint64_t revision,
    int64_t now_ms, uint32_t grace_ms)
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

static void
apply_upstream(struct catalog *catalog, struct upstream_entry *entry,
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
	tell_upstream(catalog, upstream, revision);
}

static void
apply_config(struct catalog *catalog, struct catalog_change *change,
    uint64_t revision, int64_t now_ms)
{
	if (revision <= catalog->config_revision)
		return;
	mesh_config_unref(catalog->config);
	catalog->config = change->config;
	change->config = NULL;
	catalog->config_revision = revision;
	catalog->config_ms = now_ms;
	catalog_tell(catalog, CATALOG_EVENT_CONFIG, catalog->config->label, "",
	    revision);
}

/*
 * Put one change in force. An entry that can't be used names no upstream any
 * more; the others hold.
 */
void
catalog_apply(struct catalog *catalog, struct catalog_change *change,
    uint64_t revision, int64_t now_ms, uint32_t grace_ms)
{
	switch (change->kind) {
	case CATALOG_CONFIG:
		apply_config(catalog, change, revision, now_ms);
		break;
	case CATALOG_UPSTREAM:
		apply_upstream(catalog, &change->entry, revision, now_ms);
		break;
	case CATALOG_UPSTREAM_GONE:
		apply_gone(
		    catalog, change->subject, revision, now_ms, grace_ms);
		break;
	case CATALOG_ZONE_OUT:
		g_hash_table_add(catalog->zones_out, g_strdup(change->subject));
		catalog_tell(catalog, CATALOG_EVENT_ZONE_OUT, change->subject,
		    "", revision);
		break;
	case CATALOG_ZONE_IN:
		if (g_hash_table_remove(catalog->zones_out, change->subject))
			catalog_tell(catalog, CATALOG_EVENT_ZONE_IN,
			    change->subject, "", revision);
		break;
	case CATALOG_OTHER:
		break;
	case CATALOG_INVALID:
		catalog_tell(catalog, CATALOG_EVENT_INVALID, change->subject,
		    change->reason, revision);
		break;
	}
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
 * Return the configuration in force; NULL before the first.
 */
struct mesh_config *
catalog_config(const struct catalog *catalog)
{
	return catalog->config;
}

/*
 * Return the platform's revision of the configuration in force.
 */
uint64_t
catalog_config_revision(const struct catalog *catalog)
{
	return catalog->config_revision;
}

/*
 * Return when the configuration was put in force.
 */
int64_t
catalog_config_ms(const struct catalog *catalog)
{
	return catalog->config_ms;
}

/*
 * Return the upstreams of a service; NULL when none was ever listed.
 */
const struct upstream_group *
catalog_group(const struct catalog *catalog, const char *service)
{
	return g_hash_table_lookup(catalog->groups, service);
}

/*
 * Find a listed upstream by its id.
 */
struct upstream *
catalog_upstream(const struct catalog *catalog, struct str id)
{
	char *name = str_dup_cstr(id);
	struct upstream *upstream =
	    g_hash_table_lookup(catalog->upstreams, name);

	g_free(name);
	return upstream;
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

		if (upstream->entry.address.sin_addr.s_addr !=
			address->sin_addr.s_addr ||
		    upstream->entry.address.sin_port != address->sin_port)
			continue;
		if (found == NULL ||
		    upstream->entry.started_ms > found->entry.started_ms)
			found = upstream;
	}
	return found;
}

/*
 * Tell whether operators have taken a zone out.
 */
bool
catalog_zone_is_out(const struct catalog *catalog, const char *zone)
{
	return g_hash_table_contains(catalog->zones_out, zone);
}

/*
 * Return the peers by their hosts' addresses.
 */
GHashTable *
catalog_peers(const struct catalog *catalog)
{
	return catalog->peers;
}

/*
 * Return how many upstreams are listed.
 */
size_t
catalog_upstream_count(const struct catalog *catalog)
{
	return g_hash_table_size(catalog->upstreams);
}
