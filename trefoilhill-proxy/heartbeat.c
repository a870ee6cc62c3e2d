#include "http/call.h"
#include "trefoilhill-proxy/follower.h"
#include "trefoilhill-proxy/gate.h"
#include "trefoilhill-proxy/heartbeat.h"
#include "trefoilhill-proxy/heartbeat_message.h"
#include "trefoilhill-proxy/lost_hosts.h"
#include "trefoilhill-proxy/peer_health.h"
#include "trefoilhill-proxy/quarantine_news.h"

enum {
	HEARTBEAT_TIMEOUT_MS = 700, /* a slower peer counts as lost */
	PUSH_TIMEOUT_MS = 2000,
	RESPONSE_MAX_BYTES = 16 * 1024 * 1024,
	ANNOUNCE_PEERS = 3,              /* notified when the replica changes */
	ANNOUNCE_PEERS_ANYWHERE = 2,     /* for what concerns all zones */
	PEER_DRAWS_MAX = 8,              /* draws until a peer is eligible */
	UPDATE_INTERVAL_MIN_MS = 300,    /* between updates from peers */
	EXPECTED_ITEMS_TIMEOUT_MS = 400, /* for items announced by a peer */
	IDLE_TIMEOUT_MS = 8000,
};

static const char heartbeat_target[] = "/trefoilhill/heartbeat";

struct heartbeat {
	uv_timer_t *timer;
	struct proxy *proxy;
	GHashTable *pools;              /* host address to struct http_pool */
	struct store_position expected; /* announced by a peer */
	int64_t expected_until_ms;
	int64_t last_update_ms; /* when a peer last sent newer items */
};

/* A heartbeat in progress. */
struct heartbeat_call {
	struct heartbeat *heartbeat;
	struct in_addr host;
	bool push;
};

/*
 * Tell whether a request target is the one of heartbeats.
 */
bool
heartbeat_is_target(struct str target)
{
	return str_equal(target, str_from(heartbeat_target));
}

static void
pool_free(void *pool)
{
	http_pool_free(pool);
}

/*
 * Return the heartbeat sender of a node, to be started by heartbeat_start.
 */
struct heartbeat *
heartbeat_new(struct proxy *proxy)
{
	struct heartbeat *heartbeat = g_new0(struct heartbeat, 1);

	heartbeat->proxy = proxy;
	heartbeat->pools = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, NULL, pool_free);
	heartbeat->timer = g_new0(uv_timer_t, 1);
	uv_timer_init(proxy->loop, heartbeat->timer);
	heartbeat->timer->data = heartbeat;
	return heartbeat;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

/*
 * Free a heartbeat sender. NULL is allowed.
 */
void
heartbeat_free(struct heartbeat *heartbeat)
{
	if (heartbeat == NULL)
		return;
	uv_close((uv_handle_t *)heartbeat->timer, handle_timer_closed);
	g_hash_table_destroy(heartbeat->pools);
	g_free(heartbeat);
}

static struct store_position
own_position(const struct heartbeat *heartbeat)
{
	return replica_position(follower_replica(heartbeat->proxy->follower));
}

/* Add the items that a peer at a position lacks, if any. */
static void
add_missing_items(struct heartbeat *heartbeat,
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

static struct heartbeat_message
make_message(struct heartbeat *heartbeat)
{
	struct proxy *proxy = heartbeat->proxy;
	const struct upstream *upstream = gate_upstream(proxy->gate);
	struct heartbeat_message message = {
		.position = own_position(heartbeat),
		.age_ms = follower_age_ms(proxy->follower),
		.removal_grace_ms = follower_removal_grace_ms(proxy->follower),
		.stopping = proxy->stopping,
		.upstream =
		    upstream == NULL ? NULL : g_strdup(upstream->entry.id),
		.load = gate_load_report(proxy->gate),
	};

	if (upstream != NULL) {
		message.upstream_started_ms = upstream->entry.started_ms;
		message.upstream_leaving = upstream->notice.leaving;
	}
	lost_hosts_collect(proxy, &message);
	quarantine_news_collect(proxy->quarantine_news, &message);
	return message;
}

static void
set_stopping(struct proxy *proxy, struct fleet_peer *peer, bool stopping)
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
	set_stopping(proxy, upstream->peer, message->stopping);
	peer_health_responded(proxy, upstream->peer);
	/* A node of another zone may be cut off from what is reachable here. */
	if (g_strcmp0(upstream->entry.zone, proxy->settings->node.zone.ptr) ==
	    0)
		lost_hosts_apply(proxy, message);
}

static void
apply_message(
    struct heartbeat *heartbeat, const struct heartbeat_message *message)
{
	struct follower *follower = heartbeat->proxy->follower;
	struct store_position own = own_position(heartbeat);
	bool fits = message->is_snapshot ||
	    (message->position.era == own.era &&
		message->base_revision <= own.revision);
	struct follower_peer_state state = {
		.is_snapshot = message->is_snapshot,
		.items = fits ? message->items : NULL,
		.position = message->position,
		.age_ms = message->age_ms,
		.removal_grace_ms = message->removal_grace_ms,
	};

	if (state.items != NULL &&
	    store_position_compare(state.position, own) > 0)
		heartbeat->last_update_ms = proxy_now_ms(heartbeat->proxy);
	follower_apply_peer_state(follower, &state);
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
heartbeat_handle_request(struct heartbeat *heartbeat, struct str body)
{
	struct heartbeat_message message, response;
	GBytes *bytes;

	if (!heartbeat_message_decode(body, &message))
		return NULL;
	apply_message(heartbeat, &message);
	response = make_message(heartbeat);
	add_missing_items(heartbeat, &response, message.position);
	if (message.quarantine_hash != response.quarantine_hash)
		quarantine_news_collect_all(
		    heartbeat->proxy->quarantine_news, &response);
	suppress_duplicate_push(heartbeat, &response, message.position);
	bytes = heartbeat_message_encode(&response);
	heartbeat_message_clear(&response);
	heartbeat_message_clear(&message);
	return bytes;
}

static struct http_pool *
pool_for(struct heartbeat *heartbeat, struct in_addr host)
{
	void *key = GUINT_TO_POINTER(host.s_addr);
	struct http_pool *pool = g_hash_table_lookup(heartbeat->pools, key);
	struct http_pool_settings settings = {
		.address = heartbeat->proxy->mesh_address,
		.idle_max = 1,
		.idle_default_ms = IDLE_TIMEOUT_MS,
		.idle_max_ms = IDLE_TIMEOUT_MS,
	};

	if (pool != NULL)
		return pool;
	settings.address.sin_addr = host;
	pool = http_pool_new(heartbeat->proxy->loop, &settings);
	g_hash_table_insert(heartbeat->pools, key, pool);
	return pool;
}

static void handle_response(void *arg, const struct http_call_result *result);

/* Takes ownership of the message's content. */
static void
send_message(struct heartbeat *heartbeat, struct in_addr host,
    struct heartbeat_message message, bool push)
{
	struct heartbeat_call *call = g_new0(struct heartbeat_call, 1);
	GBytes *body = heartbeat_message_encode(&message);
	GString *text = g_string_sized_new(256);
	struct http_call_settings settings = {
		.timeout_ms = push ? PUSH_TIMEOUT_MS : HEARTBEAT_TIMEOUT_MS,
		.body_max = RESPONSE_MAX_BYTES,
		.handle_result = handle_response,
		.arg = call,
	};

	g_string_printf(text,
	    "POST %s HTTP/1.1\r\nHost: node\r\nContent-Length: %zu\r\n\r\n",
	    heartbeat_target, g_bytes_get_size(body));
	g_string_append_len(
	    text, g_bytes_get_data(body, NULL), (gssize)g_bytes_get_size(body));
	settings.request = str_make(text->str, text->len);
	call->heartbeat = heartbeat;
	call->host = host;
	call->push = push;
	proxy_count(&heartbeat->proxy->stats, STAT_HEARTBEATS);
	http_call_start(pool_for(heartbeat, host), &settings);
	g_bytes_unref(body);
	g_string_free(text, TRUE);
	heartbeat_message_clear(&message);
}

static void
handle_peer_message(struct heartbeat *heartbeat, struct in_addr host,
    const struct heartbeat_message *message, bool push)
{
	struct heartbeat_message update;

	apply_message(heartbeat, message);
	if (push ||
	    store_position_compare(
		message->position, own_position(heartbeat)) >= 0)
		return;
	update = make_message(heartbeat);
	add_missing_items(heartbeat, &update, message->position);
	send_message(heartbeat, host, update, true);
}

static void
handle_response(void *arg, const struct http_call_result *result)
{
	struct heartbeat_call *call = arg;
	struct heartbeat *heartbeat = call->heartbeat;
	struct proxy *proxy = heartbeat->proxy;
	struct fleet_peer *peer = g_hash_table_lookup(
	    catalog_peers(proxy->catalog), GUINT_TO_POINTER(call->host.s_addr));
	struct heartbeat_message message;

	if (result->outcome != HTTP_CALL_RESPONSE || result->status != 200 ||
	    !heartbeat_message_decode(result->body, &message)) {
		proxy_count(&proxy->stats, STAT_HEARTBEATS_LOST);
		if (peer != NULL)
			peer_health_failed(proxy, peer, "heartbeat_lost");
		goto done;
	}
	if (peer != NULL) {
		peer_health_responded(proxy, peer);
		set_stopping(proxy, peer, message.stopping);
	}
	handle_peer_message(heartbeat, call->host, &message, call->push);
	heartbeat_message_clear(&message);
done:
	g_free(call);
}

/* Return a random peer of the local zone or of any, or NULL if none is found.
 */
static const struct fleet_peer *
random_peer(struct heartbeat *heartbeat, bool local_zone)
{
	struct proxy *proxy = heartbeat->proxy;
	guint count;
	void **peers = g_hash_table_get_keys_as_array(
	    catalog_peers(proxy->catalog), &count);
	const struct fleet_peer *found = NULL;

	for (int i = 0; i < PEER_DRAWS_MAX && found == NULL && count > 0; i++) {
		const struct fleet_peer *peer =
		    g_hash_table_lookup(catalog_peers(proxy->catalog),
			peers[rng_below(proxy->rng, count)]);

		if (peer->host.s_addr != proxy->host.s_addr &&
		    (!local_zone ||
			g_strcmp0(peer->zone->name,
			    proxy->settings->node.zone.ptr) == 0))
			found = peer;
	}
	g_free(peers);
	return found;
}

static void
send_heartbeat(struct heartbeat *heartbeat, bool local_zone)
{
	const struct fleet_peer *peer = random_peer(heartbeat, local_zone);

	if (peer != NULL)
		send_message(
		    heartbeat, peer->host, make_message(heartbeat), false);
}

/*
 * Send heartbeats to some peers of the zone, as the replica changed. A peer
 * that responds with an older revision is sent the items that it lacks.
 */
void
heartbeat_announce(struct heartbeat *heartbeat)
{
	for (size_t i = 0; i < ANNOUNCE_PEERS; i++)
		send_heartbeat(heartbeat, true);
}

/*
 * Send heartbeats to some peers of the zone and to some of any zone.
 */
void
heartbeat_announce_to_all_zones(struct heartbeat *heartbeat)
{
	heartbeat_announce(heartbeat);
	for (size_t i = 0; i < ANNOUNCE_PEERS_ANYWHERE; i++)
		send_heartbeat(heartbeat, false);
}

static void
handle_timer(uv_timer_t *timer)
{
	struct heartbeat *heartbeat = timer->data;

	send_heartbeat(heartbeat, true);
	send_heartbeat(heartbeat, false);
}

/*
 * Start sending heartbeats, at a random phase of the period.
 */
void
heartbeat_start(struct heartbeat *heartbeat)
{
	uint64_t period_ms = heartbeat->proxy->settings->mesh.heartbeat_ms;

	uv_timer_start(heartbeat->timer, handle_timer,
	    rng_below(heartbeat->proxy->rng, period_ms), period_ms);
}
