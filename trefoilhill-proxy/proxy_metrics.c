#include "quarantine/quarantine.h"
#include "trefoilhill-proxy/caller.h"
#include "trefoilhill-proxy/connection_limits.h"
#include "trefoilhill-proxy/follower.h"
#include "trefoilhill-proxy/gate.h"
#include "trefoilhill-proxy/proxy.h"
#include "trefoilhill-proxy/quota_link.h"

static void
render_workspaces(const struct mesh_config *config, GString *out)
{
	g_string_append_printf(out,
	    "trefoilhill_workspaces %u\ntrefoilhill_workspace_keys %zu\n",
	    config == NULL ? 0 : g_hash_table_size(config->workspaces),
	    config == NULL ? 0 : key_table_count(config->keys));
}

/*
 * Append all metrics in the Prometheus text format.
 */
void
proxy_render_metrics(struct proxy *proxy, GString *out)
{
	struct replica *replica = follower_replica(proxy->follower);
	struct store_position position = replica_position(replica);
	struct load_report load = gate_load_report(proxy->gate);
	const struct upstream *upstream = gate_upstream(proxy->gate);
	struct upstream_notice notice = { 0 };

	if (upstream != NULL)
		notice = upstream->notice;
	proxy_stats_render(&proxy->stats, out);
	render_workspaces(catalog_config(proxy->catalog), out);
	service_room_render(proxy->service_room, proxy_now_ms(proxy), out);
	g_string_append_printf(out,
	    "trefoilhill_gate_limit %u\ntrefoilhill_gate_in_flight %u\n"
	    "trefoilhill_gate_queued %u\ntrefoilhill_gate_latency_us %u\n"
	    "trefoilhill_gate_failing_per_mille %u\n"
	    "trefoilhill_gate_accepting %d\ntrefoilhill_loop_lag_ms %u\n",
	    load.limit, load.in_flight, load.queued, load.latency_us,
	    load.failures_per_mille, load.accepting, load.lag_ms);
	gate_render_refusals(proxy->gate, out);
	if (notice.has_rate_limit)
		g_string_append_printf(out,
		    "trefoilhill_gate_rate_limit_per_ks %u\n",
		    notice.rate_limit_per_ks);
	g_string_append_printf(
	    out, "trefoilhill_gate_leaving %d\n", notice.leaving);
	g_string_append_printf(out, "trefoilhill_quarantine_requests %zu\n",
	    quarantine_blocked_count(proxy->quarantine));
	quota_link_render(proxy->quota_link, out);
	connection_limits_render(proxy->connection_limits, out);
	g_string_append_printf(out,
	    "trefoilhill_config_revision %" G_GUINT64_FORMAT "\n"
	    "trefoilhill_replica_era %" G_GUINT64_FORMAT "\n"
	    "trefoilhill_replica_revision %" G_GUINT64_FORMAT "\n"
	    "trefoilhill_replica_age_ms %" G_GINT64_FORMAT "\n"
	    "trefoilhill_replica_behind_ms %" G_GINT64_FORMAT "\n"
	    "trefoilhill_replica_unseen_deletions_total %" G_GUINT64_FORMAT "\n"
	    "trefoilhill_upstreams %zu\ntrefoilhill_exchanges %u\n"
	    "trefoilhill_pipeline_buffered_bytes %" G_GUINT64_FORMAT "\n"
	    "trefoilhill_log_lines_left_out_total %" G_GUINT64_FORMAT "\n",
	    (guint64)catalog_config_position(proxy->catalog).revision,
	    (guint64)position.era, (guint64)position.revision,
	    (gint64)follower_age_ms(proxy->follower),
	    (gint64)follower_behind_ms(proxy->follower),
	    (guint64)replica_unseen_deletions(replica),
	    catalog_upstream_count(proxy->catalog), proxy->exchanges,
	    (guint64)callers_buffered_bytes(proxy),
	    (guint64)json_log_left_out_count(proxy->log));
}
