#ifndef TREFOILHILL_FLEET_CATALOG_H
#define TREFOILHILL_FLEET_CATALOG_H

#include "fleet/mesh_config.h"
#include "fleet/upstream.h"

/*
 * What is in force: the configuration, the upstreams and the zones that
 * operators have taken out. Belongs to one thread; what requests hold of it
 * is counted.
 */
struct catalog;

enum catalog_change_kind {
	CATALOG_CONFIG,
	CATALOG_UPSTREAM,
	CATALOG_UPSTREAM_GONE,
	CATALOG_ZONE_OUT,
	CATALOG_ZONE_IN,
	CATALOG_OTHER,   /* of no concern to the mesh */
	CATALOG_INVALID, /* can't be used; reason says why */
};

/* One decoded change. Owned by its maker, see catalog_change_clear. */
struct catalog_change {
	enum catalog_change_kind kind;
	struct mesh_config *config;
	struct upstream_entry entry; /* CATALOG_UPSTREAM */
	char *subject;               /* id of the upstream, or zone */
	char *reason;                /* CATALOG_INVALID */
};

/* What a change did; a log line each. */
enum catalog_event {
	CATALOG_EVENT_CONFIG,
	CATALOG_EVENT_UPSTREAM_IN,
	CATALOG_EVENT_UPSTREAM_DRAINING,
	CATALOG_EVENT_UPSTREAM_COLD,
	CATALOG_EVENT_UPSTREAM_DOUBTED, /* missing, but kept for a while */
	CATALOG_EVENT_UPSTREAM_GONE,
	CATALOG_EVENT_STALE, /* an older report than what is known */
	CATALOG_EVENT_ZONE_OUT,
	CATALOG_EVENT_ZONE_IN,
	CATALOG_EVENT_INVALID,
};

struct catalog_ops {
	void (*handle_event)(void *arg, enum catalog_event event,
	    const char *subject, const char *detail, uint64_t revision);
	void *arg;
};

/* The upstreams of one service. */
struct upstream_group {
	char *service;
	GPtrArray *upstreams; /* struct upstream, listed ones */
};

struct catalog *catalog_new(struct catalog_ops ops);
void catalog_free(struct catalog *catalog);
void catalog_change_clear(struct catalog_change *change);
/*
 * Put a change in force; its contents may be taken over. With grace_ms above
 * 0 an upstream that goes missing is kept for so long first.
 */
void catalog_apply(struct catalog *catalog, struct catalog_change *change,
    uint64_t revision, int64_t now_ms, uint32_t grace_ms);
/* Drop upstreams whose grace is over. */
void catalog_expire(struct catalog *catalog, int64_t now_ms);

/* NULL before the first; borrowed. */
struct mesh_config *catalog_config(const struct catalog *catalog);
uint64_t catalog_config_revision(const struct catalog *catalog);
int64_t catalog_config_ms(const struct catalog *catalog);
/* NULL: no upstream of the service is listed. */
const struct upstream_group *catalog_group(
    const struct catalog *catalog, const char *service);
/* Listed upstream by id, or NULL. */
struct upstream *catalog_upstream(const struct catalog *catalog, struct str id);
/* The newest upstream that is listed at this address, or NULL. */
struct upstream *catalog_upstream_at(
    const struct catalog *catalog, const struct sockaddr_in *address);
bool catalog_zone_is_out(const struct catalog *catalog, const char *zone);
/* Host address (network order) to struct fleet_peer. */
GHashTable *catalog_peers(const struct catalog *catalog);
size_t catalog_upstream_count(const struct catalog *catalog);

#endif
