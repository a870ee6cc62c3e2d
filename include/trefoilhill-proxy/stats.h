#ifndef TREFOILHILL_TREFOILHILL_PROXY_STATS_H
#define TREFOILHILL_TREFOILHILL_PROXY_STATS_H

#include <glib.h>

#include "common/counter.h"

enum proxy_counter {
	STAT_REQUESTS,
	STAT_PEER_REQUESTS,
	STAT_ANSWERED,
	STAT_ANSWERED_FAILURE,
	STAT_REFUSED,
	STAT_NO_ROUTE,
	STAT_FAILED,
	STAT_TRUNCATED,
	STAT_CALLER_GONE,
	STAT_BAD_REQUESTS,
	STAT_ATTEMPTS_LOCAL,
	STAT_ATTEMPTS_REMOTE,
	STAT_ATTEMPTS_NOT_RUN,
	STAT_ATTEMPTS_UNKNOWN,
	STAT_RETRIES,
	STAT_RETRIES_DENIED,
	STAT_HEDGES,
	STAT_HEDGES_WON,
	STAT_HEDGES_NO_ROOM,
	STAT_HEDGES_NO_BUDGET,
	STAT_REFUSED_NO_ROOM,
	STAT_RETRIES_NO_ROOM,
	STAT_CHOICES_GOOD,
	STAT_CHOICES_COLD,
	STAT_CHOICES_FAILING,
	STAT_CHOICES_UNREACHABLE,
	STAT_CHOICES_REFRESH,
	STAT_RESETS_FULL,
	STAT_UPSTREAM_CONNECTIONS,
	STAT_UPSTREAM_CRASHES,
	STAT_COLD_CHECKS,
	STAT_QUARANTINED,
	STAT_REFUSED_KEY_MISSING,
	STAT_REFUSED_KEY_UNKNOWN,
	STAT_REFUSED_KEY_UNCONFIRMED,
	STAT_REFUSED_QUOTA,
	STAT_RESPONSES_DISCARDED,
	STAT_RESPONSES_MALFORMED,
	STAT_RESPONSES_CUT_EARLY,
	STAT_STORE_READS,
	STAT_STORE_FAILURES,
	STAT_READERS_ASKED,
	STAT_POSITIONS_UNKNOWN,
	STAT_HEARTBEATS,
	STAT_HEARTBEATS_LOST,
	STAT_CALLER_CONNECTIONS,
	STAT_RETURNS_PROMISED,
	STAT_PIPELINED_REQUESTS,
	STAT_UNSENT_CALLER_GONE,
	STAT_UNSENT_DEADLINE,
	STAT_REFUSED_LAG,
	STAT_CONFIG_SLICES,
	STAT_CONFIG_SUPERSEDED,
	STAT_COUNT,
};

/* Latency histogram with bucket bounds at powers of two, milliseconds. */
enum {
	LATENCY_BUCKETS = 16,
};

enum latency_part {
	LATENCY_TOTAL,    /* from the request head to the end of the response */
	LATENCY_QUEUE,    /* in the gate's queue */
	LATENCY_UPSTREAM, /* from sending to the end of the response */
	LATENCY_REPORT_AGE,     /* of the load report that a choice used */
	LATENCY_QUEUE_EXPECTED, /* in the gate's queue, when it was queued */
	LATENCY_RETURN,         /* told to refused callers in Retry-After */
	LATENCY_LOOP,           /* lag of an iteration of the event loop */
	LATENCY_PART_COUNT,
};

struct latency_buckets {
	uint64_t counts[LATENCY_BUCKETS];
	uint64_t sum_ms;
	uint64_t count;
};

struct proxy_stats {
	struct counter_set counters;
	struct latency_buckets latency[LATENCY_PART_COUNT];
};

void proxy_stats_init(struct proxy_stats *stats);
void proxy_count(struct proxy_stats *stats, enum proxy_counter counter);
void proxy_record_latency(
    struct proxy_stats *stats, enum latency_part part, int64_t ms);
/* Append the metrics in the Prometheus text format. */
void proxy_stats_render(const struct proxy_stats *stats, GString *out);

#endif
