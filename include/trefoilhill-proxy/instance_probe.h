#ifndef TREFOILHILL_TREFOILHILL_PROXY_INSTANCE_PROBE_H
#define TREFOILHILL_TREFOILHILL_PROXY_INSTANCE_PROBE_H

#include "http/pool.h"
#include "trefoilhill-proxy/proxy.h"

/*
 * Asks the upstream on this host which instance it is. Its registration may
 * come seconds after its start, while that of an earlier start still stands.
 */
struct instance_probe;

/* What an upstream that answers well says of itself. */
struct instance_info {
	struct str id;   /* borrowed */
	int64_t cold_ms; /* how much longer it is cold; 0: not cold */
};

struct instance_probe_ops {
	void (*handle_instance)(void *arg, const struct instance_info *info);
	void *arg;
};

struct instance_probe *instance_probe_new(struct proxy *proxy,
    struct http_pool *pool, const struct instance_probe_ops *ops);
void instance_probe_free(struct instance_probe *probe);
/*
 * Ask until an answer comes, a few times at most; nothing while it is being
 * asked already. The path is that of the service's health.
 */
void instance_probe_start(struct instance_probe *probe, const char *path);

#endif
