#ifndef TREFOILHILL_FLEET_MESH_CONFIG_H
#define TREFOILHILL_FLEET_MESH_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "fleet/key_table.h"
#include "fleet/workspace.h"

/* One destination service of a route and its relative traffic weight. */
struct route_destination {
	char *service;
	double weight;
};

/* Immutable once added to a configuration; atomically reference-counted. */
struct mesh_route {
	int refs;
	char *source; /* JSON text that it was decoded from */
	char *name;
	char *authority; /* lower case, without a port */
	char *prefix;    /* begins and ends with a slash */
	bool idempotent;
	bool bulk;             /* responses are large */
	uint32_t timeout_ms;   /* for the response */
	uint32_t objective_ms; /* a response within it is on time */
	uint32_t attempts_max; /* upstreams that may run one request */
	uint32_t priority;     /* 0 is the highest */
	bool is_public;        /* needs no key of a workspace */
	GArray *destinations;  /* struct route_destination, at least one */
};

struct mesh_service {
	char *name;
	char *health_path;
	uint32_t connections_max; /* of one upstream, from all callers */
	uint32_t cold_ms;         /* cold-start period of an upstream */
	double cold_per_s;        /* requests per second it takes while cold */
};

/* Size limits and timeouts for caller connections. */
struct caller_limits {
	uint32_t header_max_bytes;
	uint64_t body_max_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

/* A complete configuration; immutable, atomically reference-counted. */
struct mesh_config {
	int refs;
	char *label;      /* version name set by the operators */
	uint64_t version; /* number in it, which rises; 0: it has none */
	struct caller_limits limits;
	GHashTable *services;     /* name to struct mesh_service */
	GHashTable *routes;       /* name to struct mesh_route */
	GHashTable *by_authority; /* to GPtrArray, longest prefix first */
	/* Requests need keys; true also if all workspaces were removed. */
	bool has_workspaces;
	GHashTable *workspaces; /* name to struct workspace; may be empty */
	struct key_table *keys; /* of the workspaces */
};

struct mesh_config *mesh_config_new(void);
struct mesh_config *mesh_config_ref(struct mesh_config *config);
/* NULL is allowed. */
void mesh_config_unref(struct mesh_config *config);
struct mesh_route *mesh_route_new(void);
struct mesh_route *mesh_route_ref(struct mesh_route *route);
void mesh_route_unref(struct mesh_route *route);
void mesh_route_add_destination(
    struct mesh_route *route, struct str service, double weight);
struct mesh_service *mesh_service_new(void);
/* Take ownership; call mesh_config_index_routes after the last one. */
void mesh_config_add_route(
    struct mesh_config *config, struct mesh_route *route);
void mesh_config_add_service(
    struct mesh_config *config, struct mesh_service *service);
void mesh_config_add_workspace(
    struct mesh_config *config, struct workspace *workspace);
/* Add a key of one of the workspaces; false if it is held already. */
bool mesh_config_add_key(struct mesh_config *config, struct str key,
    const struct workspace *workspace);
/* Index the routes; false if one has no destination or an unknown service. */
bool mesh_config_index_routes(struct mesh_config *config);
/* First destination of a route that is no service, borrowed, or NULL. */
const char *mesh_config_unknown_service(
    const struct mesh_config *config, const struct mesh_route *route);

/* Route by name, borrowed, or NULL. */
struct mesh_route *mesh_config_route(
    const struct mesh_config *config, const char *name);
const struct mesh_service *mesh_config_service(
    const struct mesh_config *config, const char *name);
/* Whether requests need keys of workspaces. NULL is allowed. */
bool mesh_config_has_workspaces(const struct mesh_config *config);
/* Workspace by name, borrowed, or NULL. */
const struct workspace *mesh_config_workspace(
    const struct mesh_config *config, const char *name);
/* Workspace that holds a key, borrowed, or NULL. */
const struct workspace *mesh_config_find_key(
    const struct mesh_config *config, struct str key);
/* Route of the authority with the longest matching path prefix, or NULL. */
const struct mesh_route *mesh_config_match(
    const struct mesh_config *config, struct str authority, struct str target);

#endif
