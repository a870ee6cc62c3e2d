#include "trefoilhill-proxy/follower.h"
#include "trefoilhill-proxy/gate.h"
#include "trefoilhill-proxy/heartbeat_private.h"
#include "trefoilhill-proxy/hop.h"
#include "trefoilhill-proxy/lost_hosts.h"
#include "trefoilhill-proxy/peer_health.h"
#include "trefoilhill-proxy/quarantine_news.h"
#include "trefoilhill-proxy/quota_link.h"

/* What a node tells of itself in heartbeats, and what it takes from others. */

enum {
	UPDATE_INTERVAL_MIN_MS = 300,    /* between updates from peers */
	EXPECTED_ITEMS_TIMEOUT_MS = 400, /* for items announced by a peer */
};

/*
 * Return the position of this node's copy of the store.
 */
struct store_position
heartbeat_own_position(const struct heartbeat *heartbeat)
{
	return replica_position(follower_replica(heartbeat->proxy->follower));
}

/*
 * Add the items that a peer at a position lacks, if any.
 */
void
heartbeat_add_missing_items(struct heartbeat *heartbeat,
    struct heartbeat_message *message, struct store_position peer)
{
	struct replica *replica = follower_replica(heartbeat->proxy->follower);
	struct store_position own = replica_position(replica);

	if (store_position_compare(own, peer) <= 0)
		return;
	message->base_revision = peer.revision;
	if (own.era == peer.era)
		message->items = replica_changes_since(replica, peer.revision);
	message->is_snapshot = message->items == NULL;
	if (message->is_snapshot)
		message->items = replica_snapshot(replica);
}

/*
 * Return a message with this node's state, to be cleared by
 * heartbeat_message_clear.
 */
struct heartbeat_message
heartbeat_make_message(struct heartbeat *heartbeat)
{
	struct proxy *proxy = heartbeat->proxy;
	const struct upstream *upstream = gate_upstream(proxy->gate);
	struct heartbeat_message message = {
		.position = heartbeat_own_position(heartbeat),
		.age_ms = follower_age_ms(proxy->follower),
		.removal_grace_ms = follower_removal_grace_ms(proxy->follower),
		.steady_ms = follower_steady_ms(proxy->follower),
		.stopping = proxy->stopping,
		.upstream =
		    upstream == NULL ? NULL : g_strdup(upstream->entry.id),
		.load = gate_load_report(proxy->gate),
	};

	if (upstream != NULL) {
		message.upstream_started_ms = upstream->entry.started_ms;
		message.upstream_leaving = upstream->notice.leaving;
	}
	quota_collect(proxy->quota, true, QUOTA_REPORTS_MAX, &message.quota,
	    proxy_now_ms(proxy));
	lost_hosts_collect(proxy, &message);
	quarantine_news_collect(proxy->quarantine_news, &message);
	return message;
}

/*
 * Record whether a peer says that it is shutting down.
 */
void
heartbeat_set_stopping(
    struct proxy *proxy, struct fleet_peer *peer, bool stopping)
{
	fleet_peer_set_stopping(peer, stopping, proxy->settings->node.grace_ms,
	    proxy_now_ms(proxy));
}

/* Take over what the sender says of its upstream, itself and others. */
static void
update_peers(
    struct heartbeat *heartbeat, const struct heartbeat_message *message)
{
	struct proxy *proxy = heartbeat->proxy;
	struct upstream *upstream =
	    catalog_upstream(proxy->catalog, str_from(message->upstream));

	if (message->upstream_leaving)
		catalog_mark_leaving(proxy->catalog,
		    str_from(message->upstream), message->upstream_started_ms);
	if (upstream == NULL || upstream == gate_upstream(proxy->gate))
		return;
	upstream_set_load(upstream, &message->load, proxy_now_ms(proxy));
	heartbeat_set_stopping(proxy, upstream->peer, message->stopping);
	peer_health_responded(proxy, upstream->peer);
	/* A node of another zone may be cut off from what is reachable here. */
	if (g_strcmp0(upstream->entry.zone, proxy->settings->node.zone.ptr) ==
	    0)
		lost_hosts_apply(proxy, message);
}

/*
 * Apply what a peer's message says.
 */
void
heartbeat_apply_message(
    struct heartbeat *heartbeat, const struct heartbeat_message *message)
{
	struct follower *follower = heartbeat->proxy->follower;
	struct store_position own = heartbeat_own_position(heartbeat);
	bool fits = message->is_snapshot ||
	    (message->position.era == own.era &&
		message->base_revision <= own.revision);
	struct follower_peer_state state = {
		.upstream = message->upstream,
		.is_snapshot = message->is_snapshot,
		.items = fits ? message->items : NULL,
		.position = message->position,
		.age_ms = message->age_ms,
		.removal_grace_ms = message->removal_grace_ms,
		.steady_ms = message->steady_ms,
	};

	if (state.items != NULL &&
	    store_position_compare(state.position, own) > 0)
		heartbeat->last_update_ms = proxy_now_ms(heartbeat->proxy);
	follower_apply_peer_state(follower, &state);
	quota_link_apply_list(heartbeat->proxy->quota_link, &message->quota);
	quarantine_news_apply(heartbeat->proxy->quarantine_news, message);
	update_peers(heartbeat, message);
}

/*
 * Keep a peer from pushing items while another peer is expected to push the
 * same ones, or shortly after an update, by reporting the peer's own position:
 * a large configuration takes a while to process, and the next heartbeat brings
 * the rest.
 */
static void
suppress_duplicate_push(struct heartbeat *heartbeat,
    struct heartbeat_message *response, struct store_position peer)
{
	int64_t now_ms = proxy_now_ms(heartbeat->proxy);

	if (store_position_compare(peer, response->position) <= 0)
		return;
	if ((heartbeat->expected_until_ms > now_ms &&
		store_position_compare(heartbeat->expected, peer) >= 0) ||
	    now_ms - heartbeat->last_update_ms < UPDATE_INTERVAL_MIN_MS) {
		response->position = peer;
		response->age_ms = -1;
		return;
	}
	heartbeat->expected = peer;
	heartbeat->expected_until_ms = now_ms + EXPECTED_ITEMS_TIMEOUT_MS;
}

/*
 * Apply a peer's heartbeat. Returns the response body, to be released with
 * g_bytes_unref, or NULL if the heartbeat is malformed.
 */
GBytes *
heartbeat_handle_request(
    struct heartbeat *heartbeat, const struct http_head *head, struct str body)
{
	struct heartbeat_message message, response;
	uint32_t read_ttl = hop_read_read_ttl(head);
	GBytes *bytes;

	if (!heartbeat_message_decode(body, &message))
		return NULL;
	message.load.lag_ms = hop_read_lag(head);
	heartbeat_apply_message(heartbeat, &message);
	if (read_ttl > 0)
		follower_read_for_peer(heartbeat->proxy->follower, read_ttl);
	response = heartbeat_make_message(heartbeat);
	heartbeat_add_missing_items(heartbeat, &response, message.position);
	if (message.quarantine_hash != response.quarantine_hash)
		quarantine_news_collect_all(
		    heartbeat->proxy->quarantine_news, &response);
	suppress_duplicate_push(heartbeat, &response, message.position);
	bytes = heartbeat_message_encode(&response);
	heartbeat_message_clear(&response);
	heartbeat_message_clear(&message);
	return bytes;
}
