#ifndef TREFOILHILL_TREFOILHILL_PROXY_STATUS_H
#define TREFOILHILL_TREFOILHILL_PROXY_STATUS_H

#include "common/str.h"
#include "trefoilhill-proxy/proxy.h"

/* Is this the request target of a node's status? */
bool status_is_target(struct str target);
/* Return the status as JSON, for trefoilhillctl, to be freed with free. */
char *status_render(struct proxy *proxy);

#endif
