#ifndef TREFOILHILL_PLATFORM_STORE_CLIENT_H
#define TREFOILHILL_PLATFORM_STORE_CLIENT_H

#include "fleet/source.h"

/*
 * The platform's metadata store, met over HTTP. NULL with error set when the
 * address is not IP:PORT.
 */
struct item_source *store_client_new(
    uv_loop_t *loop, struct str address, GError **error);

#endif
