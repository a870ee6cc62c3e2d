#include "fleet/catalog_private.h"

/*
 * GDestroyNotify that drops a container's reference to an upstream.
 */
void
catalog_release_upstream(void *upstream)
{
	upstream_unref(upstream);
}

static void
peer_unref(void *peer)
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
	    g_str_hash, g_str_equal, g_free, catalog_release_upstream);
	catalog->groups =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, group_free);
	catalog->peers = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, NULL, peer_unref);
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
 * Free the contents of a change that the catalog has not taken over.
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

/*
 * Report the effect of a change to the catalog's owner.
 */
void
catalog_emit_event(struct catalog *catalog, enum catalog_event event,
    const char *subject, const char *detail, uint64_t revision)
{
	catalog->ops.handle_event(
	    catalog->ops.arg, event, subject, detail, revision);
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
	catalog_emit_event(catalog, CATALOG_EVENT_CONFIG,
	    catalog->config->label, "", revision);
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
		catalog_put_upstream(catalog, &change->entry, revision, now_ms);
		break;
	case CATALOG_UPSTREAM_GONE:
		catalog_unregister_upstream(
		    catalog, change->subject, revision, now_ms, grace_ms);
		break;
	case CATALOG_ZONE_OUT:
		g_hash_table_add(catalog->zones_out, g_strdup(change->subject));
		catalog_emit_event(catalog, CATALOG_EVENT_ZONE_OUT,
		    change->subject, "", revision);
		break;
	case CATALOG_ZONE_IN:
		if (g_hash_table_remove(catalog->zones_out, change->subject))
			catalog_emit_event(catalog, CATALOG_EVENT_ZONE_IN,
			    change->subject, "", revision);
		break;
	case CATALOG_OTHER:
		break;
	case CATALOG_INVALID:
		catalog_emit_event(catalog, CATALOG_EVENT_INVALID,
		    change->subject, change->reason, revision);
		break;
	}
}

/*
 * Return the current configuration, borrowed; NULL before the first.
 */
struct mesh_config *
catalog_config(const struct catalog *catalog)
{
	return catalog->config;
}

/*
 * Return the platform's revision of the current configuration.
 */
uint64_t
catalog_config_revision(const struct catalog *catalog)
{
	return catalog->config_revision;
}

/*
 * Return when the current configuration was applied, in milliseconds on the
 * clock of catalog_apply's now_ms.
 */
int64_t
catalog_config_ms(const struct catalog *catalog)
{
	return catalog->config_ms;
}

/*
 * Return the listed upstreams of a service, borrowed; NULL if none ever was.
 */
const struct upstream_group *
catalog_group(const struct catalog *catalog, const char *service)
{
	return g_hash_table_lookup(catalog->groups, service);
}

/*
 * Return the listed upstream with this id, borrowed, or NULL.
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
 * Tell whether operators have taken a zone out of service.
 */
bool
catalog_zone_is_out(const struct catalog *catalog, const char *zone)
{
	return g_hash_table_contains(catalog->zones_out, zone);
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
 * Return the number of listed upstreams.
 */
size_t
catalog_upstream_count(const struct catalog *catalog)
{
	return g_hash_table_size(catalog->upstreams);
}
