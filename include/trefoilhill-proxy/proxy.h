#ifndef TREFOILHILL_TREFOILHILL_PROXY_PROXY_H
#define TREFOILHILL_TREFOILHILL_PROXY_PROXY_H

#include <uv.h>

#include "common/json_log.h"
#include "common/rng.h"
#include "fleet/catalog.h"
#include "http/listener.h"
#include "route/fleet_retry_budget.h"
#include "route/large_share.h"
#include "route/return_queue.h"
#include "route/run_times.h"
#include "route/service_room.h"
#include "trefoilhill-proxy/stats.h"
#include "trefoilhilld/settings.h"

struct connection_limits;
struct follower;
struct gate;
struct heartbeat;
struct loop_lag;
struct ops_listener;
struct quarantine;
struct quota;
struct quota_link;
struct quarantine_news;
struct shaper;

/* The components of the proxy process; all run on one event loop. */
struct proxy {
	uv_loop_t *loop;
	struct settings *settings;
	uint64_t incarnation;
	struct clock *clock;
	struct rng *rng;
	struct json_log *log;
	struct http_connections *connections;
	struct connection_limits *connection_limits;
	struct catalog *catalog;
	struct follower *follower;
	struct heartbeat *heartbeat;
	struct gate *gate;
	struct loop_lag *loop_lag;
	struct shaper *shaper;
	struct fleet_retry_budget *retry_budget;
	struct run_times *run_times;
	struct large_share *large_share;
	struct service_room *service_room;
	struct return_queue *return_queue;
	struct quarantine *quarantine;
	struct quarantine_news *quarantine_news;
	struct quota *quota;
	struct quota_link *quota_link;
	struct ops_listener *ops_listener;
	struct http_listener *caller_listener;
	struct http_listener *mesh_listener;
	struct in_addr host; /* address in the upstream's registration */
	struct sockaddr_in mesh_address; /* peers listen on the same port */
	GHashTable *callers;             /* set of struct caller */
	uint32_t exchanges;              /* in progress */
	bool stopping;
	int64_t stop_started_ms; /* start of the shutdown */
	int64_t stop_grace_ms;   /* of the shutdown; settings may change */
	bool ending;             /* nothing more is sent to upstreams */
	uv_timer_t tick;
	struct proxy_stats stats;
};

struct proxy *proxy_new(
    uv_loop_t *loop, struct settings *settings, GError **error);
/*
 * Start a graceful shutdown: not ready from now on; the loop stops once all
 * requests are answered, or near the end of the grace period.
 */
void proxy_stop(struct proxy *proxy);
void proxy_free(struct proxy *proxy);
/* Reload the settings; an invalid file is logged and ignored. */
void proxy_reload(struct proxy *proxy, const char *path);

int64_t proxy_now_ms(const struct proxy *proxy);
/* Does readiness succeed, so that callers may connect? */
bool proxy_is_ready(const struct proxy *proxy);
/* Will a shutdown in progress end before a request with this deadline? */
bool proxy_exits_before(const struct proxy *proxy, int64_t at_ms);
/* Has a shutdown progressed so far that requests from peers are refused? */
bool proxy_refuses_peers(const struct proxy *proxy);
void proxy_render_metrics(struct proxy *proxy, GString *out);

#endif
