#ifndef TREFOILHILL_FLEET_MESH_CONFIG_H
#define TREFOILHILL_FLEET_MESH_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* One service that a route leads to, and its part of the requests. */
struct route_part {
	char *service;
	uint32_t weight;
};

/* Immutable once it is in a configuration; counted. */
struct mesh_route {
	int refs;
	char *source; /* the text that it was decoded from */
	char *name;
	char *authority; /* lower case, without a port */
	char *prefix;    /* begins and ends with a slash */
	bool idempotent;
	bool bulk;             /* answers are large */
	uint32_t timeout_ms;   /* longest time an answer may take */
	uint32_t objective_ms; /* an answer within it is on time */
	uint32_t attempts_max; /* upstreams that may run one request */
	uint32_t priority;     /* 0 goes first */
	GArray *parts;         /* struct route_part, one at least */
};

struct mesh_service {
	char *name;
	char *health_path;
	uint32_t connections_max; /* of one upstream, from all callers */
	uint32_t cold_ms;  /* how long an upstream is cold after a start */
	double cold_per_s; /* requests a second that it bears meanwhile */
};

/* What callers may send, and how long they may take. */
struct caller_limits {
	uint32_t header_max_bytes;
	uint64_t body_max_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

/* One whole configuration; immutable and counted. */
struct mesh_config {
	int refs;
	char *label; /* the operators' name for this version */
	struct caller_limits limits;
	GHashTable *services;     /* name to struct mesh_service */
	GHashTable *routes;       /* name to struct mesh_route */
	GHashTable *by_authority; /* to GPtrArray, longest prefix first */
};

struct mesh_config *mesh_config_new(void);
struct mesh_config *mesh_config_ref(struct mesh_config *config);
/* NULL is allowed. */
void mesh_config_unref(struct mesh_config *config);
struct mesh_route *mesh_route_new(void);
struct mesh_route *mesh_route_ref(struct mesh_route *route);
void mesh_route_unref(struct mesh_route *route);
void mesh_route_add_part(
    struct mesh_route *route, struct str service, uint32_t weight);
struct mesh_service *mesh_service_new(void);
/* These take their argument over; mesh_config_seal follows the last. */
void mesh_config_add_route(
    struct mesh_config *config, struct mesh_route *route);
void mesh_config_add_service(
    struct mesh_config *config, struct mesh_service *service);
/* Make routes findable; false when one names a service that is not there. */
bool mesh_config_seal(struct mesh_config *config);

/* Route by its name, or NULL. */
struct mesh_route *mesh_config_route(
    const struct mesh_config *config, const char *name);
const struct mesh_service *mesh_config_service(
    const struct mesh_config *config, const char *name);
/* The longest prefix of the path among the authority's routes, or NULL. */
const struct mesh_route *mesh_config_match(
    const struct mesh_config *config, struct str authority, struct str target);

#endif
