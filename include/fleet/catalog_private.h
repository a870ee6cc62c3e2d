#ifndef TREFOILHILL_FLEET_CATALOG_PRIVATE_H
#define TREFOILHILL_FLEET_CATALOG_PRIVATE_H

#include "fleet/catalog.h"

/* Private to the source files of the catalog. */
struct catalog {
	struct catalog_ops ops;
	struct mesh_config *config;
	uint64_t config_revision;
	int64_t config_ms;
	GHashTable *upstreams; /* id to struct upstream */
	GHashTable *groups;    /* service to struct upstream_group */
	GHashTable *peers;     /* host address to struct fleet_peer */
	GHashTable *zones_out; /* set of zone names */
};

void catalog_release_upstream(void *upstream);
void catalog_emit_event(struct catalog *catalog, enum catalog_event event,
    const char *subject, const char *detail, uint64_t revision);
void catalog_put_upstream(struct catalog *catalog, struct upstream_entry *entry,
    uint64_t revision, int64_t now_ms);
void catalog_unregister_upstream(struct catalog *catalog, const char *id,
    uint64_t revision, int64_t now_ms, uint32_t grace_ms);

#endif
