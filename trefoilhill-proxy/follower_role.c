#include <arpa/inet.h>

#include "trefoilhill-proxy/follower_private.h"
#include "trefoilhill-proxy/heartbeat.h"

enum {
	/*
	 * A watch may stall without being closed, so watches are limited in
	 * time. All readers together start a new one about this often, and
	 * share the changes that they get.
	 */
	FLEET_WATCH_INTERVAL_MS = 400,
	WATCH_WAIT_MIN_MS = 1500,
	WATCH_WAIT_MAX_MS = 20000,
	/*
	 * After a change a reader waits, so that successive changes share a
	 * read. The more readers there are, the sooner another one reads, and
	 * passes the change on.
	 */
	CHANGE_BATCH_READER_MS = 100,
	CHANGE_BATCH_MIN_MS = 400,
	CHANGE_BATCH_MAX_MS = 600,
	/*
	 * The grace period; upstreams register again about two seconds after
	 * the store is back.
	 */
	GRACE_MAX_MS = 2000,
	/*
	 * A registration may also have ended because the upstream stops, which
	 * takes requests for drain_ms; this is for news to reach all nodes.
	 */
	GRACE_MARGIN_MS = 300,
	/* A copy without confirmation for longer is stale. */
	CONFIRMATION_MAX_AGE_MS = 3000,
};

/*
 * Log an event of the store connection or of this node's role.
 */
void
follower_log(struct follower *follower, const char *event, const char *reason,
    int64_t age_ms)
{
	struct json_line *line =
	    json_log_begin(follower->proxy->log, LOG_CLASS_STATE, event);

	json_line_cstr(line, "reason", reason);
	json_line_int(line, "age_ms", age_ms);
	json_line_int(
	    line, "era", (int64_t)replica_position(follower->replica).era);
	json_line_int(
	    line, "revision", (int64_t)replica_revision(follower->replica));
	json_log_end(line);
}

/*
 * Return the number of known hosts, including this one.
 */
uint32_t
follower_peer_count(const struct follower *follower)
{
	return g_hash_table_size(catalog_peers(follower->proxy->catalog));
}

/* Return the other usable hosts of this node's zone, as struct in_addr. */
static GArray *
usable_hosts(const struct follower *follower)
{
	const struct proxy *proxy = follower->proxy;
	GArray *hosts = g_array_new(FALSE, FALSE, sizeof(struct in_addr));
	int64_t now_ms = proxy_now_ms(proxy);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, catalog_peers(proxy->catalog));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fleet_peer *peer = value;

		if (peer->host.s_addr != proxy->host.s_addr &&
		    g_strcmp0(peer->zone->name,
			proxy->settings->node.zone.ptr) == 0 &&
		    !fleet_peer_is_stopping(peer, now_ms) &&
		    !fleet_peer_is_avoided(peer, now_ms))
			g_array_append_val(hosts, peer->host);
	}
	return hosts;
}

/*
 * Tell whether this node is among the first live nodes of its zone by rank.
 */
bool
follower_ranks_as_reader(const struct follower *follower)
{
	uint32_t own = reader_lane_rank(follower->proxy->host);
	GArray *hosts = usable_hosts(follower);
	uint32_t ahead = 0;

	for (guint i = 0; i < hosts->len; i++)
		if (reader_lane_rank(g_array_index(hosts, struct in_addr, i)) <
		    own)
			ahead++;
	g_array_unref(hosts);
	return ahead < follower->proxy->settings->mesh.readers_per_zone;
}

/*
 * Ask the node a number of places behind this one in its lane to read the store
 * in this node's place, and up to ttl - 1 more after it.
 */
void
follower_ask_to_read(struct follower *follower, uint32_t ttl, uint32_t places)
{
	struct proxy *proxy = follower->proxy;
	GArray *hosts = usable_hosts(follower);
	char text[INET_ADDRSTRLEN] = "";
	struct in_addr host;
	bool found = reader_lane_find(proxy->host,
	    (struct in_addr *)(void *)hosts->data, hosts->len,
	    proxy->settings->mesh.readers_per_zone, places, &host);

	g_array_unref(hosts);
	if (!found)
		return;
	inet_ntop(AF_INET, &host, text, sizeof(text));
	follower_log(follower, "reader_asked", text, follower_age_ms(follower));
	proxy_count(&proxy->stats, STAT_READERS_ASKED);
	heartbeat_ask_to_read(proxy->heartbeat, host, ttl, places);
}

/*
 * Find the host before this node's own in its lane, to be pinged, and read the
 * store in its place if it hasn't responded.
 */
bool
follower_check_ahead(struct follower *follower, struct in_addr *host)
{
	const struct proxy *proxy = follower->proxy;
	GArray *hosts = usable_hosts(follower);
	int64_t now_ms = proxy_now_ms(proxy);
	bool found = reader_lane_find_ahead(proxy->host,
	    (struct in_addr *)(void *)hosts->data, hosts->len,
	    proxy->settings->mesh.readers_per_zone, host);

	g_array_unref(hosts);
	if (!found)
		return false;
	reader_lane_pinged(&follower->lane, *host, now_ms);
	if (reader_lane_check_ahead(
		&follower->lane, follower_age_ms(follower), now_ms))
		follower_read_next(follower);
	return true;
}

/*
 * Record that a host has responded to a heartbeat.
 */
void
follower_host_responded(struct follower *follower, struct in_addr host)
{
	reader_lane_responded(&follower->lane, host);
}

/*
 * Tell whether the last confirmation of the copy is too old.
 */
bool
follower_is_stale(const struct follower *follower)
{
	return proxy_now_ms(follower->proxy) - follower->outage.confirmed_ms >
	    CONFIRMATION_MAX_AGE_MS + follower->stale_jitter_ms;
}

/*
 * Update whether this node is one of the readers of its zone.
 */
void
follower_update_role(struct follower *follower)
{
	bool by_rank = follower_ranks_as_reader(follower);
	bool is_reader = by_rank ||
	    reader_lane_is_substitute(
		&follower->lane, proxy_now_ms(follower->proxy));

	if (is_reader != follower->is_reader)
		follower_log(follower,
		    is_reader ? "reader_began" : "reader_ended",
		    is_reader && !by_rank ? "in another's place"
					  : "rank in the zone",
		    follower_age_ms(follower));
	follower->is_reader = is_reader;
}

static uint32_t
reader_count(const struct follower *follower)
{
	const struct proxy *proxy = follower->proxy;

	return MIN(follower_peer_count(follower),
	    proxy->settings->mesh.readers_per_zone *
		catalog_zone_count(proxy->catalog));
}

/*
 * Return how long to wait after a change until the next read.
 */
uint32_t
follower_change_batch_ms(const struct follower *follower)
{
	uint32_t ms = reader_count(follower) * CHANGE_BATCH_READER_MS;

	return CLAMP(
	    ms, (uint32_t)CHANGE_BATCH_MIN_MS, (uint32_t)CHANGE_BATCH_MAX_MS);
}

/*
 * Return the timeout of the next watch. It is random, since a change ends the
 * watches of all readers at the same time.
 */
uint32_t
follower_watch_wait_ms(const struct follower *follower)
{
	uint32_t max_ms =
	    CLAMP(reader_count(follower) * FLEET_WATCH_INTERVAL_MS,
		WATCH_WAIT_MIN_MS, WATCH_WAIT_MAX_MS);

	return max_ms / 4 +
	    (uint32_t)rng_below(follower->proxy->rng, max_ms * 3 / 4);
}

/*
 * Return for how long registrations that ended in an outage of the store are
 * kept.
 */
uint32_t
follower_outage_grace_ms(const struct follower *follower)
{
	uint32_t drain_ms = follower->proxy->settings->mesh.drain_ms;

	return MIN(MAX(drain_ms, GRACE_MARGIN_MS) - GRACE_MARGIN_MS,
	    (uint32_t)GRACE_MAX_MS);
}
