#include "http/call.h"
#include "quota/quota.h"
#include "trefoilhill-proxy/follower.h"
#include "trefoilhill-proxy/heartbeat_private.h"
#include "trefoilhill-proxy/hop.h"
#include "trefoilhill-proxy/peer_health.h"

enum {
	HEARTBEAT_TIMEOUT_MS = 700, /* a slower peer counts as lost */
	PUSH_TIMEOUT_MS = 2000,
	RESPONSE_MAX_BYTES = 16 * 1024 * 1024,
	ANNOUNCE_PEERS = 3,          /* notified when the replica changes */
	ANNOUNCE_PEERS_ANYWHERE = 2, /* for what concerns all zones */
	ANNOUNCE_QUOTA_PEERS = 5,    /* when a workspace turns hot */
	PEER_DRAWS_MAX = 8,          /* draws until a peer is eligible */
	IDLE_TIMEOUT_MS = 8000,
};

static const char heartbeat_target[] = "/trefoilhill/heartbeat";

/* A heartbeat in progress. */
struct heartbeat_call {
	struct heartbeat *heartbeat;
	struct in_addr host;
	bool push;
	uint32_t read_ttl; /* as in the message's head */
	uint32_t places;   /* to the host in this node's lane */
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

static struct http_pool *
pool_for(struct heartbeat *heartbeat, struct in_addr host)
{
	void *key = GUINT_TO_POINTER(host.s_addr);
	struct http_pool *pool = g_hash_table_lookup(heartbeat->pools, key);
	struct http_pool_settings settings = {
		.class = CONNECTION_CONTROL,
		.address = heartbeat->proxy->mesh_address,
		.idle_max = 1,
		.idle_default_ms = IDLE_TIMEOUT_MS,
		.idle_max_ms = IDLE_TIMEOUT_MS,
	};

	if (pool != NULL)
		return pool;
	settings.address.sin_addr = host;
	pool = http_pool_new(heartbeat->proxy->connections, &settings);
	g_hash_table_insert(heartbeat->pools, key, pool);
	return pool;
}

static void handle_response(void *arg, const struct http_call_result *result);

/* Takes ownership of the call and of the message's content. */
static void
start_call(struct heartbeat_call *call, struct heartbeat_message message)
{
	struct heartbeat *heartbeat = call->heartbeat;
	GBytes *body = heartbeat_message_encode(&message);
	GString *text = g_string_sized_new(256);
	struct http_call_settings settings = {
		.timeout_ms =
		    call->push ? PUSH_TIMEOUT_MS : HEARTBEAT_TIMEOUT_MS,
		.body_max = RESPONSE_MAX_BYTES,
		.handle_result = handle_response,
		.arg = call,
	};

	g_string_printf(text,
	    "POST %s HTTP/1.1\r\nHost: node\r\nContent-Length: %zu\r\n",
	    heartbeat_target, g_bytes_get_size(body));
	hop_write_lag(text, message.load.lag_ms);
	hop_write_read_ttl(text, call->read_ttl);
	g_string_append(text, "\r\n");
	g_string_append_len(
	    text, g_bytes_get_data(body, NULL), (gssize)g_bytes_get_size(body));
	settings.request = str_make(text->str, text->len);
	proxy_count(&heartbeat->proxy->stats, STAT_HEARTBEATS);
	http_call_start(pool_for(heartbeat, call->host), &settings);
	g_bytes_unref(body);
	g_string_free(text, TRUE);
	heartbeat_message_clear(&message);
}

/* Takes ownership of the message's content. */
static void
send_message(struct heartbeat *heartbeat, struct in_addr host,
    struct heartbeat_message message, bool push)
{
	struct heartbeat_call *call = g_new0(struct heartbeat_call, 1);

	call->heartbeat = heartbeat;
	call->host = host;
	call->push = push;
	start_call(call, message);
}

/*
 * Ask a host to read the store in this node's place. If it doesn't respond, the
 * node behind it in the lane is asked.
 */
void
heartbeat_ask_to_read(struct heartbeat *heartbeat, struct in_addr host,
    uint32_t ttl, uint32_t places)
{
	struct heartbeat_call *call = g_new0(struct heartbeat_call, 1);

	call->heartbeat = heartbeat;
	call->host = host;
	call->read_ttl = ttl;
	call->places = places;
	start_call(call, heartbeat_make_message(heartbeat));
}

static void
handle_peer_message(struct heartbeat *heartbeat, struct in_addr host,
    const struct heartbeat_message *message, bool push)
{
	struct heartbeat_message update;

	heartbeat_apply_message(heartbeat, message);
	if (push ||
	    store_position_compare(
		message->position, heartbeat_own_position(heartbeat)) >= 0)
		return;
	update = heartbeat_make_message(heartbeat);
	heartbeat_add_missing_items(heartbeat, &update, message->position);
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
		if (call->read_ttl > 1)
			follower_ask_to_read(proxy->follower,
			    call->read_ttl - 1, call->places + 1);
		goto done;
	}
	message.load.lag_ms = hop_read_lag(result->head);
	if (peer != NULL) {
		peer_health_responded(proxy, peer);
		follower_host_responded(proxy->follower, call->host);
		heartbeat_set_stopping(proxy, peer, message.stopping);
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
		send_message(heartbeat, peer->host,
		    heartbeat_make_message(heartbeat), false);
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

/*
 * Send heartbeats to some peers of any zone, if a workspace has turned hot and
 * it was not announced a moment ago. Their responses tell whether it is hot
 * there too.
 */
void
heartbeat_announce_quota(struct heartbeat *heartbeat)
{
	if (!quota_take_announcement(
		heartbeat->proxy->quota, proxy_now_ms(heartbeat->proxy)))
		return;
	for (size_t i = 0; i < ANNOUNCE_QUOTA_PEERS; i++) {
		const struct fleet_peer *peer = random_peer(heartbeat, false);
		struct heartbeat_message message;

		if (peer == NULL)
			return;
		message = heartbeat_make_message(heartbeat);
		message.quota.is_sample = false;
		send_message(heartbeat, peer->host, message, false);
	}
}

static void
handle_timer(uv_timer_t *timer)
{
	struct heartbeat *heartbeat = timer->data;
	struct in_addr ahead;

	if (follower_check_ahead(heartbeat->proxy->follower, &ahead))
		send_message(
		    heartbeat, ahead, heartbeat_make_message(heartbeat), false);
	else
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
