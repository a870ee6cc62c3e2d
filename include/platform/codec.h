#ifndef TREFOILHILL_PLATFORM_CODEC_H
#define TREFOILHILL_PLATFORM_CODEC_H

#include "fleet/catalog.h"

/*
 * Decode one item of the platform's store; a value of NULL is a deletion. The
 * change is always set, to CATALOG_INVALID with a reason if the item can't be
 * decoded and to CATALOG_OTHER if the mesh does not use the key. Unchanged
 * routes are shared with last, the previous configuration, which may be NULL.
 */
void platform_decode_item(const char *key, GBytes *value,
    const struct mesh_config *last, struct catalog_change *change);

/* Decoders of single items. Return NULL or false with error set on failure. */
struct mesh_config *platform_decode_config(const char *text, size_t len,
    const struct mesh_config *last, GError **error);
bool platform_decode_upstream(const char *id, const char *text, size_t len,
    struct upstream_entry *entry, GError **error);

#endif
