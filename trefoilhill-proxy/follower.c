#include <string.h>

#include "platform/codec.h"
#include "trefoilhill-proxy/follower.h"
#include "trefoilhill-proxy/gate.h"

enum {
	READ_TIMEOUT_MS = 2500,  /* for a page of a slow store */
	/*
	 * A watch may go silent without being closed. All nodes together ask
	 * anew about this often, and tell each other what they find.
	 */
	FLEET_ASKS_EACH_MS = 400,
	WATCH_WAIT_MIN_MS = 1500,
	WATCH_WAIT_MAX_MS = 20000,
	RETRY_FIRST_MS = 150,
	RETRY_MAX_MS = 1500,
	/*
	 * Registrations that ran out in an outage of this length come back
	 * within the grace; those that don't are gone.
	 */
	OUTAGE_MIN_MS = 1000,
	OUTAGE_GRACE_MS = 2200,
	/* A watch that did not tell what peers know already is dead. */
	WATCH_DOUBT_MS = 700,
};

struct follower {
	uv_timer_t *timer;       /* the next read */
	uv_timer_t *doubt_timer; /* the watch's time to prove itself */
	struct proxy *proxy;
	struct item_source *source;
	struct replica *replica;
	bool whole_needed;
	uint32_t failures;       /* in a row */
	int64_t lost_since_ms;   /* 0: the store answers */
	bool catching_up;        /* the first answer after an outage */
};

static void follower_next(struct follower *follower);

static bool
in_outage(const struct follower *follower)
{
	return follower->lost_since_ms != 0 &&
	    proxy_now_ms(follower->proxy) - follower->lost_since_ms >=
	    OUTAGE_MIN_MS;
}

/* Time for which a registration that goes missing is kept. */
static uint32_t
grace_ms(const struct follower *follower)
{
	return follower->catching_up || in_outage(follower) ? OUTAGE_GRACE_MS
							    : 0;
}

static void
handle_change(void *arg, const struct replica_item *item)
{
	struct follower *follower = arg;
	struct catalog_change change;

	platform_decode(item->key, item->value, &change);
	catalog_apply(follower->proxy->catalog, &change, item->revision,
	    proxy_now_ms(follower->proxy), grace_ms(follower));
	catalog_change_clear(&change);
}

/*
 * Return a follower of a source, which it takes over.
 */
struct follower *
follower_new(struct proxy *proxy, struct item_source *source)
{
	struct follower *follower = g_new0(struct follower, 1);
	struct replica_ops ops = {
		.handle_change = handle_change,
		.arg = follower,
	};

	follower->proxy = proxy;
	follower->source = source;
	follower->replica = replica_new(ops);
	follower->timer = g_new0(uv_timer_t, 1);
	uv_timer_init(proxy->loop, follower->timer);
	follower->timer->data = follower;
	follower->doubt_timer = g_new0(uv_timer_t, 1);
	uv_timer_init(proxy->loop, follower->doubt_timer);
	follower->doubt_timer->data = follower;
	return follower;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

/*
 * Free a follower. NULL is allowed.
 */
void
follower_free(struct follower *follower)
{
	if (follower == NULL)
		return;
	follower->source->ops->free(follower->source);
	uv_close((uv_handle_t *)follower->timer, handle_timer_closed);
	uv_close((uv_handle_t *)follower->doubt_timer, handle_timer_closed);
	replica_free(follower->replica);
	g_free(follower);
}

static void
log_store(struct follower *follower, const char *event, const char *reason,
    int64_t age_ms)
{
	struct json_line *line =
	    json_log_begin(follower->proxy->log, LOG_CLASS_STATE, event);

	json_line_cstr(line, "reason", reason);
	json_line_int(line, "age_ms", age_ms);
	json_line_int(line, "revision",
	    (int64_t)replica_revision(follower->replica));
	json_log_end(line);
}

static void
handle_retry(uv_timer_t *timer)
{
	follower_next(timer->data);
}

static void
note_failure(struct follower *follower, const struct source_result *result)
{
	struct proxy *proxy = follower->proxy;
	int64_t now_ms = proxy_now_ms(proxy);
	uint64_t delay_ms = MIN(RETRY_FIRST_MS << MIN(follower->failures, 4),
	    RETRY_MAX_MS);

	proxy_count(&proxy->stats, STAT_STORE_FAILURES);
	if (follower->lost_since_ms == 0) {
		follower->lost_since_ms = now_ms;
		log_store(follower, "store_lost",
		    source_end_name(result->end), 0);
	}
	follower->failures++;
	delay_ms += rng_below(proxy->rng, delay_ms);
	uv_timer_start(follower->timer, handle_retry, delay_ms, 0);
}

static void
note_success(struct follower *follower)
{
	int64_t now_ms = proxy_now_ms(follower->proxy);

	follower->failures = 0;
	if (follower->lost_since_ms == 0)
		return;
	follower->catching_up = in_outage(follower);
	log_store(follower, "store_back", "",
	    now_ms - follower->lost_since_ms);
	follower->lost_since_ms = 0;
}

static void
items_put(struct follower *follower, bool whole, const GPtrArray *items,
    uint64_t revision)
{
	if (whole)
		replica_whole_begin(follower->replica);
	for (guint i = 0; i < items->len; i++) {
		const struct replica_item *item = items->pdata[i];

		replica_put(follower->replica, str_from(item->key),
		    item->value, item->revision);
	}
	if (whole)
		replica_whole_end(follower->replica, revision);
	else
		replica_advance(follower->replica, revision);
	gate_refresh(follower->proxy->gate);
}

static void
handle_result(void *arg, const struct source_result *result)
{
	struct follower *follower = arg;

	uv_timer_stop(follower->doubt_timer);
	switch (result->end) {
	case SOURCE_OK:
		note_success(follower);
		if (result->whole)
			follower->whole_needed = false;
		items_put(follower, result->whole, result->items,
		    result->revision);
		follower->catching_up = false;
		follower_next(follower);
		break;
	case SOURCE_COMPACTED:
		log_store(follower, "store_compacted", result->detail, 0);
		follower->whole_needed = true;
		follower_next(follower);
		break;
	case SOURCE_BUSY:
	case SOURCE_LOST:
	case SOURCE_INVALID:
		note_failure(follower, result);
		break;
	}
}

/* Drawn at random, since a change lets all nodes ask at the same time. */
static uint32_t
watch_wait_ms(const struct follower *follower)
{
	const struct proxy *proxy = follower->proxy;
	uint32_t nodes = g_hash_table_size(catalog_peers(proxy->catalog));
	uint32_t most = CLAMP(nodes * FLEET_ASKS_EACH_MS, WATCH_WAIT_MIN_MS,
	    WATCH_WAIT_MAX_MS);

	return most / 4 + (uint32_t)rng_below(proxy->rng, most * 3 / 4);
}

static void
follower_next(struct follower *follower)
{
	const struct item_source_ops *ops = follower->source->ops;
	uint64_t revision = replica_revision(follower->replica);
	struct source_handler handler = {
		.handle_result = handle_result,
		.arg = follower,
	};

	proxy_count(&follower->proxy->stats, STAT_STORE_READS);
	if (revision == 0 || follower->whole_needed)
		ops->read_whole(follower->source, READ_TIMEOUT_MS, handler);
	else
		ops->read_changes(follower->source, revision,
		    watch_wait_ms(follower), handler);
}

/*
 * Begin to read.
 */
void
follower_start(struct follower *follower)
{
	follower_next(follower);
}

/*
 * Return the replica.
 */
struct replica *
follower_replica(struct follower *follower)
{
	return follower->replica;
}

static void
handle_doubt(uv_timer_t *timer)
{
	struct follower *follower = timer->data;

	log_store(follower, "watch_restarted", "peers know more", 0);
	follower->source->ops->cancel(follower->source);
	follower_next(follower);
}

/*
 * Take items from a peer. The own watch has to tell the same soon.
 */
void
follower_take(struct follower *follower, bool whole, GPtrArray *items,
    uint64_t revision)
{
	if (revision <= replica_revision(follower->replica))
		return;
	items_put(follower, whole, items, revision);
	if (follower->lost_since_ms == 0 &&
	    !uv_is_active((uv_handle_t *)follower->doubt_timer))
		uv_timer_start(follower->doubt_timer, handle_doubt,
		    WATCH_DOUBT_MS, 0);
}

/*
 * Return since when the store has not answered; 0 when it does.
 */
int64_t
follower_lost_since_ms(const struct follower *follower)
{
	return follower->lost_since_ms;
}
