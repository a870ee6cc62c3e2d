#include "trefoilhill-proxy/crash_watch.h"
#include "trefoilhill-proxy/follower.h"
#include "trefoilhill-proxy/gate_private.h"
#include "trefoilhill-proxy/loop_lag.h"

enum {
	QUEUE_MAX = 256,   /* requests; their bodies are small or paused */
	PAUSE_MIN_MS = 50, /* after a refused connection */
	PAUSE_MAX_MS = 400,
	IDLE_CONNECTIONS_MAX = 32,
	IDLE_DEFAULT_MS = 600, /* if the upstream names no timeout */
	IDLE_MAX_MS = 5000,
	PERCENT = 100,
	PER_MILLE = 1000,
	/*
	 * Of the rate that a cold upstream bears: starts are counted here, not
	 * where they arrive, and each start of the node allows another burst.
	 */
	COLD_RATE_PERCENT = 90,
};

/*
 * Return the gate of the upstream whose address is in the settings, or NULL
 * with error set if that address is invalid.
 */
struct gate *
gate_new(struct proxy *proxy, GError **error)
{
	struct admission_bounds bounds = {
		.queue_max = QUEUE_MAX,
		.pause_first_ms = PAUSE_MIN_MS,
		.pause_max_ms = PAUSE_MAX_MS,
	};
	struct http_pool_settings pool = {
		.class = CONNECTION_UPSTREAM,
		.idle_max = IDLE_CONNECTIONS_MAX,
		.idle_default_ms = IDLE_DEFAULT_MS,
		.idle_max_ms = IDLE_MAX_MS,
	};
	struct str address = proxy->settings->upstream.address;
	struct instance_probe_ops ops = { .handle_instance =
					      gate_handle_instance };
	struct gate *gate;

	if (!http_address_parse(address, &pool.address)) {
		g_set_error(error, HTTP_LISTEN_ERROR, HTTP_LISTEN_ERROR_ADDRESS,
		    "%.*s: not IP:PORT", STR_ARG(address));
		return NULL;
	}
	gate = g_new0(struct gate, 1);
	gate->proxy = proxy;
	gate->address = pool.address;
	gate->admission = admission_new(&bounds);
	gate->pool = http_pool_new(proxy->connections, &pool);
	gate->crash_watch = crash_watch_new(proxy);
	ops.arg = gate;
	gate->probe = instance_probe_new(proxy, gate->pool, &ops);
	gate->timer = g_new0(uv_timer_t, 1);
	uv_timer_init(proxy->loop, gate->timer);
	gate->timer->data = gate;
	return gate;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

/*
 * Free a gate. NULL is allowed.
 */
void
gate_free(struct gate *gate)
{
	if (gate == NULL)
		return;
	uv_close((uv_handle_t *)gate->timer, handle_timer_closed);
	instance_probe_free(gate->probe);
	crash_watch_free(gate->crash_watch);
	upstream_unref(gate->upstream);
	admission_free(gate->admission);
	http_pool_free(gate->pool);
	g_free(gate->upstream_id);
	g_free(gate->replaced_id);
	g_free(gate->service);
	g_free(gate);
}

/*
 * Return the gate's admission control.
 */
struct admission *
gate_admission(struct gate *gate)
{
	return gate->admission;
}

/*
 * Return the requests in progress at the upstream.
 */
struct run_list *
gate_runs(struct gate *gate)
{
	return &gate->runs;
}

/*
 * Return which requests have lately run well at the upstream.
 */
struct recent_runs *
gate_recent_runs(struct gate *gate)
{
	return &gate->recent_runs;
}

/*
 * Return the watch for crashes of the upstream.
 */
struct crash_watch *
gate_crash_watch(struct gate *gate)
{
	return gate->crash_watch;
}

/*
 * Return the pool of connections to the upstream.
 */
struct http_pool *
gate_pool(struct gate *gate)
{
	return gate->pool;
}

/*
 * Return the upstream registered at this host's address, or NULL.
 */
struct upstream *
gate_upstream(struct gate *gate)
{
	return gate->upstream;
}

/*
 * Log a change of the gate.
 */
void
gate_log_state(struct gate *gate, const char *event, bool open, int64_t cold_ms)
{
	struct json_line *line =
	    json_log_begin(gate->proxy->log, LOG_CLASS_STATE, event);

	json_line_cstr(line, "upstream", gate->upstream_id);
	json_line_bool(line, "open", open);
	json_line_int(line, "cold_ms", cold_ms);
	json_log_end(line);
}

/* Switch to another upstream, or to a restarted one, or to none. */
static void
set_upstream(struct gate *gate, struct upstream *upstream)
{
	upstream_unref(gate->upstream);
	gate->upstream = upstream == NULL ? NULL : upstream_ref(upstream);
	if (upstream == NULL)
		return;
	if (g_strcmp0(gate->upstream_id, upstream->entry.id) == 0 &&
	    gate->started_ms == upstream->entry.started_ms)
		return;
	if (gate->upstream_id == NULL)
		gate_probe_start(gate);
	gate_record_replaced_id(gate, upstream);
	g_free(gate->upstream_id);
	gate->upstream_id = g_strdup(upstream->entry.id);
	gate->started_ms = upstream->entry.started_ms;
	gate->mismatch_until_ms = 0;
	admission_reset(gate->admission);
	gate->latency = (struct latency_mean){ 0 };
	http_pool_close_idle(gate->pool);
	gate_log_state(gate, "gate_upstream", true, upstream->entry.cold_ms);
}

/* Requests per second that are sent to the upstream while it is cold. */
static double
cold_rate(const struct gate *gate, const struct mesh_service *service)
{
	const struct admission_settings *guard = &gate->proxy->settings->guard;

	return (service->cold_per_s * guard->cold_burst_per_mille / PER_MILLE +
		   guard->cold_allowance) *
	    COLD_RATE_PERCENT / PERCENT;
}

/* Update until when the upstream is cold, and its request rate until then. */
static void
refresh_cold(struct gate *gate, int64_t now_ms)
{
	const struct mesh_config *config = catalog_config(gate->proxy->catalog);
	const struct mesh_service *service = config == NULL
	    ? NULL
	    : mesh_config_service(config, gate->upstream->entry.service);
	bool zone_out = catalog_zone_is_out(
	    gate->proxy->catalog, gate->upstream->entry.zone);

	if (service == NULL)
		return;
	/* It may be cold after an outage of its zone or its own. */
	if ((gate->zone_out && !zone_out) ||
	    admission_take_recovered(gate->admission)) {
		gate->assumed_cold_until_ms = now_ms + service->cold_ms;
		gate_log_state(
		    gate, "gate_assumed_cold", true, service->cold_ms);
	}
	gate->zone_out = zone_out;
	admission_set_cold(gate->admission,
	    MAX(gate->upstream->cold_until_ms, gate->assumed_cold_until_ms),
	    cold_rate(gate, service));
}

/* Ask the upstream whether it is cold, if the store can't tell. */
static void
check_cold(struct gate *gate, int64_t now_ms)
{
	if (!cold_check_take(&gate->cold_check,
		follower_age_ms(gate->proxy->follower), now_ms))
		return;
	proxy_count(&gate->proxy->stats, STAT_COLD_CHECKS);
	gate_probe_start(gate);
}

/*
 * Update the registered upstream and its state from the catalog.
 */
void
gate_refresh(struct gate *gate)
{
	struct upstream *upstream =
	    catalog_upstream_at(gate->proxy->catalog, &gate->address);
	int64_t now_ms = proxy_now_ms(gate->proxy);

	if (upstream != gate->upstream ||
	    (upstream != NULL &&
		upstream->entry.started_ms != gate->started_ms))
		set_upstream(gate, upstream);
	if (gate->upstream == NULL || upstream_is_leaving(gate->upstream)) {
		admission_set_open(gate->admission, false);
		return;
	}
	check_cold(gate, now_ms);
	admission_set_slots(gate->admission, gate->upstream->entry.slots);
	gate_apply_rate_limit(gate);
	refresh_cold(gate, now_ms);
	admission_set_open(gate->admission, !gate->zone_out);
	gate_poll(gate);
}

static void
handle_timer(uv_timer_t *timer)
{
	gate_poll(timer->data);
}

/*
 * Start and expire queued requests.
 */
void
gate_poll(struct gate *gate)
{
	int64_t now_ms = proxy_now_ms(gate->proxy);
	int64_t wake_ms = admission_poll(gate->admission, now_ms);

	if (wake_ms == 0)
		uv_timer_stop(gate->timer);
	else
		uv_timer_start(gate->timer, handle_timer,
		    (uint64_t)MAX(wake_ms - now_ms, 1), 0);
}

/*
 * Record a large response, and limit the number of concurrent ones to what
 * keeps the link of this host busy.
 */
void
gate_record_bulk(struct gate *gate, uint64_t bytes, int64_t run_ms)
{
	int64_t kbps = gate->proxy->settings->node.link_kbps;
	struct bulk_bounds bounds;

	if (kbps == 0)
		return;
	bounds = bulk_limit_record(&gate->bulk_limit, bytes, run_ms, kbps);
	admission_set_bulk(
	    gate->admission, bounds.concurrent, bounds.transfer_ms);
}

/*
 * Record the time of a response, as a mean over recent time.
 */
void
gate_record_latency(struct gate *gate, uint32_t latency_us)
{
	latency_mean_add(&gate->latency, latency_us, proxy_now_ms(gate->proxy));
}

/*
 * Return the load of the upstream, as reported to peers.
 */
struct load_report
gate_load_report(struct gate *gate)
{
	struct load_report report =
	    admission_report(gate->admission, proxy_now_ms(gate->proxy));
	const struct upstream *upstream = gate->upstream;

	report.latency_us = gate->latency.us;
	if (upstream != NULL) {
		const struct upstream_notice *notice = &upstream->notice;

		report.rate_limit_known = notice->known;
		if (notice->has_rate_limit)
			report.rate_limit_per_ks =
			    MAX(notice->rate_limit_per_ks, 1);
	}
	report.lag_ms = loop_lag_expected_ms(gate->proxy->loop_lag);
	if (gate->proxy->stopping ||
	    gate->mismatch_until_ms > proxy_now_ms(gate->proxy))
		report.accepting = false;
	return report;
}
