#include "fleet/upstream.h"
#include "http/pool.h"

enum {
	/* A lost peer is tried again after this, doubled for each loss. */
	AVOID_FIRST_MS = 200,
	AVOID_MAX_MS = 1600,
	AVOID_DOUBLINGS_MAX = 3,
};

/*
 * Free what an entry holds.
 */
void
upstream_entry_clear(struct upstream_entry *entry)
{
	g_clear_pointer(&entry->id, g_free);
	g_clear_pointer(&entry->service, g_free);
	g_clear_pointer(&entry->zone, g_free);
}

/*
 * Return a listed upstream. The entry's strings are taken over, the peer gets
 * one more reference.
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
 * Take one more reference.
 */
struct upstream *
upstream_ref(struct upstream *upstream)
{
	upstream->refs++;
	return upstream;
}

/*
 * Give a reference back. NULL is allowed.
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
 * Tell whether a registration is newer than what is known: reports of an
 * earlier start, or out of order, may still arrive.
 */
bool
upstream_is_news(
    const struct upstream *upstream, const struct upstream_entry *entry)
{
	const struct upstream_entry *known = &upstream->entry;

	if (entry->started_ms != known->started_ms)
		return entry->started_ms > known->started_ms;
	return entry->sequence >= known->sequence;
}

/*
 * Take over a newer registration, whose strings become the upstream's.
 */
void
upstream_update(
    struct upstream *upstream, struct upstream_entry *entry, int64_t now_ms)
{
	upstream_entry_clear(&upstream->entry);
	upstream->entry = *entry;
	*entry = (struct upstream_entry){ 0 };
	upstream->listed = true;
	upstream->gone_at_ms = 0;
	upstream->cold_until_ms = now_ms + upstream->entry.cold_ms;
}

/*
 * Take over the word of the guard beside the upstream.
 */
void
upstream_learn(
    struct upstream *upstream, const struct load_report *load, int64_t now_ms)
{
	upstream->load = *load;
	upstream->load_ms = now_ms;
	upstream->own_at_load = upstream->own;
}

/*
 * Return a peer that nothing is known of.
 */
struct fleet_peer *
fleet_peer_new(struct in_addr host, const char *zone)
{
	struct fleet_peer *peer = g_new0(struct fleet_peer, 1);

	peer->refs = 1;
	peer->host = host;
	peer->zone = g_strdup(zone);
	return peer;
}

/*
 * Take one more reference.
 */
struct fleet_peer *
fleet_peer_ref(struct fleet_peer *peer)
{
	peer->refs++;
	return peer;
}

/*
 * Give a reference back. NULL is allowed.
 */
void
fleet_peer_unref(struct fleet_peer *peer)
{
	if (peer == NULL || --peer->refs > 0)
		return;
	http_pool_free(peer->pool);
	g_free(peer->zone);
	g_free(peer);
}

/*
 * Note that the peer did not answer: it is avoided for a while, longer each
 * time in a row.
 */
void
fleet_peer_lost(struct fleet_peer *peer, int64_t now_ms)
{
	uint32_t doublings = MIN(peer->losses, AVOID_DOUBLINGS_MAX);

	peer->losses++;
	peer->avoid_until_ms =
	    now_ms + MIN(AVOID_FIRST_MS << doublings, AVOID_MAX_MS);
	if (peer->pool != NULL)
		http_pool_flush(peer->pool);
}

/*
 * Note a sign of life.
 */
void
fleet_peer_heard(struct fleet_peer *peer, int64_t now_ms)
{
	peer->losses = 0;
	peer->avoid_until_ms = 0;
	peer->heard_ms = now_ms;
}

/*
 * Tell whether the peer was lost a moment ago.
 */
bool
fleet_peer_is_avoided(const struct fleet_peer *peer, int64_t now_ms)
{
	return peer->avoid_until_ms > now_ms;
}
