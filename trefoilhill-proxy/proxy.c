#include <unistd.h>

#include "platform/store_client.h"
#include "trefoilhill-proxy/caller.h"
#include "trefoilhill-proxy/connection_limits.h"
#include "trefoilhill-proxy/follower.h"
#include "trefoilhill-proxy/gate.h"
#include "trefoilhill-proxy/heartbeat.h"
#include "trefoilhill-proxy/loop_lag.h"
#include "trefoilhill-proxy/ops_listener.h"
#include "trefoilhill-proxy/proxy.h"
#include "trefoilhill-proxy/quarantine_news.h"
#include "trefoilhill-proxy/quota_link.h"
#include "trefoilhill-proxy/shaper.h"

enum {
	TICK_MS = 100,
	LOG_BUFFER_BYTES = 256 * 1024,
	LOG_FLUSH_MS = 300,
	PERCENT = 100,
	/*
	 * Shares of a shutdown's grace period. Existing connections are served
	 * until the first; then listeners and idle connections are closed, and
	 * requests in progress are finished until the second.
	 */
	STOP_CLOSE_IDLE_PERCENT = 80,
	STOP_EXIT_PERCENT = 92,
	/* Peers are refused sooner: their callers don't see this shutdown. */
	STOP_REFUSE_PEERS_PERCENT = 45,
	/* Callers learn of it from readiness, which is polled each second. */
	STOP_MIN_MS = 2500,
};

static const char *const event_names[] = {
	[CATALOG_EVENT_CONFIG] = "config_taken",
	[CATALOG_EVENT_CONFIG_STALE] = "config_stale",
	[CATALOG_EVENT_UPSTREAM_READY] = "upstream_in",
	[CATALOG_EVENT_UPSTREAM_DRAINING] = "upstream_draining",
	[CATALOG_EVENT_UPSTREAM_COLD] = "upstream_cold",
	[CATALOG_EVENT_UPSTREAM_LEAVING] = "upstream_leaving",
	[CATALOG_EVENT_UPSTREAM_MISSING] = "upstream_missing",
	[CATALOG_EVENT_UPSTREAM_GONE] = "upstream_gone",
	[CATALOG_EVENT_REGISTRATION_STALE] = "registration_stale",
	[CATALOG_EVENT_ZONE_OUT] = "zone_out",
	[CATALOG_EVENT_ZONE_IN] = "zone_in",
	[CATALOG_EVENT_ZONE_HELD] = "zone_change_held",
	[CATALOG_EVENT_INVALID] = "item_refused",
};

/*
 * Return the event loop's monotonic time.
 */
int64_t
proxy_now_ms(const struct proxy *proxy)
{
	return (int64_t)uv_now(proxy->loop);
}

/*
 * Tell whether readiness succeeds, so that callers may connect.
 */
bool
proxy_is_ready(const struct proxy *proxy)
{
	return !proxy->stopping && catalog_config(proxy->catalog) != NULL;
}

/*
 * Tell whether a shutdown in progress ends before a time. A request with that
 * deadline might be aborted.
 */
bool
proxy_exits_before(const struct proxy *proxy, int64_t at_ms)
{
	return proxy->stopping &&
	    at_ms > proxy->stop_started_ms +
		proxy->stop_grace_ms * STOP_EXIT_PERCENT / PERCENT;
}

/*
 * Tell whether requests from peers are refused, so that they are sent to
 * another upstream while there is time.
 */
bool
proxy_refuses_peers(const struct proxy *proxy)
{
	return proxy->stopping &&
	    proxy_now_ms(proxy) - proxy->stop_started_ms >=
	    proxy->stop_grace_ms * STOP_REFUSE_PEERS_PERCENT / PERCENT;
}

static void
handle_catalog_event(void *arg, enum catalog_event event, const char *subject,
    const char *detail, uint64_t revision)
{
	struct proxy *proxy = arg;
	struct json_line *line =
	    json_log_begin(proxy->log, LOG_CLASS_STATE, event_names[event]);

	json_line_cstr(line, "subject", subject);
	json_line_cstr(line, "detail", detail);
	json_line_int(line, "revision", (int64_t)revision);
	json_log_end(line);
	if (event == CATALOG_EVENT_CONFIG)
		quota_set_config(proxy->quota, catalog_config(proxy->catalog),
		    proxy_now_ms(proxy));
}

static void
handle_verdict(void *arg, const struct suspect *suspect)
{
	struct proxy *proxy = arg;
	struct json_line *line = json_log_begin(proxy->log, LOG_CLASS_STATE,
	    suspect->quarantined ? "request_quarantined" : "quarantine_lifted");
	char key[REQUEST_KEY_TEXT_MAX];

	request_key_format(suspect->key, key);
	json_line_cstr(line, "key", key);
	json_line_int(line, "crashes", suspect_open_count(suspect));
	json_line_int(line, "trials", suspect->trials);
	json_log_end(line);
	quarantine_news_spread(proxy->quarantine_news);
}

static void
log_lifecycle(struct proxy *proxy, const char *event)
{
	struct json_line *line =
	    json_log_begin(proxy->log, LOG_CLASS_STATE, event);

	json_line_text(line, "zone", proxy->settings->node.zone);
	json_line_text(line, "service", proxy->settings->upstream.service);
	json_line_int(line, "in_progress", proxy->exchanges);
	json_log_end(line);
}

static void
close_idle_callers(struct proxy *proxy)
{
	GList *callers = g_hash_table_get_keys(proxy->callers);

	for (GList *link = callers; link != NULL; link = link->next)
		caller_close_idle(link->data);
	g_list_free(callers);
}

/* Take the next step of a shutdown: see STOP_CLOSE_IDLE_PERCENT. */
static void
advance_shutdown(struct proxy *proxy)
{
	int64_t elapsed_ms = proxy_now_ms(proxy) - proxy->stop_started_ms;
	int64_t grace_ms = proxy->stop_grace_ms;
	bool idle =
	    proxy->exchanges == 0 && g_hash_table_size(proxy->callers) == 0;

	if (elapsed_ms >= grace_ms * STOP_CLOSE_IDLE_PERCENT / PERCENT) {
		http_listener_close(g_steal_pointer(&proxy->caller_listener));
		http_listener_close(g_steal_pointer(&proxy->mesh_listener));
		close_idle_callers(proxy);
	}
	if (elapsed_ms >= grace_ms * STOP_EXIT_PERCENT / PERCENT)
		callers_end_by_stop(proxy);
	else if (!idle || elapsed_ms < STOP_MIN_MS)
		return;
	uv_stop(proxy->loop);
}

static void
handle_tick(uv_timer_t *timer)
{
	struct proxy *proxy = timer->data;

	catalog_expire(proxy->catalog, proxy_now_ms(proxy));
	quarantine_expire(proxy->quarantine, proxy_now_ms(proxy));
	gate_refresh(proxy->gate);
	callers_check_gone(proxy);
	quota_link_tick(proxy->quota_link);
	connection_limits_tick(proxy->connection_limits);
	if (proxy->stopping)
		advance_shutdown(proxy);
}

/*
 * Start a graceful shutdown.
 */
void
proxy_stop(struct proxy *proxy)
{
	if (proxy->stopping)
		return;
	proxy->stopping = true;
	proxy->stop_started_ms = proxy_now_ms(proxy);
	proxy->stop_grace_ms = proxy->settings->node.grace_ms;
	log_lifecycle(proxy, "stopping");
	heartbeat_announce(proxy->heartbeat);
}

static bool
open_listeners(struct proxy *proxy, GError **error)
{
	const struct node_settings *node = &proxy->settings->node;

	proxy->ops_listener = ops_listener_new(proxy, error);
	if (proxy->ops_listener == NULL)
		return false;
	proxy->mesh_listener =
	    http_listener_new(proxy->connections, CONNECTION_NODE,
		node->mesh_listen, caller_accept_peer, proxy, error);
	if (proxy->mesh_listener == NULL)
		return false;
	proxy->caller_listener =
	    http_listener_new(proxy->connections, CONNECTION_CALLER,
		node->caller_listen, caller_accept_local, proxy, error);
	return proxy->caller_listener != NULL;
}

static void
create_components(struct proxy *proxy)
{
	const struct settings *settings = proxy->settings;
	struct fleet_retry_budget_settings retry_budget = {
		.window_ms = settings->route.retry_window_ms,
		.ratio = settings->route.retry_per_mille / 1000.0,
		.allowance = settings->route.retry_allowance,
	};
	struct quota_settings quota = quota_link_settings(settings);
	struct catalog_ops ops = {
		.handle_event = handle_catalog_event,
		.arg = proxy,
	};
	struct quarantine_ops quarantine = {
		.handle_verdict = handle_verdict,
		.arg = proxy,
	};
	struct json_log_settings log = {
		.fd = STDOUT_FILENO,
		.node = settings->node.host,
		.incarnation = proxy->incarnation,
		.lines_per_s = settings->log.lines_per_s,
		.buffer_bytes = LOG_BUFFER_BYTES,
	};

	proxy->log = json_log_new(&log, proxy->clock);
	proxy->connection_limits = connection_limits_new(proxy);
	proxy->catalog = catalog_new(ops);
	proxy->retry_budget = fleet_retry_budget_new(&retry_budget);
	proxy->shaper = shaper_new(proxy->loop, settings->node.link_kbps);
	proxy->run_times = run_times_new();
	proxy->large_share = large_share_new();
	proxy->service_room = service_room_new();
	proxy->return_queue = return_queue_new();
	proxy->quarantine = quarantine_new(quarantine);
	proxy->quarantine_news = quarantine_news_new(proxy);
	proxy->quota = quota_new(
	    &quota, (uint32_t)proxy->incarnation | 1, proxy_now_ms(proxy));
	proxy->quota_link = quota_link_new(proxy);
	proxy->callers = g_hash_table_new(g_direct_hash, g_direct_equal);
	proxy->heartbeat = heartbeat_new(proxy);
	proxy->loop_lag = loop_lag_new(proxy);
}

/* The platform's URL without its scheme, which the settings have checked. */
static struct str
store_address(const struct settings *settings)
{
	static const size_t scheme_len = sizeof("http://") - 1;
	struct str url = settings->platform.url;

	return str_make(url.ptr + scheme_len, url.len - scheme_len);
}

static bool
set_addresses(struct proxy *proxy, GError **error)
{
	const struct settings *settings = proxy->settings;
	struct sockaddr_in upstream;

	if (!http_address_parse(
		settings->node.mesh_listen, &proxy->mesh_address) ||
	    !http_address_parse(settings->upstream.address, &upstream)) {
		g_set_error(error, HTTP_LISTEN_ERROR, HTTP_LISTEN_ERROR_ADDRESS,
		    "mesh_listen or the upstream's address: not IP:PORT");
		return false;
	}
	proxy->host = upstream.sin_addr;
	return true;
}

/*
 * Create and start all components. Takes ownership of the settings. Returns
 * NULL with error set if a component can't be created.
 */
struct proxy *
proxy_new(uv_loop_t *loop, struct settings *settings, GError **error)
{
	struct proxy *proxy = g_new0(struct proxy, 1);
	struct item_source *source;

	proxy->loop = loop;
	proxy->settings = settings;
	proxy->clock = clock_system();
	proxy->rng = rng_system_new();
	proxy->incarnation = rng_next(proxy->rng) >> 16;
	proxy_stats_init(&proxy->stats);
	uv_timer_init(loop, &proxy->tick);
	proxy->tick.data = proxy;
	create_components(proxy);
	if (!set_addresses(proxy, error))
		goto fail;
	proxy->gate = gate_new(proxy, error);
	source = store_client_new(
	    proxy->connections, store_address(settings), error);
	if (proxy->gate == NULL || source == NULL)
		goto fail;
	proxy->follower = follower_new(proxy, source);
	if (!open_listeners(proxy, error))
		goto fail;
	log_lifecycle(proxy, "started");
	follower_start(proxy->follower);
	heartbeat_start(proxy->heartbeat);
	uv_timer_start(&proxy->tick, handle_tick, TICK_MS, TICK_MS);
	return proxy;
fail:
	proxy_free(proxy);
	return NULL;
}

/*
 * End the process's parts. What is in progress is cut; the loop must not run
 * any more.
 */
void
proxy_free(struct proxy *proxy)
{
	uint64_t left_out;

	if (proxy == NULL)
		return;
	log_lifecycle(proxy, "stopped");
	left_out = json_log_free(proxy->log, LOG_FLUSH_MS);
	if (left_out > 0)
		fprintf(stderr,
		    "trefoilhill-proxy: %" G_GUINT64_FORMAT
		    " log lines were left out or lost\n",
		    (guint64)left_out);
	rng_free(proxy->rng);
	g_free(proxy);
}

/*
 * Reload the settings and replace them as a whole. Addresses in use don't
 * change until the next start.
 */
void
proxy_reload(struct proxy *proxy, const char *path)
{
	GError *error = NULL;
	struct settings *settings = settings_load(path, &error);

	if (settings == NULL) {
		struct json_line *line = json_log_begin(
		    proxy->log, LOG_CLASS_STATE, "settings_refused");

		json_line_cstr(line, "reason", error->message);
		json_log_end(line);
		g_error_free(error);
		return;
	}
	settings_free(proxy->settings);
	proxy->settings = settings;
	quota_link_reload(proxy->quota_link);
	connection_limits_reload(proxy->connection_limits);
	log_lifecycle(proxy, "settings_taken");
}
