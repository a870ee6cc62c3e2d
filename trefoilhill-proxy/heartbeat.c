#include <jansson.h>
#include <string.h>

#include "fleet/source.h"
#include "http/call.h"
#include "trefoilhill-proxy/follower.h"
#include "trefoilhill-proxy/gate.h"
#include "trefoilhill-proxy/heartbeat.h"

enum {
	TIMEOUT_MS = 700,          /* a peer that is slower counts as lost */
	PUSH_TIMEOUT_MS = 2000,
	ANSWER_MAX_BYTES = 16 * 1024 * 1024,
	SPREAD_PEERS = 3,          /* told of news at once */
	DRAWS_MAX = 8,             /* to find a peer that fits */
	EXPECT_MS = 400,           /* for items that a peer is sending */
	IDLE_KEPT_MS = 8000,
};

static const char target[] = "/trefoilhill/heartbeat";

struct heartbeat {
	uv_timer_t *timer;
	struct proxy *proxy;
	GHashTable *pools; /* host address to struct http_pool */
	uint64_t expected_revision; /* a peer is sending items up to it */
	int64_t expected_until_ms;
	uint32_t in_flight;
};

/* One heartbeat on its way. */
struct beat {
	struct heartbeat *heartbeat;
	struct in_addr host;
	bool push;
};

/*
 * Tell whether a request target is that of heartbeats.
 */
bool
heartbeat_is_target(struct str text)
{
	return str_equal(text, str_from(target));
}

static void
pool_free(void *pool)
{
	http_pool_free(pool);
}

/*
 * Return the heartbeats of a node, not yet begun.
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
 * Free. NULL is allowed.
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

static json_t *
item_to_json(const struct replica_item *item)
{
	json_t *json = json_object();

	json_object_set_new(json, "key", json_string(item->key));
	json_object_set_new(
	    json, "revision", json_integer((json_int_t)item->revision));
	if (item->value != NULL) {
		size_t len;
		const guchar *bytes = g_bytes_get_data(item->value, &len);
		char *text = g_base64_encode(bytes, len);

		json_object_set_new(json, "value", json_string(text));
		g_free(text);
	}
	return json;
}

/* Add what a peer at a revision lacks; nothing when it lacks nothing. */
static void
add_items(struct heartbeat *heartbeat, json_t *message, uint64_t peer_revision)
{
	struct replica *replica =
	    follower_replica(heartbeat->proxy->follower);
	GPtrArray *items;
	json_t *list;
	bool whole;

	if (replica_revision(replica) <= peer_revision)
		return;
	items = replica_since(replica, peer_revision);
	whole = items == NULL;
	if (whole)
		items = replica_whole(replica);
	list = json_array();
	for (guint i = 0; i < items->len; i++)
		json_array_append_new(list, item_to_json(items->pdata[i]));
	g_ptr_array_unref(items);
	json_object_set_new(message, "items", list);
	json_object_set_new(message, "whole", json_boolean(whole));
	json_object_set_new(
	    message, "base", json_integer((json_int_t)peer_revision));
}

static json_t *
message_new(struct heartbeat *heartbeat)
{
	struct proxy *proxy = heartbeat->proxy;
	struct upstream *upstream = gate_upstream(proxy->gate);
	struct load_report load = gate_report(proxy->gate);
	uint64_t revision =
	    replica_revision(follower_replica(proxy->follower));
	json_t *json = json_pack("{s:I,s:I,s:I,s:b}", "revision",
	    (json_int_t)revision, "age_ms",
	    (json_int_t)follower_age_ms(proxy->follower), "doubt_ms",
	    (json_int_t)follower_doubt_ms(proxy->follower), "stopping",
	    proxy->stopping);

	if (upstream == NULL)
		return json;
	json_object_set_new(json, "load",
	    json_pack("{s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:b}", "upstream",
		upstream->entry.id, "limit", (int)load.limit, "in_flight",
		(int)load.in_flight, "queued", (int)load.queued, "latency_us",
		(int)load.latency_us, "failing", (int)load.failing,
		"bulk_waiting", (int)load.bulk_waiting, "bulk_transfer_ms",
		(int)load.bulk_transfer_ms, "accepting", load.accepting));
	return json;
}

static void
learn_load(struct heartbeat *heartbeat, json_t *json)
{
	struct proxy *proxy = heartbeat->proxy;
	struct load_report load;
	const char *id;
	int limit, in_flight, queued, latency_us, failing, accepting;
	int bulk_waiting, bulk_transfer_ms;
	struct upstream *upstream;

	if (json_unpack(json, "{s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:b}", "upstream", &id,
		"limit", &limit, "in_flight", &in_flight, "queued", &queued,
		"latency_us", &latency_us, "failing", &failing, "bulk_waiting",
		&bulk_waiting, "bulk_transfer_ms", &bulk_transfer_ms,
		"accepting", &accepting) != 0)
		return;
	upstream = catalog_upstream(proxy->catalog, str_from(id));
	if (upstream == NULL || upstream == gate_upstream(proxy->gate))
		return;
	load = (struct load_report){
		.limit = (uint32_t)limit,
		.in_flight = (uint32_t)in_flight,
		.queued = (uint32_t)queued,
		.latency_us = (uint32_t)latency_us,
		.failing = (uint32_t)failing,
		.bulk_waiting = (uint32_t)bulk_waiting,
		.bulk_transfer_ms = (uint32_t)bulk_transfer_ms,
		.accepting = accepting != 0,
	};
	upstream_learn(upstream, &load, proxy_now_ms(proxy));
}

static struct replica_item *
item_from_json(const json_t *json)
{
	const char *key = json_string_value(json_object_get(json, "key"));
	const char *text = json_string_value(json_object_get(json, "value"));
	const json_t *revision = json_object_get(json, "revision");
	struct replica_item *item;
	GBytes *value = NULL;
	guchar *bytes;
	size_t len;

	if (key == NULL || !json_is_integer(revision))
		return NULL;
	if (text != NULL) {
		bytes = g_base64_decode(text, &len);
		value = g_bytes_new_take(bytes, len);
	}
	item = replica_item_new(
	    key, value, (uint64_t)json_integer_value(revision));
	if (value != NULL)
		g_bytes_unref(value);
	return item;
}

/* The items of a message; NULL: none, or not all can be read. */
static GPtrArray *
read_items(const json_t *message)
{
	const json_t *list = json_object_get(message, "items");
	GPtrArray *items;
	size_t index;
	json_t *json;

	if (!json_is_array(list))
		return NULL;
	items = g_ptr_array_new_with_free_func(replica_item_free);
	json_array_foreach(list, index, json)
	{
		struct replica_item *item = item_from_json(json);

		if (item != NULL)
			g_ptr_array_add(items, item);
	}
	if (items->len == json_array_size(list))
		return items;
	g_ptr_array_unref(items);
	return NULL;
}

static int64_t
read_number(const json_t *message, const char *name)
{
	const json_t *number = json_object_get(message, name);

	return json_is_integer(number) ? json_integer_value(number) : -1;
}

static void
take_word(struct heartbeat *heartbeat, const json_t *message)
{
	struct follower *follower = heartbeat->proxy->follower;
	struct follower_word word = {
		.whole = json_is_true(json_object_get(message, "whole")),
		.items = read_items(message),
		.revision = (uint64_t)read_number(message, "revision"),
		.age_ms = read_number(message, "age_ms"),
		.doubt_ms = read_number(message, "doubt_ms"),
	};
	uint64_t base = (uint64_t)read_number(message, "base");

	if (word.items != NULL && !word.whole &&
	    base > replica_revision(follower_replica(follower)))
		g_clear_pointer(&word.items, g_ptr_array_unref);
	follower_take(follower, &word);
	if (word.items != NULL)
		g_ptr_array_unref(word.items);
}

/* Take what a peer says; returns its revision, or -1: malformed. */
static int64_t
take_message(struct heartbeat *heartbeat, const json_t *message)
{
	int64_t revision = read_number(message, "revision");

	if (revision < 0)
		return -1;
	take_word(heartbeat, message);
	learn_load(heartbeat, json_object_get(message, "load"));
	return revision;
}

/*
 * Let a peer believe that its news is known while another one is sending the
 * same: two copies of a large configuration help nobody.
 */
static void
expect(struct heartbeat *heartbeat, json_t *answer, uint64_t revision)
{
	int64_t now_ms = proxy_now_ms(heartbeat->proxy);
	uint64_t own =
	    replica_revision(follower_replica(heartbeat->proxy->follower));

	if (revision <= own)
		return;
	if (heartbeat->expected_until_ms > now_ms &&
	    heartbeat->expected_revision >= revision) {
		json_object_set_new(
		    answer, "revision", json_integer((json_int_t)revision));
		json_object_del(answer, "age_ms");
		return;
	}
	heartbeat->expected_revision = revision;
	heartbeat->expected_until_ms = now_ms + EXPECT_MS;
}

/*
 * Take a peer's heartbeat. Returns the body of the answer, which the caller
 * frees; NULL when the heartbeat can't be read.
 */
char *
heartbeat_answer(struct heartbeat *heartbeat, struct str body)
{
	json_t *message = json_loadb(body.ptr, body.len, 0, NULL);
	int64_t revision = take_message(heartbeat, message);
	char *text = NULL;

	if (revision >= 0) {
		json_t *answer = message_new(heartbeat);

		add_items(heartbeat, answer, (uint64_t)revision);
		expect(heartbeat, answer, (uint64_t)revision);
		text = json_dumps(answer, JSON_COMPACT);
		json_decref(answer);
	}
	json_decref(message);
	return text;
}

static struct http_pool *
pool_for(struct heartbeat *heartbeat, struct in_addr host)
{
	void *key = GUINT_TO_POINTER(host.s_addr);
	struct http_pool *pool = g_hash_table_lookup(heartbeat->pools, key);
	struct http_pool_settings settings = {
		.address = heartbeat->proxy->mesh_address,
		.idle_max = 1,
		.idle_default_ms = IDLE_KEPT_MS,
		.idle_max_ms = IDLE_KEPT_MS,
	};

	if (pool != NULL)
		return pool;
	settings.address.sin_addr = host;
	pool = http_pool_new(heartbeat->proxy->loop, &settings);
	g_hash_table_insert(heartbeat->pools, key, pool);
	return pool;
}

static void handle_answer(void *arg, const struct http_call_result *result);

static void
send_message(struct heartbeat *heartbeat, struct in_addr host, json_t *message,
    bool push)
{
	struct beat *beat = g_new0(struct beat, 1);
	char *body = json_dumps(message, JSON_COMPACT);
	char *text = g_strdup_printf("POST %s HTTP/1.1\r\nHost: node\r\n"
				     "Content-Length: %zu\r\n\r\n%s",
	    target, strlen(body), body);
	struct http_call_settings settings = {
		.request = str_from(text),
		.timeout_ms = push ? PUSH_TIMEOUT_MS : TIMEOUT_MS,
		.body_max = ANSWER_MAX_BYTES,
		.handle_result = handle_answer,
		.arg = beat,
	};

	beat->heartbeat = heartbeat;
	beat->host = host;
	beat->push = push;
	heartbeat->in_flight++;
	proxy_count(&heartbeat->proxy->stats, STAT_HEARTBEATS);
	http_call_start(pool_for(heartbeat, host), &settings);
	free(body);
	g_free(text);
}

static void
answered(struct heartbeat *heartbeat, struct in_addr host, json_t *message,
    bool push)
{
	int64_t revision = take_message(heartbeat, message);
	uint64_t own =
	    replica_revision(follower_replica(heartbeat->proxy->follower));
	json_t *more;

	if (revision < 0 || push || (uint64_t)revision >= own)
		return;
	more = message_new(heartbeat);
	add_items(heartbeat, more, (uint64_t)revision);
	send_message(heartbeat, host, more, true);
	json_decref(more);
}

static void
handle_answer(void *arg, const struct http_call_result *result)
{
	struct beat *beat = arg;
	struct heartbeat *heartbeat = beat->heartbeat;
	struct proxy *proxy = heartbeat->proxy;
	struct fleet_peer *peer =
	    g_hash_table_lookup(catalog_peers(proxy->catalog),
		GUINT_TO_POINTER(beat->host.s_addr));
	int64_t now_ms = proxy_now_ms(proxy);
	json_t *message = NULL;

	heartbeat->in_flight--;
	if (result->end != HTTP_CALL_ANSWERED || result->status != 200) {
		proxy_count(&proxy->stats, STAT_HEARTBEATS_LOST);
		if (peer != NULL)
			fleet_peer_lost(peer, now_ms);
		goto done;
	}
	message = json_loadb(result->body.ptr, result->body.len, 0, NULL);
	if (peer != NULL) {
		fleet_peer_heard(peer, now_ms);
		peer->stopping =
		    json_is_true(json_object_get(message, "stopping"));
	}
	answered(heartbeat, beat->host, message, beat->push);
done:
	json_decref(message);
	g_free(beat);
}

/* A peer drawn at random, of the own zone or of any; NULL: none found. */
static const struct fleet_peer *
draw_peer(struct heartbeat *heartbeat, bool own_zone)
{
	struct proxy *proxy = heartbeat->proxy;
	guint count;
	void **peers =
	    g_hash_table_get_keys_as_array(catalog_peers(proxy->catalog),
		&count);
	const struct fleet_peer *found = NULL;

	for (int i = 0; i < DRAWS_MAX && found == NULL && count > 0; i++) {
		const struct fleet_peer *peer =
		    g_hash_table_lookup(catalog_peers(proxy->catalog),
			peers[rng_below(proxy->rng, count)]);

		if (peer->host.s_addr != proxy->mesh_address.sin_addr.s_addr &&
		    (!own_zone ||
			g_strcmp0(peer->zone, proxy->settings->node.zone.ptr) ==
			    0))
			found = peer;
	}
	g_free(peers);
	return found;
}

static void
beat_one(struct heartbeat *heartbeat, bool own_zone)
{
	const struct fleet_peer *peer = draw_peer(heartbeat, own_zone);
	json_t *message;

	if (peer == NULL)
		return;
	message = message_new(heartbeat);
	send_message(heartbeat, peer->host, message, false);
	json_decref(message);
}

/*
 * Tell some peers of the zone that there is news; they ask for it.
 */
void
heartbeat_spread(struct heartbeat *heartbeat)
{
	for (size_t i = 0; i < SPREAD_PEERS; i++)
		beat_one(heartbeat, true);
}

static void
handle_timer(uv_timer_t *timer)
{
	struct heartbeat *heartbeat = timer->data;

	beat_one(heartbeat, true);
	beat_one(heartbeat, false);
}

/*
 * Begin, at a random point of the period.
 */
void
heartbeat_start(struct heartbeat *heartbeat)
{
	uint64_t period_ms = heartbeat->proxy->settings->mesh.heartbeat_ms;

	uv_timer_start(heartbeat->timer, handle_timer,
	    rng_below(heartbeat->proxy->rng, period_ms), period_ms);
}
