#ifndef TREFOILHILL_FLEET_UPSTREAM_H
#define TREFOILHILL_FLEET_UPSTREAM_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "fleet/fleet_zone.h"
#include "fleet/upstream_notice.h"

/* An upstream's own registration. */
struct upstream_entry {
	char *id;
	char *service;
	char *zone;
	struct sockaddr_in address;
	uint32_t slots; /* requests that it processes concurrently */
	bool draining;
	uint32_t cold_ms;    /* cold-start time left when this was written */
	uint64_t started_ms; /* Unix time of its start; 0: not reported */
	uint64_t sequence;   /* number of this report since its start */
};

/* Latest load report of an upstream's guard, see docs/PLATFORM.md. */
struct load_report {
	uint32_t limit; /* current concurrency limit */
	uint32_t in_flight;
	uint32_t queued;
	uint32_t latency_us; /* recent mean of successful responses; 0: none */
	/*
	 * Age of its last result; UINT32_MAX: none. 0 in reports that don't
	 * carry it: those of heartbeats and of earlier versions.
	 */
	uint32_t latency_age_ms;
	uint32_t failures_per_mille; /* of recent requests */
	uint32_t bulk_waiting;       /* large responses queued for the link */
	uint32_t bulk_transfer_ms;   /* link time of one large response */
	/*
	 * Limit that the upstream has named, in requests per 1,000 seconds
	 * from all nodes together, and the wait of one more request by it; 0:
	 * none. Unless its node has heard from the upstream since the node's
	 * start, it knows of no limit.
	 */
	bool rate_limit_known;
	uint32_t rate_limit_per_ks;
	uint32_t rate_wait_ms;
	uint32_t lag_ms; /* of its node's event loop; 0: none */
	bool accepting;
};

/* The node on the host of one or more upstreams, keyed by host address. */
struct fleet_peer {
	int refs;
	struct in_addr host;
	struct fleet_zone *zone; /* holds a reference */
	struct http_pool *pool;  /* data path; NULL until first used */
	uint32_t consecutive_failures;
	int64_t avoid_until_ms;
	int64_t last_contact_ms; /* last response or heartbeat; 0: never */
	int64_t
	    lost_ms; /* when it last did not respond, to any node; 0: none */
	int64_t stopping_until_ms; /* by its own report; 0: not stopping */
};

/* An upstream's registration and this node's state of it; ref-counted. */
struct upstream {
	int refs;
	struct upstream_entry entry;
	uint64_t replaced_start_ms; /* start before this one; 0: none known */
	struct fleet_peer *peer;
	bool listed;          /* false once removed from the catalog */
	bool configured;      /* its service has been in a configuration */
	int64_t remove_at_ms; /* end of the grace period; 0: none runs */
	int64_t cold_until_ms;
	struct upstream_notice notice; /* in its latest response */
	struct load_report load;
	int64_t load_ms; /* when load was received; 0: never */
	/* Last report after which the latency may have changed; 0: none. */
	int64_t latency_ms;
	/* This node's requests in flight at load_ms, and now. */
	uint32_t own_in_flight_at_load;
	uint32_t own_in_flight;
};

void upstream_entry_clear(struct upstream_entry *entry);
struct upstream *upstream_new(
    struct upstream_entry *entry, struct fleet_peer *peer);
struct upstream *upstream_ref(struct upstream *upstream);
void upstream_unref(struct upstream *upstream);
/* Replace the entry with a newer registration. */
void upstream_update(
    struct upstream *upstream, struct upstream_entry *entry, int64_t now_ms);
/* Does it drain, or has it announced in a response that it leaves? */
bool upstream_is_leaving(const struct upstream *upstream);
/*
 * False if the entry is from an earlier start, or of a lower sequence number.
 * from_backup: the store has it from a backup, so that it may be older than its
 * revision says.
 */
bool upstream_entry_is_current(const struct upstream *upstream,
    const struct upstream_entry *entry, bool from_backup);
void upstream_set_load(
    struct upstream *upstream, const struct load_report *load, int64_t now_ms);

struct fleet_peer *fleet_peer_new(struct in_addr host, struct fleet_zone *zone);
struct fleet_peer *fleet_peer_ref(struct fleet_peer *peer);
void fleet_peer_unref(struct fleet_peer *peer);
/*
 * Record that an exchange with the peer failed, or that it responded. True if
 * that changes whether its zone is suspected.
 */
bool fleet_peer_mark_failed(struct fleet_peer *peer, int64_t now_ms);
bool fleet_peer_mark_alive(struct fleet_peer *peer, int64_t now_ms);
/*
 * A node nearby reports that the peer did not respond age_ms ago. Ignored if it
 * has responded to this node since then.
 */
void fleet_peer_mark_reported_lost(
    struct fleet_peer *peer, uint32_t age_ms, int64_t now_ms);
/*
 * How long ago the peer was lost, for other nodes; -1 if it isn't, or too long
 * ago to tell.
 */
int64_t fleet_peer_lost_age_ms(const struct fleet_peer *peer, int64_t now_ms);
/*
 * Record the peer's report of whether it is shutting down, which takes up to
 * grace_ms. A report may be the last one for long.
 */
void fleet_peer_set_stopping(
    struct fleet_peer *peer, bool stopping, uint32_t grace_ms, int64_t now_ms);
bool fleet_peer_is_stopping(const struct fleet_peer *peer, int64_t now_ms);
/* Is the peer avoided after its own failures, or with its whole zone? */
bool fleet_peer_is_avoided(const struct fleet_peer *peer, int64_t now_ms);

#endif
