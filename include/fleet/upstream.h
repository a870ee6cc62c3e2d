#ifndef TREFOILHILL_FLEET_UPSTREAM_H
#define TREFOILHILL_FLEET_UPSTREAM_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* What an upstream says of itself in its registration. */
struct upstream_entry {
	char *id;
	char *service;
	char *zone;
	struct sockaddr_in address;
	uint32_t slots; /* requests that it works on at once */
	bool draining;
	uint32_t cold_ms; /* how much longer it was cold when it wrote this */
	uint64_t started_ms; /* Unix time of its start; 0: not told */
	uint64_t sequence;   /* counts its own reports since its start */
};

/* Last word of the guard beside an upstream, see docs/PLATFORM.md. */
struct load_report {
	uint32_t limit; /* requests that may run at once now */
	uint32_t in_flight;
	uint32_t queued;
	uint32_t latency_us;       /* recent mean of good answers */
	uint32_t failing;          /* of a thousand recent requests */
	uint32_t bulk_waiting;     /* large answers that wait for the link */
	uint32_t bulk_transfer_ms; /* that the link takes for one */
	bool accepting;
};

/* The node beside one or more upstreams, met at its host's address. */
struct fleet_peer {
	int refs;
	struct in_addr host;
	char *zone;
	struct http_pool *pool; /* of the data path; NULL until it is used */
	uint32_t losses;        /* in a row */
	int64_t avoid_until_ms;
	int64_t heard_ms; /* last answer or heartbeat; 0: never */
	bool stopping;    /* it said that it is shutting down */
};

/* One registered upstream with what this node knows of it; counted. */
struct upstream {
	int refs;
	struct upstream_entry entry;
	struct fleet_peer *peer;
	bool listed;        /* false once the registration is gone */
	int64_t gone_at_ms; /* a removal in doubt takes effect then; 0: none */
	int64_t cold_until_ms;
	struct load_report load;
	int64_t load_ms;      /* when the report came; 0: never */
	uint32_t own_at_load; /* own requests in flight when it came */
	uint32_t own;         /* own requests in flight now */
};

void upstream_entry_clear(struct upstream_entry *entry);
struct upstream *upstream_new(
    struct upstream_entry *entry, struct fleet_peer *peer);
struct upstream *upstream_ref(struct upstream *upstream);
void upstream_unref(struct upstream *upstream);
/* Take over what a newer registration says. */
void upstream_update(
    struct upstream *upstream, struct upstream_entry *entry, int64_t now_ms);
/* False: it comes from an earlier start or is older than what is known. */
bool upstream_is_news(
    const struct upstream *upstream, const struct upstream_entry *entry);
void upstream_learn(
    struct upstream *upstream, const struct load_report *load, int64_t now_ms);

struct fleet_peer *fleet_peer_new(struct in_addr host, const char *zone);
struct fleet_peer *fleet_peer_ref(struct fleet_peer *peer);
void fleet_peer_unref(struct fleet_peer *peer);
/* An exchange with the peer failed, or went well. */
void fleet_peer_lost(struct fleet_peer *peer, int64_t now_ms);
void fleet_peer_heard(struct fleet_peer *peer, int64_t now_ms);
bool fleet_peer_is_avoided(const struct fleet_peer *peer, int64_t now_ms);

#endif
