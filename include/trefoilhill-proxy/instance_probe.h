#ifndef TREFOILHILL_TREFOILHILL_PROXY_INSTANCE_PROBE_H
#define TREFOILHILL_TREFOILHILL_PROXY_INSTANCE_PROBE_H

#include "http/pool.h"
#include "trefoilhill-proxy/proxy.h"

/*
 * Asks the upstream on this host for its instance id. After a restart its
 * registration may arrive seconds late, while the previous one is still valid.
 */
struct instance_probe;

/* What an upstream reports about itself. */
struct instance_info {
	struct str id;   /* valid during the callback */
	int64_t cold_ms; /* remaining time as a cold instance; 0: not cold */
	struct upstream_notice notice;
};

struct instance_probe_ops {
	void (*handle_instance)(void *arg, const struct instance_info *info);
	void *arg;
};

struct instance_probe *instance_probe_new(struct proxy *proxy,
    struct http_pool *pool, const struct instance_probe_ops *ops);
void instance_probe_free(struct instance_probe *probe);
/*
 * Send the probe to the service's health path, and retry a limited number of
 * times while the upstream refuses connections. Does nothing while a probe is
 * in progress.
 */
void instance_probe_start(struct instance_probe *probe, const char *path);

#endif
