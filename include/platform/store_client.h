#ifndef TREFOILHILL_PLATFORM_STORE_CLIENT_H
#define TREFOILHILL_PLATFORM_STORE_CLIENT_H

#include "fleet/source.h"
#include "http/connections.h"

/*
 * Return a client of the platform's metadata store, which is read over HTTP.
 * NULL with error set if the address is not IP:PORT.
 */
struct item_source *store_client_new(
    struct http_connections *connections, struct str address, GError **error);

#endif
