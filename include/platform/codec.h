#ifndef TREFOILHILL_PLATFORM_CODEC_H
#define TREFOILHILL_PLATFORM_CODEC_H

#include "fleet/catalog.h"

/*
 * Decode one item of the platform's store. The change is always set:
 * CATALOG_INVALID with a reason when the item can't be used, CATALOG_OTHER
 * when it does not concern the mesh. A value of NULL is a deletion. The last
 * configuration, or NULL, saves decoding what did not change since.
 */
void platform_decode(const char *key, GBytes *value,
    const struct mesh_config *last, struct catalog_change *change);

/* Parts of it, see their sources. NULL or false with error set. */
struct mesh_config *platform_decode_config(const char *text, size_t len,
    const struct mesh_config *last, GError **error);
bool platform_decode_upstream(const char *id, const char *text, size_t len,
    struct upstream_entry *entry, GError **error);

#endif
