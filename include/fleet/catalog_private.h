#ifndef TREFOILHILL_FLEET_CATALOG_PRIVATE_H
#define TREFOILHILL_FLEET_CATALOG_PRIVATE_H

#include "fleet/catalog.h"
#include "fleet/departed.h"
#include "fleet/zone_outages.h"

/* The last result of catalog_upstream_at. */
struct upstream_lookup {
	uint64_t version; /* upstreams_version of it */
	struct sockaddr_in address;
	struct upstream *found; /* borrowed */
};

/* Private to the source files of the catalog. */
struct catalog {
	struct catalog_ops ops;
	struct mesh_config *config;
	struct store_position config_position;
	int64_t config_ms;
	GHashTable *upstreams; /* id to struct upstream */
	/* Counts the changes of the listed upstreams and their entries. */
	uint64_t upstreams_version;
	struct upstream_lookup *last_lookup;
	int64_t next_removal_ms; /* no upstream is removed before; 0: none */
	GHashTable *groups;      /* service to struct upstream_group */
	GHashTable *peers;       /* host address to struct fleet_peer */
	GHashTable *zones;       /* name to struct fleet_zone */
	GHashTable *peer_zones;  /* set of names, in which peers were */
	struct zone_outages *zone_outages;
	struct departed *departed;
};

void catalog_release_upstream(void *upstream);
void catalog_emit_event(struct catalog *catalog, enum catalog_event event,
    const char *subject, const char *detail, uint64_t revision);
void catalog_put_upstream(struct catalog *catalog, struct upstream_entry *entry,
    const struct catalog_origin *origin);
void catalog_unregister_upstream(struct catalog *catalog, const char *id,
    const struct catalog_origin *origin);
struct fleet_peer *catalog_peer_for(
    struct catalog *catalog, const struct upstream_entry *entry);
void catalog_update_peer(
    struct catalog *catalog, const struct upstream *upstream);
void catalog_unlist_peer(struct catalog *catalog, struct in_addr host);
void catalog_update_peers(struct catalog *catalog, bool is_first);
GHashTable *catalog_peer_table_new(void);
void catalog_configure_upstreams(struct catalog *catalog, uint64_t revision);
void catalog_expire_upstreams(struct catalog *catalog, int64_t now_ms);

#endif
