#include <string.h>

#include "fleet/mesh_config.h"

enum {
	AUTHORITY_MAX = 256, /* longer names match no route */
};

static void
destination_clear(void *destination)
{
	g_free(((struct route_destination *)destination)->service);
}

/*
 * Return a route without destinations, with one reference.
 */
struct mesh_route *
mesh_route_new(void)
{
	struct mesh_route *route = g_new0(struct mesh_route, 1);

	route->refs = 1;
	route->destinations =
	    g_array_new(FALSE, TRUE, sizeof(struct route_destination));
	g_array_set_clear_func(route->destinations, destination_clear);
	return route;
}

/*
 * Take a reference.
 */
struct mesh_route *
mesh_route_ref(struct mesh_route *route)
{
	g_atomic_int_inc(&route->refs);
	return route;
}

/*
 * Drop a reference; the last one frees the route.
 */
void
mesh_route_unref(struct mesh_route *route)
{
	if (!g_atomic_int_dec_and_test(&route->refs))
		return;
	g_free(route->source);
	g_free(route->name);
	g_free(route->authority);
	g_free(route->prefix);
	g_array_free(route->destinations, TRUE);
	g_free(route);
}

/*
 * Add a destination service; the name is copied.
 */
void
mesh_route_add_destination(
    struct mesh_route *route, struct str service, double weight)
{
	struct route_destination destination = {
		.service = str_dup_cstr(service),
		.weight = weight,
	};

	g_array_append_val(route->destinations, destination);
}

/*
 * Return a zeroed service; mesh_config_add_service takes it over.
 */
struct mesh_service *
mesh_service_new(void)
{
	return g_new0(struct mesh_service, 1);
}

static void
service_free(void *data)
{
	struct mesh_service *service = data;

	g_free(service->name);
	g_free(service->health_path);
	g_free(service);
}

static void
free_workspace(void *workspace)
{
	workspace_free(workspace);
}

static void
route_unref(void *route)
{
	mesh_route_unref(route);
}

static void
routes_unref(void *routes)
{
	g_ptr_array_unref(routes);
}

/*
 * Return an empty configuration with one reference.
 */
struct mesh_config *
mesh_config_new(void)
{
	struct mesh_config *config = g_new0(struct mesh_config, 1);

	config->refs = 1;
	config->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	config->routes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, route_unref);
	config->by_authority =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, routes_unref);
	config->keys = key_table_new();
	config->workspaces = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, free_workspace);
	return config;
}

/*
 * Take a reference.
 */
struct mesh_config *
mesh_config_ref(struct mesh_config *config)
{
	g_atomic_int_inc(&config->refs);
	return config;
}

/*
 * Drop a reference; the last one frees the configuration. NULL is allowed.
 */
void
mesh_config_unref(struct mesh_config *config)
{
	if (config == NULL || !g_atomic_int_dec_and_test(&config->refs))
		return;
	g_free(config->label);
	g_hash_table_destroy(config->by_authority);
	g_hash_table_destroy(config->services);
	g_hash_table_destroy(config->routes);
	key_table_free(config->keys);
	g_hash_table_destroy(config->workspaces);
	g_free(config);
}

/*
 * Add a route, replacing one of the same name; the configuration takes over
 * the reference.
 */
void
mesh_config_add_route(struct mesh_config *config, struct mesh_route *route)
{
	g_hash_table_replace(config->routes, route->name, route);
}

/*
 * Add a service, replacing one of the same name; the configuration takes
 * ownership.
 */
void
mesh_config_add_service(
    struct mesh_config *config, struct mesh_service *service)
{
	g_hash_table_replace(config->services, service->name, service);
}

/*
 * Add a workspace, replacing one of the same name; the configuration takes
 * ownership.
 */
void
mesh_config_add_workspace(
    struct mesh_config *config, struct workspace *workspace)
{
	g_hash_table_replace(config->workspaces, workspace->name, workspace);
}

/*
 * Add a key of a workspace that the configuration has. False if one of the
 * workspaces holds it already; such a configuration must not be applied.
 */
bool
mesh_config_add_key(struct mesh_config *config, struct str key,
    const struct workspace *workspace)
{
	return key_table_add(config->keys, key, workspace);
}

static int
compare_prefix_len(const void *a, const void *b)
{
	const struct mesh_route *const *left = a, *const *right = b;
	size_t left_len = strlen((*left)->prefix);
	size_t right_len = strlen((*right)->prefix);

	return (left_len < right_len) - (left_len > right_len);
}

/*
 * Return the first destination of a route that is not among the services,
 * borrowed, or NULL.
 */
const char *
mesh_config_unknown_service(
    const struct mesh_config *config, const struct mesh_route *route)
{
	for (guint i = 0; i < route->destinations->len; i++) {
		const struct route_destination *destination = &g_array_index(
		    route->destinations, struct route_destination, i);

		if (mesh_config_service(config, destination->service) == NULL)
			return destination->service;
	}
	return NULL;
}

/*
 * Index the routes by authority, longest prefix first. False if a route has no
 * destination or one that is not among the configuration's services; such a
 * configuration must not be applied.
 */
bool
mesh_config_index_routes(struct mesh_config *config)
{
	GHashTableIter iter;
	void *routes, *value;

	g_hash_table_iter_init(&iter, config->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct mesh_route *route = value;

		if (route->destinations->len == 0 ||
		    mesh_config_unknown_service(config, route) != NULL)
			return false;
		routes =
		    g_hash_table_lookup(config->by_authority, route->authority);
		if (routes == NULL) {
			routes = g_ptr_array_new();
			g_hash_table_insert(
			    config->by_authority, route->authority, routes);
		}
		g_ptr_array_add(routes, route);
	}
	g_hash_table_iter_init(&iter, config->by_authority);
	while (g_hash_table_iter_next(&iter, NULL, &routes))
		g_ptr_array_sort(routes, compare_prefix_len);
	return true;
}

/*
 * Return the route with this name, borrowed, or NULL.
 */
struct mesh_route *
mesh_config_route(const struct mesh_config *config, const char *name)
{
	return g_hash_table_lookup(config->routes, name);
}

/*
 * Return the service with this name, borrowed, or NULL.
 */
const struct mesh_service *
mesh_config_service(const struct mesh_config *config, const char *name)
{
	return g_hash_table_lookup(config->services, name);
}

/* Copy an authority in lower case without its port; false if too long. */
static bool
authority_normalize(struct str authority, char *out, size_t out_max)
{
	size_t len = 0;

	for (; len < authority.len && authority.ptr[len] != ':'; len++) {
		if (len + 1 >= out_max)
			return false;
		out[len] = g_ascii_tolower(authority.ptr[len]);
	}
	out[len] = '\0';
	return true;
}

/*
 * Return the route whose prefix is the longest match of the target's path, or
 * NULL. The target may be in absolute form only if the authority was taken
 * from it.
 */
const struct mesh_route *
mesh_config_match(
    const struct mesh_config *config, struct str authority, struct str target)
{
	const char *query = memchr(target.ptr, '?', target.len);
	struct str path = str_make(target.ptr,
	    query == NULL ? target.len : (size_t)(query - target.ptr));
	const GPtrArray *routes;
	char name[AUTHORITY_MAX];

	if (!authority_normalize(authority, name, sizeof(name)))
		return NULL;
	routes = g_hash_table_lookup(config->by_authority, name);
	if (routes == NULL)
		return NULL;
	for (guint i = 0; i < routes->len; i++) {
		const struct mesh_route *route = routes->pdata[i];

		if (str_has_prefix(path, str_from(route->prefix)))
			return route;
	}
	return NULL;
}

/*
 * Tell whether the configuration names workspaces, so that requests need keys.
 * That holds also if it names none any more, as long as it has their table.
 */
bool
mesh_config_has_workspaces(const struct mesh_config *config)
{
	return config != NULL && config->has_workspaces;
}

/*
 * Return the workspace with this name, borrowed, or NULL.
 */
const struct workspace *
mesh_config_workspace(const struct mesh_config *config, const char *name)
{
	return g_hash_table_lookup(config->workspaces, name);
}

/*
 * Return the workspace that holds a key, borrowed, or NULL.
 */
const struct workspace *
mesh_config_find_key(const struct mesh_config *config, struct str key)
{
	return key_table_find(config->keys, key);
}
