#ifndef TREFOILHILL_TREFOILHILL_PROXY_OPS_LISTENER_H
#define TREFOILHILL_TREFOILHILL_PROXY_OPS_LISTENER_H

#include "trefoilhill-proxy/proxy.h"

/* Serves readiness and metrics over HTTP. */
struct ops_listener;

struct ops_listener *ops_listener_new(struct proxy *proxy, GError **error);
void ops_listener_free(struct ops_listener *listener);

#endif
