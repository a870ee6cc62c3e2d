#include "fleet/upstream.h"
#include "http/pool.h"

enum {
	/* Time a peer is avoided after a failure, doubled for each further. */
	AVOID_INITIAL_MS = 200,
	AVOID_MAX_MS = 1600,
	AVOID_DOUBLINGS_MAX = 3,
	/*
	 * For which a loss is passed on between nodes, and a peer avoided that
	 * others found lost. Longer than it takes to reach all nodes of a zone.
	 */
	REPORTED_LOST_MS = 1500,
};

/*
 * Free an entry's strings; the struct itself is not freed.
 */
void
upstream_entry_clear(struct upstream_entry *entry)
{
	g_clear_pointer(&entry->id, g_free);
	g_clear_pointer(&entry->service, g_free);
	g_clear_pointer(&entry->zone, g_free);
}

/*
 * Return a new upstream with one reference. Takes over the entry's strings and
 * takes a reference to the peer.
 */
struct upstream *
upstream_new(struct upstream_entry *entry, struct fleet_peer *peer)
{
	struct upstream *upstream = g_new0(struct upstream, 1);

	upstream->refs = 1;
	upstream->entry = *entry;
	*entry = (struct upstream_entry){ 0 };
	upstream->peer = fleet_peer_ref(peer);
	upstream->listed = true;
	return upstream;
}

/*
 * Take a reference.
 */
struct upstream *
upstream_ref(struct upstream *upstream)
{
	upstream->refs++;
	return upstream;
}

/*
 * Drop a reference; the last one frees the upstream. NULL is allowed.
 */
void
upstream_unref(struct upstream *upstream)
{
	if (upstream == NULL || --upstream->refs > 0)
		return;
	upstream_entry_clear(&upstream->entry);
	fleet_peer_unref(upstream->peer);
	g_free(upstream);
}

/*
 * Tell whether a registration that the store holds now is that of the latest
 * start. Its time may be earlier than the known one, as the host's clock may
 * have been set back in between; but a late report of a start that has been
 * replaced, and one in a backup of the store, are earlier in fact.
 */
bool
upstream_entry_is_current(const struct upstream *upstream,
    const struct upstream_entry *entry, bool from_backup)
{
	const struct upstream_entry *known = &upstream->entry;

	if (entry->started_ms == known->started_ms)
		return entry->sequence >= known->sequence;
	if (entry->started_ms > known->started_ms)
		return true;
	return !from_backup && entry->started_ms != upstream->replaced_start_ms;
}

/*
 * Replace the entry with a newer registration, taking over its strings, and
 * cancel a pending removal. What was said before a later start is forgotten.
 */
void
upstream_update(
    struct upstream *upstream, struct upstream_entry *entry, int64_t now_ms)
{
	if (entry->started_ms != upstream->entry.started_ms) {
		upstream->replaced_start_ms = upstream->entry.started_ms;
		upstream->notice = (struct upstream_notice){ 0 };
		upstream->load.rate_limit_per_ks = 0;
	}
	upstream_entry_clear(&upstream->entry);
	upstream->entry = *entry;
	*entry = (struct upstream_entry){ 0 };
	upstream->listed = true;
	upstream->remove_at_ms = 0;
	upstream->cold_until_ms = now_ms + upstream->entry.cold_ms;
}

/*
 * Tell whether the upstream is to get no more requests, by its registration or
 * by what it says itself.
 */
bool
upstream_is_leaving(const struct upstream *upstream)
{
	return upstream->entry.draining || upstream->notice.leaving;
}

/*
 * Store a load report of the upstream's guard. A guard that has just started
 * may not know of a limit that the upstream has named before.
 */
void
upstream_set_load(
    struct upstream *upstream, const struct load_report *load, int64_t now_ms)
{
	uint32_t rate_limit_per_ks = upstream->load.rate_limit_per_ks;

	/* The latency of an upstream without requests tells of earlier ones. */
	if (load->latency_us != upstream->load.latency_us ||
	    load->in_flight > 0)
		upstream->latency_ms = now_ms;
	upstream->load = *load;
	if (!load->rate_limit_known)
		upstream->load.rate_limit_per_ks = rate_limit_per_ks;
	upstream->load_ms = now_ms;
	upstream->own_in_flight_at_load = upstream->own_in_flight;
}

/*
 * Return a new peer with one reference and no recorded contact.
 */
struct fleet_peer *
fleet_peer_new(struct in_addr host, struct fleet_zone *zone)
{
	struct fleet_peer *peer = g_new0(struct fleet_peer, 1);

	peer->refs = 1;
	peer->host = host;
	peer->zone = fleet_zone_ref(zone);
	return peer;
}

/*
 * Take a reference.
 */
struct fleet_peer *
fleet_peer_ref(struct fleet_peer *peer)
{
	peer->refs++;
	return peer;
}

/*
 * Drop a reference; the last one frees the peer. NULL is allowed.
 */
void
fleet_peer_unref(struct fleet_peer *peer)
{
	if (peer == NULL || --peer->refs > 0)
		return;
	http_pool_free(peer->pool);
	fleet_zone_unref(peer->zone);
	g_free(peer);
}

/*
 * Record that the peer did not respond. It is avoided for a time that grows
 * with each consecutive failure, and its idle connections are closed.
 */
bool
fleet_peer_mark_failed(struct fleet_peer *peer, int64_t now_ms)
{
	uint32_t doublings =
	    MIN(peer->consecutive_failures, AVOID_DOUBLINGS_MAX);

	peer->consecutive_failures++;
	peer->avoid_until_ms =
	    now_ms + MIN(AVOID_INITIAL_MS << doublings, AVOID_MAX_MS);
	peer->lost_ms = now_ms;
	if (peer->pool != NULL)
		http_pool_close_idle(peer->pool);
	return fleet_zone_mark_failed(peer->zone, now_ms);
}

/*
 * Record a response or heartbeat; the peer is no longer avoided.
 */
bool
fleet_peer_mark_alive(struct fleet_peer *peer, int64_t now_ms)
{
	peer->consecutive_failures = 0;
	peer->avoid_until_ms = 0;
	peer->lost_ms = 0;
	peer->last_contact_ms = now_ms;
	return fleet_zone_mark_alive(peer->zone, now_ms);
}

/*
 * Record a loss that another node has observed.
 */
void
fleet_peer_mark_reported_lost(
    struct fleet_peer *peer, uint32_t age_ms, int64_t now_ms)
{
	int64_t lost_ms = now_ms - age_ms;

	if (age_ms > REPORTED_LOST_MS || lost_ms <= peer->last_contact_ms ||
	    lost_ms <= peer->lost_ms)
		return;
	peer->lost_ms = lost_ms;
	peer->avoid_until_ms =
	    MAX(peer->avoid_until_ms, lost_ms + REPORTED_LOST_MS);
	if (peer->pool != NULL)
		http_pool_close_idle(peer->pool);
}

/*
 * Return how long ago the peer was lost.
 */
int64_t
fleet_peer_lost_age_ms(const struct fleet_peer *peer, int64_t now_ms)
{
	if (peer->lost_ms == 0 || now_ms - peer->lost_ms > REPORTED_LOST_MS)
		return -1;
	return now_ms - peer->lost_ms;
}

/*
 * Record whether the peer is shutting down.
 */
void
fleet_peer_set_stopping(
    struct fleet_peer *peer, bool stopping, uint32_t grace_ms, int64_t now_ms)
{
	if (!stopping)
		peer->stopping_until_ms = 0;
	else if (!fleet_peer_is_stopping(peer, now_ms))
		peer->stopping_until_ms = now_ms + grace_ms;
}

/*
 * Tell whether the peer is shutting down. Its grace period has ended after a
 * time, and another process may have started in its place.
 */
bool
fleet_peer_is_stopping(const struct fleet_peer *peer, int64_t now_ms)
{
	return peer->stopping_until_ms > now_ms;
}

/*
 * Tell whether the peer is still avoided after a failure, or with its zone.
 */
bool
fleet_peer_is_avoided(const struct fleet_peer *peer, int64_t now_ms)
{
	return peer->avoid_until_ms > now_ms ||
	    fleet_zone_is_suspected(peer->zone, now_ms);
}
