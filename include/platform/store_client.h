#ifndef TREFOILHILL_PLATFORM_STORE_CLIENT_H
#define TREFOILHILL_PLATFORM_STORE_CLIENT_H

#include "fleet/source.h"

/*
 * Return a client of the platform's metadata store, which is read over HTTP.
 * NULL with error set if the address is not IP:PORT.
 */
struct item_source *store_client_new(
    uv_loop_t *loop, struct str address, GError **error);

#endif
