#ifndef TREFOILHILL_FLEET_CATALOG_H
#define TREFOILHILL_FLEET_CATALOG_H

#include "fleet/mesh_config.h"
#include "fleet/store_position.h"
#include "fleet/upstream.h"

/*
 * The current configuration, the listed upstreams and the zones that operators
 * have taken out of service. An upstream is listed while it is registered and
 * during the grace period after that. Not thread-safe: only one thread may use
 * a catalog. Configurations and upstreams are reference-counted, so that
 * requests in progress can keep them.
 */
struct catalog;

enum catalog_change_kind {
	CATALOG_CONFIG,
	CATALOG_UPSTREAM,
	CATALOG_UPSTREAM_GONE,
	CATALOG_ZONE_OUT,
	CATALOG_ZONE_IN,
	CATALOG_OTHER,   /* a key that the mesh does not use */
	CATALOG_INVALID, /* not decodable, see reason */
};

/*
 * One decoded change. Whoever decoded it frees its contents with
 * catalog_change_clear.
 */
struct catalog_change {
	enum catalog_change_kind kind;
	struct mesh_config *config;
	struct upstream_entry entry; /* CATALOG_UPSTREAM */
	char *subject;               /* id of the upstream, or zone name */
	char *reason;                /* CATALOG_INVALID */
};

/* Effect of a change; the owner logs one line for each. */
enum catalog_event {
	CATALOG_EVENT_CONFIG,
	CATALOG_EVENT_CONFIG_STALE, /* older than the one in force; ignored */
	CATALOG_EVENT_UPSTREAM_READY,
	CATALOG_EVENT_UPSTREAM_DRAINING,
	CATALOG_EVENT_UPSTREAM_COLD,
	CATALOG_EVENT_UPSTREAM_LEAVING, /* it says so in its responses */
	CATALOG_EVENT_UPSTREAM_MISSING, /* unregistered, in grace period */
	CATALOG_EVENT_UPSTREAM_GONE,
	/* A registration older than the known one was ignored. */
	CATALOG_EVENT_REGISTRATION_STALE,
	CATALOG_EVENT_ZONE_OUT,
	CATALOG_EVENT_ZONE_IN,
	CATALOG_EVENT_ZONE_HELD, /* a change from a backup is held back */
	CATALOG_EVENT_INVALID,
};

struct catalog_ops {
	void (*handle_event)(void *arg, enum catalog_event event,
	    const char *subject, const char *detail, uint64_t revision);
	void *arg;
};

/* Listed upstreams of one service. */
struct upstream_group {
	char *service;
	GPtrArray *upstreams; /* struct upstream, one reference each */
};

struct catalog *catalog_new(struct catalog_ops ops);
void catalog_free(struct catalog *catalog);
void catalog_change_clear(struct catalog_change *change);
/* Where a change comes from, and when. */
struct catalog_origin {
	struct store_position position;
	/*
	 * From the store's first copy after a restore, so that it may be older
	 * than what is in force.
	 */
	bool from_backup;
	int64_t now_ms;
	/*
	 * Above 0, an upstream whose registration disappears is kept for that
	 * many milliseconds, unless it is draining.
	 */
	uint32_t grace_ms;
};

/* Apply a change; ownership of its contents may move to the catalog. */
void catalog_apply(struct catalog *catalog, struct catalog_change *change,
    const struct catalog_origin *origin);
/*
 * An upstream of this id and start has announced in a response that it leaves.
 */
void catalog_mark_leaving(
    struct catalog *catalog, struct str id, uint64_t started_ms);
/* Remove upstreams whose grace period has ended. */
void catalog_expire(struct catalog *catalog, int64_t now_ms);
/* Upstreams that are kept for a grace period won't register again. */
void catalog_end_grace(struct catalog *catalog, int64_t now_ms);

/* Borrowed; NULL before the first configuration. */
struct mesh_config *catalog_config(const struct catalog *catalog);
struct store_position catalog_config_position(const struct catalog *catalog);
int64_t catalog_config_ms(const struct catalog *catalog);
/* Borrowed; NULL if no upstream of the service was ever listed. */
const struct upstream_group *catalog_group(
    const struct catalog *catalog, const char *service);
/* Listed upstream by id, borrowed, or NULL. */
struct upstream *catalog_upstream(const struct catalog *catalog, struct str id);
/* Most recently started upstream listed at this address, or NULL. */
struct upstream *catalog_upstream_at(
    const struct catalog *catalog, const struct sockaddr_in *address);
/* The listed upstream of the same id and start, or else this one. */
struct upstream *catalog_current(
    const struct catalog *catalog, struct upstream *upstream);
bool catalog_zone_is_out(const struct catalog *catalog, const char *zone);
/* Host address (network order) to struct fleet_peer. */
GHashTable *catalog_peers(const struct catalog *catalog);
/* Number of zones in which upstreams are or were listed. */
uint32_t catalog_zone_count(const struct catalog *catalog);
size_t catalog_upstream_count(const struct catalog *catalog);

#endif
