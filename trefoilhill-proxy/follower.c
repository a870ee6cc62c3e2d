#include <string.h>

#include "platform/codec.h"
#include "trefoilhill-proxy/follower_private.h"
#include "trefoilhill-proxy/gate.h"
#include "trefoilhill-proxy/heartbeat.h"

enum {
	READ_TIMEOUT_MS = 2500, /* for a page of a slow store */
	READ_INTERVAL_MS = 20,
	ROLE_CHECK_INTERVAL_MS = 300, /* of nodes that don't read */
	/* While no peer is known, as when all nodes start at once. */
	NO_PEERS_READ_INTERVAL_MS = 1200,
	RETRY_MIN_MS = 150,
	RETRY_MAX_MS = 1500,
	/* Between retries of all nodes together, except the readers. */
	FLEET_RETRY_INTERVAL_MS = 100,
	OVERDUE_CHECK_INTERVAL_MS = 100,
	/* A watch that lags behind peers for longer is restarted. */
	WATCH_LAG_MAX_MS = 700,
};

static void
handle_change(void *arg, const struct replica_item *item, bool from_backup)
{
	struct follower *follower = arg;
	struct catalog_origin origin = {
		.position = replica_position(follower->replica),
		.from_backup = from_backup,
		.now_ms = proxy_now_ms(follower->proxy),
		.grace_ms = from_backup ? follower_outage_grace_ms(follower)
					: follower->removal_grace_ms,
	};
	struct catalog_change change;

	origin.position.revision = item->revision;
	if (config_slices_begin(follower->config_slices, item, &origin))
		return;
	platform_decode_item(item->key, item->value,
	    catalog_config(follower->proxy->catalog), &change);
	catalog_apply(follower->proxy->catalog, &change, &origin);
	catalog_change_clear(&change);
}

/*
 * Return a follower that reads from a source and takes ownership of it.
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
	follower->stale_jitter_ms =
	    (int64_t)rng_below(proxy->rng, FOLLOWER_STALE_JITTER_MS);
	follower->replica = replica_new(ops);
	follower->config_slices = config_slices_new(proxy);
	follower->outage.grace_ms = follower_outage_grace_ms(follower);
	follower->timer = g_new0(uv_timer_t, 1);
	uv_timer_init(proxy->loop, follower->timer);
	follower->timer->data = follower;
	follower->watch_timer = g_new0(uv_timer_t, 1);
	uv_timer_init(proxy->loop, follower->watch_timer);
	follower->watch_timer->data = follower;
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
	uv_close((uv_handle_t *)follower->watch_timer, handle_timer_closed);
	config_slices_free(follower->config_slices);
	replica_free(follower->replica);
	g_free(follower);
}

static void
handle_timer(uv_timer_t *timer)
{
	follower_read_next(timer->data);
}

static void
schedule_read(struct follower *follower, uint64_t delay_ms)
{
	uv_timer_start(follower->timer, handle_timer, delay_ms, 0);
}

static void
record_read_failure(struct follower *follower, const char *reason)
{
	struct proxy *proxy = follower->proxy;
	int64_t now_ms = proxy_now_ms(proxy);
	uint64_t delay_ms =
	    MIN(RETRY_MIN_MS << MIN(follower->lane.failures, 4), RETRY_MAX_MS);
	uint32_t ttl;

	proxy_count(&proxy->stats, STAT_STORE_FAILURES);
	if (store_outage_read_failed(&follower->outage, now_ms))
		follower_log(follower, "store_lost", reason, 0);
	if (!follower_ranks_as_reader(follower))
		delay_ms = MAX(delay_ms,
		    (uint64_t)follower_peer_count(follower) *
			FLEET_RETRY_INTERVAL_MS);
	delay_ms += rng_below(proxy->rng, delay_ms);
	schedule_read(follower, delay_ms);
	ttl = reader_lane_read_failed(&follower->lane,
	    follower_age_ms(follower), now_ms + (int64_t)delay_ms, now_ms);
	if (follower->is_reader && ttl > 0)
		follower_ask_to_read(follower, ttl, 1);
}

static void
record_read_success(struct follower *follower)
{
	int64_t now_ms = proxy_now_ms(follower->proxy);
	int64_t lost_ms = follower->outage.unreachable_since_ms;
	bool missing_kept =
	    store_outage_read_succeeded(&follower->outage, now_ms);

	reader_lane_read_succeeded(&follower->lane);
	follower->removal_grace_ms =
	    missing_kept ? follower->outage.grace_ms : 0;
	if (lost_ms != 0)
		follower_log(follower, "store_back",
		    missing_kept ? "outage" : "", now_ms - lost_ms);
}

/*
 * Apply a snapshot, or changes of the replica's era.
 */
static void
apply_items(struct follower *follower, bool is_snapshot, const GPtrArray *items,
    struct store_position position)
{
	uint64_t era = replica_position(follower->replica).era;

	if (is_snapshot)
		replica_snapshot_begin(follower->replica, position);
	for (guint i = 0; i < items->len; i++)
		replica_put_item(follower->replica, items->pdata[i]);
	if (is_snapshot)
		replica_snapshot_end(follower->replica);
	else
		replica_advance(follower->replica, position.revision);
	if (position.era > era) {
		store_outage_restored(&follower->outage);
		follower_log(
		    follower, "store_restored", "", follower_age_ms(follower));
	}
	gate_refresh(follower->proxy->gate);
}

/* Log that the copy has reached what peers had told of, if that took long. */
static void
log_caught_up(struct follower *follower, const char *from)
{
	int64_t behind_ms = copy_lag_reached(&follower->lag,
	    replica_position(follower->replica), proxy_now_ms(follower->proxy));

	if (behind_ms >= 0)
		follower_log(follower, "copy_caught_up", from, behind_ms);
}

/* Log an update of the copy: where it came from, and what it covered. */
static void
log_update(struct follower *follower, const char *from, bool is_snapshot,
    const GPtrArray *items, struct store_position before)
{
	struct json_line *line = json_log_begin(
	    follower->proxy->log, LOG_CLASS_STATE, "copy_updated");
	int64_t deletions = 0;

	for (guint i = 0; i < items->len; i++)
		deletions +=
		    ((struct replica_item *)items->pdata[i])->value == NULL;
	json_line_cstr(line, "from", from);
	json_line_bool(line, "snapshot", is_snapshot);
	json_line_int(line, "since", (int64_t)before.revision);
	json_line_int(
	    line, "revision", (int64_t)replica_revision(follower->replica));
	json_line_int(line, "items", items->len);
	json_line_int(line, "deletions", deletions);
	json_log_end(line);
	log_caught_up(follower, from);
}

/* Read a snapshot instead of changes. */
static void
require_snapshot(
    struct follower *follower, const char *event, const char *reason)
{
	follower_log(follower, event, reason, follower_age_ms(follower));
	follower->snapshot_needed = true;
	schedule_read(follower, READ_INTERVAL_MS);
}

static void
apply_result(struct follower *follower, const struct source_result *result)
{
	struct store_position before = replica_position(follower->replica);
	bool is_newer;

	record_read_success(follower);
	if (result->skipped_count > 0)
		follower_log(follower, "items_skipped", "not decodable",
		    follower_age_ms(follower));
	if (result->is_snapshot)
		follower->snapshot_needed = false;
	apply_items(
	    follower, result->is_snapshot, result->items, result->position);
	follower->removal_grace_ms = 0;
	if (copy_lag_disproved(
		&follower->lag, result->position, follower->read_began_ms)) {
		proxy_count(&follower->proxy->stats, STAT_POSITIONS_UNKNOWN);
		follower_log(follower, "position_unknown",
		    "a peer told of it, not the store",
		    follower_age_ms(follower));
	}
	is_newer = store_position_compare(
		       replica_position(follower->replica), before) > 0;
	if (is_newer) {
		log_update(follower, "store", result->is_snapshot,
		    result->items, before);
		heartbeat_announce(follower->proxy->heartbeat);
	}
	/* A snapshot that isn't newer may be followed by the same once more. */
	schedule_read(follower,
	    is_newer || result->is_snapshot ? follower_change_batch_ms(follower)
					    : READ_INTERVAL_MS);
}

/*
 * Handle a response that can't be used. The same changes would be asked for
 * again, so the next read is a snapshot, whose pages are small.
 */
static void
handle_unusable(struct follower *follower, const struct source_result *result)
{
	if (!result->is_snapshot && !follower->snapshot_needed)
		require_snapshot(follower, "changes_unusable",
		    source_status_name(result->status));
	else
		record_read_failure(
		    follower, source_status_name(result->status));
}

static void
handle_result(void *arg, const struct source_result *result)
{
	struct follower *follower = arg;
	uint64_t era = replica_position(follower->replica).era;

	follower->reading = false;
	uv_timer_stop(follower->watch_timer);
	switch (result->status) {
	case SOURCE_OK:
		if (result->position.era < era)
			record_read_failure(follower, "earlier_era");
		else if (result->position.era > era && !result->is_snapshot)
			require_snapshot(follower, "store_era", "later era");
		else
			apply_result(follower, result);
		break;
	case SOURCE_COMPACTED:
		require_snapshot(follower, "store_compacted", result->detail);
		break;
	case SOURCE_TOO_LARGE:
	case SOURCE_INVALID:
		handle_unusable(follower, result);
		break;
	case SOURCE_BUSY:
	case SOURCE_UNREACHABLE:
	case SOURCE_REFUSED:
		record_read_failure(
		    follower, source_status_name(result->status));
		break;
	}
}

static void
read_snapshot(struct follower *follower, struct source_handler handler)
{
	follower->reading = true;
	follower->read_began_ms = proxy_now_ms(follower->proxy);
	proxy_count(&follower->proxy->stats, STAT_STORE_READS);
	follower->source->ops->read_snapshot(
	    follower->source, READ_TIMEOUT_MS, handler);
}

static void
read_changes(struct follower *follower, struct source_handler handler)
{
	int64_t now_ms = proxy_now_ms(follower->proxy);
	uint32_t wait_ms =
	    reader_lane_read_began(&follower->lane, follower_age_ms(follower),
		follower_watch_wait_ms(follower), now_ms);

	follower->reading = true;
	follower->read_began_ms = now_ms;
	proxy_count(&follower->proxy->stats, STAT_STORE_READS);
	schedule_read(follower, (uint64_t)(follower->lane.due_ms - now_ms));
	follower->source->ops->read_changes(follower->source,
	    replica_revision(follower->replica), wait_ms, handler);
}

/* Have another node read, too, if a reader's answer is overdue. */
static void
check_overdue(struct follower *follower)
{
	uint32_t ttl = reader_lane_check_overdue(&follower->lane,
	    follower_age_ms(follower), proxy_now_ms(follower->proxy));

	if (follower->is_reader && ttl > 0)
		follower_ask_to_read(follower, ttl, 1);
	schedule_read(follower, OVERDUE_CHECK_INTERVAL_MS);
}

/*
 * Start the next read, or schedule a check whether one is needed.
 */
void
follower_read_next(struct follower *follower)
{
	uint64_t revision = replica_revision(follower->replica);
	struct source_handler handler = {
		.handle_result = handle_result,
		.arg = follower,
	};
	bool has_no_peers = follower_peer_count(follower) <= 1;

	if (follower->reading) {
		check_overdue(follower);
		return;
	}
	follower_update_role(follower);
	if (revision == 0 || follower->snapshot_needed) {
		read_snapshot(follower, handler);
		return;
	}
	if (has_no_peers && follower->outage.confirmed_ms != 0 &&
	    follower_age_ms(follower) < NO_PEERS_READ_INTERVAL_MS) {
		schedule_read(follower,
		    NO_PEERS_READ_INTERVAL_MS +
			rng_below(
			    follower->proxy->rng, NO_PEERS_READ_INTERVAL_MS));
		return;
	}
	if (!has_no_peers && !follower->is_reader &&
	    !follower_is_stale(follower)) {
		schedule_read(follower, ROLE_CHECK_INTERVAL_MS);
		return;
	}
	read_changes(follower, handler);
}

/*
 * Start reading the store.
 */
void
follower_start(struct follower *follower)
{
	follower_read_next(follower);
}

/*
 * Read the store in a peer's place, or have another node do so.
 */
void
follower_read_for_peer(struct follower *follower, uint32_t ttl)
{
	int64_t now_ms = proxy_now_ms(follower->proxy);

	switch (reader_lane_asked(&follower->lane, ttl, now_ms)) {
	case READER_LANE_READ:
		follower_read_next(follower);
		break;
	case READER_LANE_ASK_NEXT:
		if (ttl > 1)
			follower_ask_to_read(follower, ttl - 1, 1);
		break;
	}
}

static void
handle_watch_lag(uv_timer_t *timer)
{
	struct follower *follower = timer->data;

	if (!follower->reading)
		return;
	follower_log(follower, "watch_restarted", "peers know more",
	    follower_age_ms(follower));
	follower->source->ops->cancel(follower->source);
	follower->reading = false;
	follower_read_next(follower);
}

/*
 * Apply the state of a peer's copy and the items included. If a watch of this
 * node is in progress, it is restarted unless it returns soon.
 */
void
follower_apply_peer_state(
    struct follower *follower, const struct follower_peer_state *state)
{
	int64_t now_ms = proxy_now_ms(follower->proxy);
	struct store_position own = replica_position(follower->replica);

	if (state->items != NULL &&
	    store_position_compare(state->position, own) > 0 &&
	    (state->is_snapshot || state->position.era == own.era)) {
		follower->removal_grace_ms =
		    (uint32_t)store_outage_peer_grace_ms(
			&follower->outage, state->removal_grace_ms, now_ms);
		apply_items(follower, state->is_snapshot, state->items,
		    state->position);
		follower->removal_grace_ms = 0;
		log_update(follower, state->upstream, state->is_snapshot,
		    state->items, own);
		heartbeat_announce(follower->proxy->heartbeat);
		if (follower->reading &&
		    !uv_is_active((uv_handle_t *)follower->watch_timer))
			uv_timer_start(follower->watch_timer, handle_watch_lag,
			    WATCH_LAG_MAX_MS, 0);
	}
	if (copy_lag_heard(&follower->lag, state->position,
		replica_position(follower->replica), now_ms))
		follower_log(follower, "copy_behind", state->upstream,
		    copy_lag_ms(&follower->lag, now_ms));
	/* An older copy doesn't confirm this one. */
	if (state->age_ms >= 0 &&
	    store_position_compare(
		state->position, replica_position(follower->replica)) >= 0)
		store_outage_confirmed(
		    &follower->outage, now_ms - state->age_ms);
	if (store_outage_peer_steady(
		&follower->outage, state->steady_ms, now_ms)) {
		follower_log(
		    follower, "store_was_up", "peers say so", state->steady_ms);
		catalog_end_grace(follower->proxy->catalog, now_ms);
	}
}
