#ifndef TREFOILHILL_TREFOILHILL_PROXY_CONFIG_SLICES_H
#define TREFOILHILL_TREFOILHILL_PROXY_CONFIG_SLICES_H

#include "fleet/source.h"
#include "trefoilhill-proxy/proxy.h"

/*
 * Puts large configurations in force: decodes them in slices, one in each
 * iteration of the event loop, and applies them as a whole at the end.
 */
struct config_slices;

struct config_slices *config_slices_new(struct proxy *proxy);
void config_slices_free(struct config_slices *slices);
/*
 * Start decoding a configuration, in place of one that is not complete. False
 * if the item is none, or is to be applied in one go.
 */
bool config_slices_begin(struct config_slices *slices,
    const struct replica_item *item, const struct catalog_origin *origin);
/* Is a configuration being decoded, newer than the one in force? */
bool config_slices_is_pending(const struct config_slices *slices);

#endif
