#include "fleet/catalog_private.h"

/* Indexes of the listed upstreams by id, service and host. */

static bool
has_address(const struct upstream *upstream, const struct sockaddr_in *address)
{
	const struct sockaddr_in *own = &upstream->entry.address;

	return own->sin_addr.s_addr == address->sin_addr.s_addr &&
	    own->sin_port == address->sin_port;
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

static void
upstream_remove(
    struct catalog *catalog, struct upstream *upstream, uint64_t revision)
{
	struct in_addr host = upstream->entry.address.sin_addr;

	catalog_emit_event(catalog, CATALOG_EVENT_UPSTREAM_GONE,
	    upstream->entry.id, upstream->entry.service, revision);
	departed_add(catalog->departed, upstream);
	upstream->listed = false;
	group_remove(catalog, upstream);
	g_hash_table_remove(catalog->upstreams, upstream->entry.id);
	catalog->upstreams_version++;
	catalog_unlist_peer(catalog, host);
}

/* Let catalog_expire_upstreams look for removals at a time. */
static void
schedule_removal(struct catalog *catalog, int64_t at_ms)
{
	if (catalog->next_removal_ms == 0 || at_ms < catalog->next_removal_ms)
		catalog->next_removal_ms = at_ms;
}

/*
 * Handle the end of a registration. With a grace period the upstream is kept
 * for that time, unless it was draining.
 */
void
catalog_unregister_upstream(struct catalog *catalog, const char *id,
    const struct catalog_origin *origin)
{
	struct upstream *upstream = g_hash_table_lookup(catalog->upstreams, id);
	uint64_t revision = origin->position.revision;

	if (upstream == NULL)
		return;
	if (origin->grace_ms == 0 || upstream_is_leaving(upstream)) {
		upstream_remove(catalog, upstream, revision);
		return;
	}
	catalog_emit_event(catalog, CATALOG_EVENT_UPSTREAM_MISSING, id,
	    upstream->entry.service, revision);
	upstream->remove_at_ms = origin->now_ms + origin->grace_ms;
	schedule_removal(catalog, upstream->remove_at_ms);
}

/*
 * Is the service of an upstream configured? An entry of any other service may
 * come from another writer, and names no upstream to use.
 */
static bool
is_configured(const struct catalog *catalog, const struct upstream *upstream)
{
	return catalog->config != NULL &&
	    mesh_config_service(catalog->config, upstream->entry.service) !=
	    NULL;
}

/*
 * Let an upstream take its address, if its service is configured: remove those
 * that started earlier there. Only one process can hold the socket, so they
 * have ended even if their registrations have not expired yet.
 */
static void
take_address(
    struct catalog *catalog, struct upstream *upstream, uint64_t revision)
{
	GPtrArray *removed;
	GHashTableIter iter;
	void *value;

	upstream->configured = is_configured(catalog, upstream);
	if (!upstream->configured)
		return;
	removed = g_ptr_array_new();
	g_hash_table_iter_init(&iter, catalog->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct upstream *other = value;

		if (has_address(other, &upstream->entry.address) &&
		    other->entry.started_ms < upstream->entry.started_ms)
			g_ptr_array_add(removed, value);
	}
	for (guint i = 0; i < removed->len; i++)
		upstream_remove(catalog, removed->pdata[i], revision);
	g_ptr_array_unref(removed);
}

static void
upstream_emit_event(
    struct catalog *catalog, struct upstream *upstream, uint64_t revision)
{
	enum catalog_event event = CATALOG_EVENT_UPSTREAM_READY;

	if (upstream->entry.draining)
		event = CATALOG_EVENT_UPSTREAM_DRAINING;
	else if (upstream->entry.cold_ms > 0)
		event = CATALOG_EVENT_UPSTREAM_COLD;
	catalog_emit_event(catalog, event, upstream->entry.id,
	    upstream->entry.service, revision);
}

/* Add the upstream of a new registration. */
static void
add_upstream(struct catalog *catalog, struct upstream_entry *entry,
    const struct catalog_origin *origin)
{
	struct fleet_peer *peer = catalog_peer_for(catalog, entry);
	struct upstream *upstream = upstream_new(entry, peer);

	fleet_peer_unref(peer);
	upstream->cold_until_ms = origin->now_ms + upstream->entry.cold_ms;
	departed_restore(catalog->departed, upstream);
	g_hash_table_insert(
	    catalog->upstreams, g_strdup(upstream->entry.id), upstream);
	catalog->upstreams_version++;
	group_add(catalog, upstream);
	take_address(catalog, upstream, origin->position.revision);
	catalog_update_peer(catalog, upstream);
	upstream_emit_event(catalog, upstream, origin->position.revision);
}

/* Update an upstream, which may have started again on another host. */
static void
update_upstream(struct catalog *catalog, struct upstream *upstream,
    struct upstream_entry *entry, const struct catalog_origin *origin)
{
	struct in_addr former = upstream->entry.address.sin_addr;
	bool leaving =
	    departed_covers(catalog->departed, entry, origin->from_backup);

	group_remove(catalog, upstream);
	upstream_update(upstream, entry, origin->now_ms);
	catalog->upstreams_version++;
	upstream->notice.leaving |= leaving;
	group_add(catalog, upstream);
	if (former.s_addr != upstream->entry.address.sin_addr.s_addr) {
		struct fleet_peer *peer = upstream->peer;

		upstream->peer = catalog_peer_for(catalog, &upstream->entry);
		fleet_peer_unref(peer);
	}
	take_address(catalog, upstream, origin->position.revision);
	catalog_update_peer(catalog, upstream);
	if (former.s_addr != upstream->entry.address.sin_addr.s_addr)
		catalog_unlist_peer(catalog, former);
	upstream_emit_event(catalog, upstream, origin->position.revision);
}

/*
 * Add or update an upstream from its registration. A stale registration is
 * reported and ignored; otherwise the entry's strings are taken over.
 */
void
catalog_put_upstream(struct catalog *catalog, struct upstream_entry *entry,
    const struct catalog_origin *origin)
{
	struct upstream *upstream =
	    g_hash_table_lookup(catalog->upstreams, entry->id);
	bool stale = upstream == NULL
	    ? departed_covers(catalog->departed, entry, origin->from_backup)
	    : !upstream_entry_is_current(upstream, entry, origin->from_backup);

	if (stale)
		catalog_emit_event(catalog, CATALOG_EVENT_REGISTRATION_STALE,
		    entry->id, entry->service, origin->position.revision);
	else if (upstream == NULL)
		add_upstream(catalog, entry, origin);
	else
		update_upstream(catalog, upstream, entry, origin);
}

/*
 * Return the listed upstream of the same id and start as one that a request
 * holds, which may have been removed and listed again meanwhile; or that one.
 */
struct upstream *
catalog_current(const struct catalog *catalog, struct upstream *upstream)
{
	struct upstream *listed;

	if (upstream->listed)
		return upstream;
	listed = catalog_upstream(catalog, str_from(upstream->entry.id));
	if (listed == NULL ||
	    listed->entry.started_ms != upstream->entry.started_ms)
		return upstream;
	return listed;
}

/*
 * Record that an upstream has announced that it leaves. The announcement may
 * arrive before the registration of that start, and holds until a later one.
 */
void
catalog_mark_leaving(
    struct catalog *catalog, struct str id, uint64_t started_ms)
{
	struct upstream *upstream = catalog_upstream(catalog, id);
	char *name;

	if (upstream != NULL && upstream->entry.started_ms == started_ms) {
		if (upstream->notice.leaving)
			return;
		upstream->notice.leaving = true;
		catalog_emit_event(catalog, CATALOG_EVENT_UPSTREAM_LEAVING,
		    upstream->entry.id, upstream->entry.service, 0);
		return;
	}
	name = str_dup_cstr(id);
	departed_add_leaving(catalog->departed, name, started_ms);
	g_free(name);
}

/*
 * Remove the upstreams that did not register again within their grace period.
 */
void
catalog_expire_upstreams(struct catalog *catalog, int64_t now_ms)
{
	GPtrArray *removed;
	GHashTableIter iter;
	void *value;

	if (catalog->next_removal_ms == 0 || catalog->next_removal_ms > now_ms)
		return;
	catalog->next_removal_ms = 0;
	removed = g_ptr_array_new();
	g_hash_table_iter_init(&iter, catalog->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct upstream *upstream = value;

		if (upstream->remove_at_ms == 0)
			continue;
		if (upstream->remove_at_ms <= now_ms)
			g_ptr_array_add(removed, value);
		else
			schedule_removal(catalog, upstream->remove_at_ms);
	}
	for (guint i = 0; i < removed->len; i++)
		upstream_remove(catalog, removed->pdata[i], 0);
	g_ptr_array_unref(removed);
}

/*
 * Remove the upstreams that are in their grace period: they won't register
 * again.
 */
void
catalog_end_grace(struct catalog *catalog, int64_t now_ms)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, catalog->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct upstream *upstream = value;

		if (upstream->remove_at_ms != 0)
			upstream->remove_at_ms = now_ms;
	}
	schedule_removal(catalog, now_ms);
	catalog_expire_upstreams(catalog, now_ms);
}

/*
 * Let the upstreams take their addresses whose service is configured only now.
 */
void
catalog_configure_upstreams(struct catalog *catalog, uint64_t revision)
{
	GPtrArray *configured =
	    g_ptr_array_new_with_free_func(catalog_release_upstream);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, catalog->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct upstream *upstream = value;

		if (!upstream->configured && is_configured(catalog, upstream))
			g_ptr_array_add(configured, upstream_ref(upstream));
	}
	for (guint i = 0; i < configured->len; i++) {
		struct upstream *upstream = configured->pdata[i];

		if (upstream->listed)
			take_address(catalog, upstream, revision);
	}
	if (configured->len > 0)
		catalog->upstreams_version++;
	g_ptr_array_unref(configured);
}

/* Of two upstreams listed at one address, is the first the one there? */
static bool
is_later(const struct upstream *upstream, const struct upstream *other)
{
	if (upstream->configured != other->configured)
		return upstream->configured;
	return upstream->entry.started_ms > other->entry.started_ms;
}

static struct upstream *
find_upstream_at(
    const struct catalog *catalog, const struct sockaddr_in *address)
{
	struct upstream *found = NULL;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, catalog->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct upstream *upstream = value;

		if (has_address(upstream, address) &&
		    (found == NULL || is_later(upstream, found)))
			found = upstream;
	}
	return found;
}

/*
 * Return the upstream listed at an address, borrowed, or NULL. Two may be
 * listed there while one replaces the other; of those whose service is
 * configured, the one that started last is returned. The last result is kept,
 * since the gate asks for the same address on each tick.
 */
struct upstream *
catalog_upstream_at(
    const struct catalog *catalog, const struct sockaddr_in *address)
{
	struct upstream_lookup *last = catalog->last_lookup;

	if (last->version != catalog->upstreams_version ||
	    last->address.sin_addr.s_addr != address->sin_addr.s_addr ||
	    last->address.sin_port != address->sin_port) {
		last->found = find_upstream_at(catalog, address);
		last->address = *address;
		last->version = catalog->upstreams_version;
	}
	return last->found;
}
