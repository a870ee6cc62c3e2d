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
    struct mesh_config *last, struct catalog_change *change);
/* Is this the key of the configuration? */
bool platform_is_config_key(const char *key);
/* Larger values of the key need not be kept: an empty one says as much. */
size_t platform_value_max_bytes(const char *key);

/* Decoders of single items. Return NULL or false with error set on failure. */
struct mesh_config *platform_decode_config(
    const char *text, size_t len, struct mesh_config *last, GError **error);
bool platform_decode_upstream(const char *id, const char *text, size_t len,
    struct upstream_entry *entry, GError **error);

/*
 * Decodes a configuration in steps, so that requests are served in between.
 * Addresses configurations of 800 to 1,400 routes, which take a node of 0.1
 * core over a tenth of a second in one go.
 */
struct config_decoder;

/* Keeps references to the value and to last, which may be NULL. */
struct config_decoder *config_decoder_begin(
    GBytes *value, struct mesh_config *last);
/* Decode one part; false when the last one is done. */
bool config_decoder_step(struct config_decoder *decoder);
/* After the last step; frees the decoder. NULL with error set if invalid. */
struct mesh_config *config_decoder_end(
    struct config_decoder *decoder, GError **error);
/* The same, with the result as a change for the catalog. */
void platform_end_config(
    struct config_decoder *decoder, struct catalog_change *change);
/* Drop a decoder at any point. NULL is allowed. */
void config_decoder_free(struct config_decoder *decoder);

#endif
