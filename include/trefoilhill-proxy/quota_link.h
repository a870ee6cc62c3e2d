#ifndef TREFOILHILL_TREFOILHILL_PROXY_QUOTA_LINK_H
#define TREFOILHILL_TREFOILHILL_PROXY_QUOTA_LINK_H

#include "quota/quota.h"
#include "trefoilhill-proxy/proxy.h"

/*
 * Connects this node's quotas to its peers: reports on hops, and which peers it
 * reaches. Heartbeats carry reports by themselves.
 */
struct quota_link;

struct quota_link *quota_link_new(struct proxy *proxy);
/* NULL is allowed. */
void quota_link_free(struct quota_link *link);
/* The settings of the quotas. */
struct quota_settings quota_link_settings(const struct settings *settings);
/* Follow the settings of the proxy. */
void quota_link_reload(struct quota_link *link);
/*
 * Append reports to a request to a peer, or to a response to one. Nothing if no
 * workspace is limited.
 */
void quota_link_write(struct quota_link *link, bool response, GString *text);
/* Take over the reports of a peer, encoded for a hop; empty: none. */
void quota_link_apply(struct quota_link *link, struct str text);
/* Take over the reports in a peer's heartbeat. */
void quota_link_apply_list(
    struct quota_link *link, const struct quota_report_list *list);
/* Follow the peers that are known, and those that can be reached. */
void quota_link_tick(struct quota_link *link);
/* Append gauges of the busiest workspaces. */
void quota_link_render(struct quota_link *link, GString *out);

#endif
