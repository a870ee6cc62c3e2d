#ifndef TREFOILHILL_TREFOILHILL_PROXY_LOST_HOSTS_H
#define TREFOILHILL_TREFOILHILL_PROXY_LOST_HOSTS_H

#include "trefoilhill-proxy/heartbeat_message.h"
#include "trefoilhill-proxy/proxy.h"

/*
 * Hosts that don't respond, as nodes of a zone tell each other. Answers the
 * load pattern of many hosts that lose power together, each of which every node
 * would otherwise find by a request that waits in vain.
 */
void lost_hosts_collect(struct proxy *proxy, struct heartbeat_message *message);
void lost_hosts_apply(
    struct proxy *proxy, const struct heartbeat_message *message);

#endif
