#include <string.h>

#include "platform/codec.h"
#include "trefoilhill-proxy/follower_private.h"
#include "trefoilhill-proxy/gate.h"
#include "trefoilhill-proxy/heartbeat.h"

enum {
	READ_TIMEOUT_MS = 2500, /* for a page of a slow store */
	ASK_GAP_MS = 20,
	NEWS_GAP_MS = 400,   /* lets changes in quick succession share a call */
	ROLE_CHECK_MS = 300, /* how often a node looks whether it must read */
	/* With no peer known yet, as when everything starts at once. */
	ALONE_GAP_MS = 1200,
	RETRY_FIRST_MS = 150,
	RETRY_MAX_MS = 1500,
	/* Between the failing reads of all that are not readers by rank. */
	FLEET_RETRIES_EACH_MS = 100,
	/*
	 * Registrations that ran out in an outage of this length come back
	 * within the grace; those that don't are gone.
	 */
	OUTAGE_MIN_MS = 1000,
	OUTAGE_GRACE_MS =
	    1700, /* less than a leaving upstream may still get work */
	/* A watch that did not tell what peers know already is dead. */
	WATCH_DOUBT_MS = 700,
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
	if (follower->catching_up)
		return OUTAGE_GRACE_MS;
	return (uint32_t)follower->word_grace_ms;
}

static void
handle_change(void *arg, const struct replica_item *item)
{
	struct follower *follower = arg;
	struct catalog_change change;

	platform_decode(item->key, item->value,
	    catalog_config(follower->proxy->catalog), &change);
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
	follower->stale_spread_ms =
	    (int64_t)rng_below(proxy->rng, FOLLOWER_STALE_SPREAD_MS);
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
handle_timer(uv_timer_t *timer)
{
	follower_next(timer->data);
}

static void
follower_after(struct follower *follower, uint64_t delay_ms)
{
	uv_timer_start(follower->timer, handle_timer, delay_ms, 0);
}

static void
note_failure(struct follower *follower, const struct source_result *result)
{
	struct proxy *proxy = follower->proxy;
	uint64_t delay_ms =
	    MIN(RETRY_FIRST_MS << MIN(follower->failures, 4), RETRY_MAX_MS);

	proxy_count(&proxy->stats, STAT_STORE_FAILURES);
	if (follower->lost_since_ms == 0) {
		follower->lost_since_ms = proxy_now_ms(proxy);
		follower_log(
		    follower, "store_lost", source_end_name(result->end), 0);
	}
	follower->failures++;
	if (!follower->was_reader)
		delay_ms = MAX(delay_ms,
		    (uint64_t)follower_peer_count(follower) *
			FLEET_RETRIES_EACH_MS);
	follower_after(follower, delay_ms + rng_below(proxy->rng, delay_ms));
}

static void
note_success(struct follower *follower)
{
	int64_t now_ms = proxy_now_ms(follower->proxy);

	follower->failures = 0;
	follower->fresh_ms = now_ms;
	if (follower->lost_since_ms == 0)
		return;
	follower->catching_up = in_outage(follower);
	if (follower->catching_up)
		follower->doubt_until_ms = now_ms + OUTAGE_GRACE_MS;
	follower_log(
	    follower, "store_back", "", now_ms - follower->lost_since_ms);
	follower->lost_since_ms = 0;
}

static void
items_put(struct follower *follower, bool whole, const GPtrArray *items,
    uint64_t revision)
{
	if (whole)
		replica_whole_begin(follower->replica);
	for (guint i = 0; i < items->len; i++)
		replica_put_item(follower->replica, items->pdata[i]);
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

	uint64_t before = replica_revision(follower->replica);

	follower->reading = false;
	uv_timer_stop(follower->doubt_timer);
	switch (result->end) {
	case SOURCE_OK:
		note_success(follower);
		if (result->whole)
			follower->whole_needed = false;
		items_put(
		    follower, result->whole, result->items, result->revision);
		follower->catching_up = false;
		if (replica_revision(follower->replica) > before)
			heartbeat_spread(follower->proxy->heartbeat);
		follower_after(follower,
		    replica_revision(follower->replica) > before ? NEWS_GAP_MS
								 : ASK_GAP_MS);
		break;
	case SOURCE_COMPACTED:
		follower_log(follower, "store_compacted", result->detail, 0);
		follower->whole_needed = true;
		follower_after(follower, ASK_GAP_MS);
		break;
	case SOURCE_BUSY:
	case SOURCE_LOST:
	case SOURCE_INVALID:
		note_failure(follower, result);
		break;
	}
}

static void
read_whole(struct follower *follower, struct source_handler handler)
{
	follower->reading = true;
	proxy_count(&follower->proxy->stats, STAT_STORE_READS);
	follower->source->ops->read_whole(
	    follower->source, READ_TIMEOUT_MS, handler);
}

/* Make the next call, or look again later whether one is needed. */
static void
follower_next(struct follower *follower)
{
	uint64_t revision = replica_revision(follower->replica);
	struct source_handler handler = {
		.handle_result = handle_result,
		.arg = follower,
	};
	bool alone = follower_peer_count(follower) <= 1;

	if (follower->reading)
		return;
	follower_take_role(follower);
	if (revision == 0 || follower->whole_needed) {
		read_whole(follower, handler);
		return;
	}
	if (alone && follower->fresh_ms != 0 &&
	    proxy_now_ms(follower->proxy) - follower->fresh_ms < ALONE_GAP_MS) {
		follower_after(follower,
		    ALONE_GAP_MS +
			rng_below(follower->proxy->rng, ALONE_GAP_MS));
		return;
	}
	if (!alone && !follower->was_reader && !follower_is_stale(follower)) {
		follower_after(follower, ROLE_CHECK_MS);
		return;
	}
	follower->reading = true;
	proxy_count(&follower->proxy->stats, STAT_STORE_READS);
	follower->source->ops->read_changes(follower->source, revision,
	    follower_watch_wait_ms(follower), handler);
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

	if (!follower->reading)
		return;
	follower_log(follower, "watch_restarted", "peers know more",
	    follower_age_ms(follower));
	follower->source->ops->cancel(follower->source);
	follower->reading = false;
	follower_next(follower);
}

/*
 * Take what a peer says of its copy, and the items that come along. A watch
 * of this node's own has to tell the same soon.
 */
void
follower_take(struct follower *follower, const struct follower_word *word)
{
	int64_t now_ms = proxy_now_ms(follower->proxy);
	uint64_t before = replica_revision(follower->replica);

	if (word->items != NULL && word->revision > before) {
		follower->word_grace_ms = MAX(word->doubt_ms, 0);
		items_put(follower, word->whole, word->items, word->revision);
		follower->word_grace_ms = 0;
		if (word->doubt_ms > 0)
			follower->doubt_until_ms = MAX(
			    follower->doubt_until_ms, now_ms + word->doubt_ms);
		heartbeat_spread(follower->proxy->heartbeat);
		if (follower->reading &&
		    !uv_is_active((uv_handle_t *)follower->doubt_timer))
			uv_timer_start(follower->doubt_timer, handle_doubt,
			    WATCH_DOUBT_MS, 0);
	}
	/* An older copy says nothing on how fresh this one is. */
	if (word->age_ms >= 0 &&
	    word->revision >= replica_revision(follower->replica))
		follower->fresh_ms =
		    MAX(follower->fresh_ms, now_ms - word->age_ms);
}

/*
 * Return how long ago the store confirmed the copy, to this node or to a peer
 * that told it; -1 when it never did.
 */
int64_t
follower_age_ms(const struct follower *follower)
{
	if (follower->fresh_ms == 0)
		return -1;
	return proxy_now_ms(follower->proxy) - follower->fresh_ms;
}

/*
 * Return for how long removals in the copy may still be taken back, since
 * registrations ran out while the store was away.
 */
int64_t
follower_doubt_ms(const struct follower *follower)
{
	return MAX(follower->doubt_until_ms - proxy_now_ms(follower->proxy), 0);
}
