#include "trefoilhill-proxy/stats.h"

static const struct counter_desc descs[STAT_COUNT] = {
	[STAT_REQUESTS] = { "trefoilhill_requests_total{from=\"caller\"}",
	    "Requests by where they came from" },
	[STAT_PEER_REQUESTS] = { "trefoilhill_requests_total{from=\"peer\"}",
	    "Requests by where they came from" },
	[STAT_ANSWERED] = { "trefoilhill_ended_total{outcome=\"answered\"}",
	    "Callers' requests by how they ended" },
	[STAT_ANSWERED_FAILURE] = { "trefoilhill_ended_total{outcome=\"upstream_failure\"}",
	    "Callers' requests by how they ended" },
	[STAT_REFUSED] = { "trefoilhill_ended_total{outcome=\"refused\"}",
	    "Callers' requests by how they ended" },
	[STAT_NO_ROUTE] = { "trefoilhill_ended_total{outcome=\"no_route\"}",
	    "Callers' requests by how they ended" },
	[STAT_FAILED] = { "trefoilhill_ended_total{outcome=\"failed\"}",
	    "Callers' requests by how they ended" },
	[STAT_TRUNCATED] = { "trefoilhill_ended_total{outcome=\"cut\"}",
	    "Callers' requests by how they ended" },
	[STAT_CALLER_GONE] = { "trefoilhill_ended_total{outcome=\"caller_gone\"}",
	    "Callers' requests by how they ended" },
	[STAT_BAD_REQUESTS] = { "trefoilhill_ended_total{outcome=\"bad_request\"}",
	    "Callers' requests by how they ended" },
	[STAT_ATTEMPTS_LOCAL] = { "trefoilhill_attempts_total{to=\"local\"}",
	    "Sends by where the upstream is" },
	[STAT_ATTEMPTS_REMOTE] = { "trefoilhill_attempts_total{to=\"peer\"}",
	    "Sends by where the upstream is" },
	[STAT_ATTEMPTS_NOT_RUN] = { "trefoilhill_attempts_failed_total{fate=\"not_run\"}",
	    "Sends without an answer by what is known of them" },
	[STAT_ATTEMPTS_UNKNOWN] = { "trefoilhill_attempts_failed_total{fate=\"unknown\"}",
	    "Sends without an answer by what is known of them" },
	[STAT_RETRIES] = { "trefoilhill_repeats_total",
	    "Requests sent to one more upstream" },
	[STAT_RETRIES_DENIED] = { "trefoilhill_repeats_denied_total",
	    "Repeats that the budget did not allow" },
	[STAT_HEDGES] = { "trefoilhill_hedges_total",
	    "Repeats beside an attempt that had not answered" },
	[STAT_HEDGES_WON] = { "trefoilhill_hedges_ended_total{outcome=\"won\"}",
	    "Hedges by what came of them" },
	[STAT_HEDGES_NO_ROOM] = { "trefoilhill_hedges_ended_total{outcome=\"no_room\"}",
	    "Hedges by what came of them" },
	[STAT_HEDGES_NO_BUDGET] = { "trefoilhill_hedges_ended_total{outcome=\"no_budget\"}",
	    "Hedges by what came of them" },
	[STAT_REFUSED_NO_ROOM] = { "trefoilhill_refused_no_room_total",
	    "Callers' requests refused as no upstream had a place in time" },
	[STAT_RETRIES_NO_ROOM] = { "trefoilhill_repeats_no_room_total",
	    "Repeats not sent as the service is short of capacity" },
	[STAT_CHOICES_GOOD] = { "trefoilhill_choices_total{class=\"good\"}",
	    "Choices of an upstream by its class" },
	[STAT_CHOICES_COLD] = { "trefoilhill_choices_total{class=\"cold\"}",
	    "Choices of an upstream by its class" },
	[STAT_CHOICES_FAILING] = { "trefoilhill_choices_total{class=\"failing\"}",
	    "Choices of an upstream by its class" },
	[STAT_CHOICES_UNREACHABLE] = { "trefoilhill_choices_total{class=\"unreachable\"}",
	    "Choices of an upstream by its class" },
	[STAT_CHOICES_REFRESH] = { "trefoilhill_choices_total{class=\"refresh\"}",
	    "Choices of an upstream by its class" },
	[STAT_RESETS_FULL] = { "trefoilhill_upstream_resets_full_total",
	    "Connections reset by the upstream while it was full" },
	[STAT_UPSTREAM_CONNECTIONS] = { "trefoilhill_upstream_connections_total",
	    "Connections opened to the upstream" },
	[STAT_UPSTREAM_CRASHES] = { "trefoilhill_upstream_crashes_total",
	    "Crashes of the upstream while requests were in progress" },
	[STAT_COLD_CHECKS] = { "trefoilhill_upstream_cold_checks_total",
	    "Questions to the upstream whether it is cold, as the store can't tell" },
	[STAT_QUARANTINED] = { "trefoilhill_quarantined_total",
	    "Callers' requests not run because they crash upstreams" },
	[STAT_REFUSED_KEY_MISSING] = { "trefoilhill_refused_key_total{reason=\"missing\"}",
	    "Callers' requests refused for want of a known key" },
	[STAT_REFUSED_KEY_UNKNOWN] = { "trefoilhill_refused_key_total{reason=\"unknown\"}",
	    "Callers' requests refused for want of a known key" },
	[STAT_REFUSED_KEY_UNCONFIRMED] = { "trefoilhill_refused_key_total{reason=\"unconfirmed\"}",
	    "Callers' requests refused for want of a known key" },
	[STAT_REFUSED_QUOTA] = { "trefoilhill_refused_quota_total",
	    "Callers' requests above the limit of their workspace" },
	[STAT_RESPONSES_DISCARDED] = { "trefoilhill_answers_discarded_total",
	    "Upstream answers that belonged to no request in progress" },
	[STAT_RESPONSES_MALFORMED] = { "trefoilhill_answers_malformed_total",
	    "Answers of upstreams and peers that are no HTTP/1.1" },
	[STAT_RESPONSES_CUT_EARLY] = { "trefoilhill_answers_cut_early_total",
	    "Answers that broke off while their request was being written" },
	[STAT_STORE_READS] = { "trefoilhill_store_reads_total",
	    "Reads of the platform" },
	[STAT_STORE_FAILURES] = { "trefoilhill_store_failures_total",
	    "Reads of the platform without a useful answer" },
	[STAT_READERS_ASKED] = { "trefoilhill_store_readers_asked_total",
	    "Nodes asked to read the platform in place of this one" },
	[STAT_POSITIONS_UNKNOWN] = { "trefoilhill_positions_unknown_total",
	    "Revisions that peers told of and the platform does not know" },
	[STAT_HEARTBEATS] = { "trefoilhill_heartbeats_total",
	    "Heartbeats sent" },
	[STAT_HEARTBEATS_LOST] = { "trefoilhill_heartbeats_lost_total",
	    "Heartbeats without an answer" },
	[STAT_CALLER_CONNECTIONS] = { "trefoilhill_caller_connections_total",
	    "Connections accepted from callers" },
	[STAT_RETURNS_PROMISED] = { "trefoilhill_returns_promised_total",
	    "Refused callers that were told when to return" },
	[STAT_PIPELINED_REQUESTS] = { "trefoilhill_pipelined_requests_total",
	    "Callers' requests that came before an earlier one was answered" },
	[STAT_UNSENT_CALLER_GONE] = { "trefoilhill_unsent_total{reason=\"caller_gone\"}",
	    "Requests not sent as nobody waits for the response" },
	[STAT_UNSENT_DEADLINE] = { "trefoilhill_unsent_total{reason=\"deadline\"}",
	    "Requests not sent as nobody waits for the response" },
	[STAT_REFUSED_LAG] = { "trefoilhill_refused_lag_total",
	    "Requests refused as this node lags too far for their deadline" },
	[STAT_CONFIG_SLICES] = { "trefoilhill_config_slices_total",
	    "Slices in which large configurations were decoded" },
	[STAT_CONFIG_SUPERSEDED] = { "trefoilhill_config_superseded_total",
	    "Configurations dropped for a newer one while they were decoded" },
};

static const char *const part_names[] = {
	[LATENCY_TOTAL] = "total",
	[LATENCY_QUEUE] = "queue",
	[LATENCY_UPSTREAM] = "upstream",
	[LATENCY_REPORT_AGE] = "report_age",
	[LATENCY_QUEUE_EXPECTED] = "queue_expected",
	[LATENCY_RETURN] = "return",
	[LATENCY_LOOP] = "loop",
};

/*
 * Reset all metrics to zero.
 */
void
proxy_stats_init(struct proxy_stats *stats)
{
	*stats = (struct proxy_stats){ 0 };
	counter_set_init(&stats->counters, descs, STAT_COUNT);
}

/*
 * Count one event.
 */
void
proxy_count(struct proxy_stats *stats, enum proxy_counter counter)
{
	counter_add(&stats->counters, counter, 1);
}

/*
 * Record a latency, in milliseconds.
 */
void
proxy_record_latency(
    struct proxy_stats *stats, enum latency_part part, int64_t ms)
{
	struct latency_buckets *buckets = &stats->latency[part];
	size_t index = 0;

	ms = MAX(ms, 0);
	while (index + 1 < LATENCY_BUCKETS && ms >= (int64_t)1 << index)
		index++;
	buckets->counts[index]++;
	buckets->sum_ms += (uint64_t)ms;
	buckets->count++;
}

static void
render_latency(
    const struct latency_buckets *buckets, const char *part, GString *out)
{
	static const char name[] = "trefoilhill_latency_ms";
	uint64_t cumulative = 0;

	for (size_t i = 0; i + 1 < LATENCY_BUCKETS; i++) {
		cumulative += buckets->counts[i];
		g_string_append_printf(out,
		    "%s_bucket{part=\"%s\",le=\"%u\"} %" G_GUINT64_FORMAT "\n",
		    name, part, 1u << i, (guint64)cumulative);
	}
	g_string_append_printf(out,
	    "%s_bucket{part=\"%s\",le=\"+Inf\"} %" G_GUINT64_FORMAT "\n"
	    "%s_sum{part=\"%s\"} %" G_GUINT64_FORMAT "\n"
	    "%s_count{part=\"%s\"} %" G_GUINT64_FORMAT "\n",
	    name, part, (guint64)buckets->count, name, part,
	    (guint64)buckets->sum_ms, name, part, (guint64)buckets->count);
}

/*
 * Append all metrics in the Prometheus text format.
 */
void
proxy_stats_render(const struct proxy_stats *stats, GString *out)
{
	counter_set_render(&stats->counters, out);
	for (size_t i = 0; i < LATENCY_PART_COUNT; i++)
		render_latency(&stats->latency[i], part_names[i], out);
}
