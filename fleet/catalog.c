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
zone_unref(void *zone)
{
	fleet_zone_unref(zone);
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
	catalog->last_lookup = g_new0(struct upstream_lookup, 1);
	catalog->groups =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, group_free);
	catalog->peers = catalog_peer_table_new();
	catalog->peer_zones = g_hash_table_new(g_str_hash, g_str_equal);
	catalog->zones =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, zone_unref);
	catalog->zone_outages = zone_outages_new();
	catalog->departed = departed_new();
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
	g_hash_table_destroy(catalog->peer_zones);
	g_hash_table_destroy(catalog->zones);
	zone_outages_free(catalog->zone_outages);
	departed_free(catalog->departed);
	mesh_config_unref(catalog->config);
	g_free(catalog->last_lookup);
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

/*
 * May this configuration replace the one in force? Versions never go back in
 * one process, also when the store does.
 */
static bool
is_config_current(const struct catalog *catalog,
    const struct mesh_config *config, const struct catalog_origin *origin)
{
	const struct mesh_config *known = catalog->config;

	if (known == NULL)
		return true;
	if (store_position_compare(
		origin->position, catalog->config_position) <= 0)
		return false;
	if (known->version == 0 || config->version == 0)
		return !origin->from_backup;
	return config->version >= known->version;
}

static void
apply_config(struct catalog *catalog, struct catalog_change *change,
    const struct catalog_origin *origin)
{
	uint64_t revision = origin->position.revision;
	bool is_first = catalog->config == NULL;

	if (!is_config_current(catalog, change->config, origin)) {
		catalog_emit_event(catalog, CATALOG_EVENT_CONFIG_STALE,
		    change->config->label, catalog->config->label, revision);
		return;
	}
	mesh_config_unref(catalog->config);
	catalog->config = change->config;
	change->config = NULL;
	catalog->config_position = origin->position;
	catalog->config_ms = origin->now_ms;
	catalog_configure_upstreams(catalog, revision);
	catalog_update_peers(catalog, is_first);
	catalog_emit_event(catalog, CATALOG_EVENT_CONFIG,
	    catalog->config->label, "", revision);
}

static void
apply_zone(struct catalog *catalog, const char *zone, bool out,
    const struct catalog_origin *origin)
{
	static const enum catalog_event events[] = {
		[ZONE_TAKEN_OUT] = CATALOG_EVENT_ZONE_OUT,
		[ZONE_TAKEN_IN] = CATALOG_EVENT_ZONE_IN,
		[ZONE_HELD] = CATALOG_EVENT_ZONE_HELD,
	};
	enum zone_change change = zone_outages_set(catalog->zone_outages, zone,
	    out, origin->from_backup, origin->now_ms);

	if (change != ZONE_UNCHANGED)
		catalog_emit_event(catalog, events[change], zone, "",
		    origin->position.revision);
}

/*
 * Put one change in force. An entry that can't be used names no upstream any
 * more; the others hold.
 */
void
catalog_apply(struct catalog *catalog, struct catalog_change *change,
    const struct catalog_origin *origin)
{
	switch (change->kind) {
	case CATALOG_CONFIG:
		apply_config(catalog, change, origin);
		break;
	case CATALOG_UPSTREAM:
		catalog_put_upstream(catalog, &change->entry, origin);
		break;
	case CATALOG_UPSTREAM_GONE:
		catalog_unregister_upstream(catalog, change->subject, origin);
		break;
	case CATALOG_ZONE_OUT:
		apply_zone(catalog, change->subject, true, origin);
		break;
	case CATALOG_ZONE_IN:
		apply_zone(catalog, change->subject, false, origin);
		break;
	case CATALOG_OTHER:
		break;
	case CATALOG_INVALID:
		catalog_emit_event(catalog, CATALOG_EVENT_INVALID,
		    change->subject, change->reason, origin->position.revision);
		break;
	}
}

/*
 * Put held changes of zones in force, and remove the upstreams that did not
 * register again within their grace period.
 */
void
catalog_expire(struct catalog *catalog, int64_t now_ms)
{
	const char *zone;
	bool out;

	while ((zone = zone_outages_expire(
		    catalog->zone_outages, now_ms, &out)) != NULL)
		catalog_emit_event(catalog,
		    out ? CATALOG_EVENT_ZONE_OUT : CATALOG_EVENT_ZONE_IN, zone,
		    "after a restore", 0);
	catalog_expire_upstreams(catalog, now_ms);
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
 * Return the position of the current configuration in the platform's store.
 */
struct store_position
catalog_config_position(const struct catalog *catalog)
{
	return catalog->config_position;
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
	return zone_outages_is_out(catalog->zone_outages, zone);
}

/*
 * Return the number of listed upstreams.
 */
size_t
catalog_upstream_count(const struct catalog *catalog)
{
	return g_hash_table_size(catalog->upstreams);
}
