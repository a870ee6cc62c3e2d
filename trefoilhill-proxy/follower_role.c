#include "trefoilhill-proxy/follower_private.h"

enum {
	/*
	 * A watch may go silent without being closed. All readers together ask
	 * anew about this often, and tell each other what they find.
	 */
	FLEET_ASKS_EACH_MS = 400,
	WATCH_WAIT_MIN_MS = 1500,
	WATCH_WAIT_MAX_MS = 20000,
	ZONES_USUAL = 3, /* of a region */
	/* A copy that was not confirmed for so long is doubted. */
	STALE_MS = 3000,
};

/*
 * Log a change of what is known of the store.
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
	    line, "revision", (int64_t)replica_revision(follower->replica));
	json_log_end(line);
}

/*
 * Return how many hosts are known, this one among them.
 */
uint32_t
follower_peer_count(const struct follower *follower)
{
	return g_hash_table_size(catalog_peers(follower->proxy->catalog));
}

/* Places of hosts in an order that every node works out alike. */
static uint32_t
host_rank(struct in_addr host)
{
	uint64_t mixed = host.s_addr * UINT64_C(0x9e3779b97f4a7c15);

	return (uint32_t)(mixed >> 32);
}

/* Is this node one of the first of its zone, by rank, that are alive? */
static bool
is_reader(const struct follower *follower)
{
	const struct proxy *proxy = follower->proxy;
	uint32_t own = host_rank(proxy->host);
	int64_t now_ms = proxy_now_ms(proxy);
	uint32_t before = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, catalog_peers(proxy->catalog));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fleet_peer *peer = value;

		if (g_strcmp0(peer->zone, proxy->settings->node.zone.ptr) ==
			0 &&
		    host_rank(peer->host) < own && !peer->stopping &&
		    !fleet_peer_is_avoided(peer, now_ms))
			before++;
	}
	return before < proxy->settings->mesh.readers_per_zone;
}

/*
 * Tell whether nobody has confirmed the copy for too long.
 */
bool
follower_is_stale(const struct follower *follower)
{
	return proxy_now_ms(follower->proxy) - follower->fresh_ms >
	    STALE_MS + follower->stale_spread_ms;
}

/*
 * Look again whether this node is one of the readers of its zone.
 */
void
follower_take_role(struct follower *follower)
{
	bool reader = is_reader(follower);

	if (reader != follower->was_reader)
		follower_log(follower, reader ? "reader_began" : "reader_ended",
		    "rank in the zone", follower_age_ms(follower));
	follower->was_reader = reader;
}

/*
 * Return how long the next watch may wait: drawn at random, since a change
 * lets all readers ask at the same time.
 */
uint32_t
follower_watch_wait_ms(const struct follower *follower)
{
	const struct proxy *proxy = follower->proxy;
	uint32_t readers = MIN(follower_peer_count(follower),
	    proxy->settings->mesh.readers_per_zone * ZONES_USUAL);
	uint32_t most = CLAMP(
	    readers * FLEET_ASKS_EACH_MS, WATCH_WAIT_MIN_MS, WATCH_WAIT_MAX_MS);

	return most / 4 + (uint32_t)rng_below(proxy->rng, most * 3 / 4);
}
