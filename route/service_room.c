#include "route/balance_private.h"
#include "route/service_room.h"

enum {
	/* A pass over all upstreams takes as long as some choices. */
	UPDATE_INTERVAL_MS = 50,
	/* Of the smoothing; reports are up to a second old. */
	PRESSURE_HALF_MS = 300,
	PER_MILLE = 1000,
	PERCENT = 100,
	US_PER_MS = 1000,
	/*
	 * Between these pressures fewer and fewer hedges and retries are sent.
	 * Above the last of them more than a third is queued.
	 */
	HEDGE_FEWER_PER_MILLE = 700,
	HEDGE_NONE_PER_MILLE = 950,
	RETRY_FEWER_PER_MILLE = 1000,
	RETRY_NONE_PER_MILLE = 1400,
	/* Below this share of reported upstreams nothing is refused. */
	REPORTED_MIN_PERCENT = 25,
	/*
	 * Refusals are evidence for this time, so that each node tries the
	 * service again about once a second.
	 */
	REFUSAL_AGE_MS = 1000,
	/* Part of the expected wait that is drawn off, percent. */
	WAIT_JITTER_PERCENT = 30,
	PRIORITIES_MAX = 8, /* lower ones count as the last */
	/*
	 * Below this pressure there are places, and a gate that refuses a
	 * request is an exception.
	 */
	FULL_PER_MILLE = 1050,
	RENDERED_MAX = 64, /* services */
};

struct room {
	struct room_estimate estimate;
	int64_t refused_ms[PRIORITIES_MAX]; /* by a gate; 0: never */
	int64_t run_ms[PRIORITIES_MAX];
};

struct service_room {
	GHashTable *rooms; /* service to struct room */
};

/*
 * Return an empty table.
 */
struct service_room *
service_room_new(void)
{
	struct service_room *room = g_new0(struct service_room, 1);

	room->rooms =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return room;
}

/*
 * Free a table. NULL is allowed.
 */
void
service_room_free(struct service_room *room)
{
	if (room == NULL)
		return;
	g_hash_table_destroy(room->rooms);
	g_free(room);
}

static struct room *
get_room(struct service_room *table, const char *service)
{
	struct room *room = g_hash_table_lookup(table->rooms, service);

	if (room != NULL)
		return room;
	room = g_new0(struct room, 1);
	g_hash_table_insert(table->rooms, g_strdup(service), room);
	return room;
}

/* When the upstream has a place, if it has got no request since its report. */
static int64_t
free_at_ms(const struct upstream *upstream, uint32_t mean_us, int64_t now_ms)
{
	const struct load_report *load = &upstream->load;
	uint64_t latency_us = load->latency_us > 0 ? load->latency_us : mean_us;
	uint64_t limit = balance_limit(upstream, now_ms);
	uint64_t requests = (uint64_t)load->in_flight + load->queued;
	uint64_t wait_ms = 0;

	if (requests >= limit)
		wait_ms =
		    (requests - limit + 1) * latency_us / US_PER_MS / limit;
	return upstream->load_ms + (int64_t)MAX(wait_ms, load->rate_wait_ms);
}

static bool
is_candidate(const struct catalog *catalog, const struct upstream *upstream,
    int64_t now_ms)
{
	return upstream->listed && !upstream_is_leaving(upstream) &&
	    !fleet_peer_is_avoided(upstream->peer, now_ms) &&
	    !fleet_peer_is_stopping(upstream->peer, now_ms) &&
	    !catalog_zone_is_out(catalog, upstream->entry.zone);
}

static void
smooth_pressure(struct room_estimate *estimate, uint64_t requests,
    uint64_t limits, int64_t now_ms)
{
	int64_t elapsed_ms = now_ms - estimate->updated_ms;
	int64_t latest =
	    limits == 0 ? 0 : (int64_t)(requests * PER_MILLE / limits);
	int64_t change = latest - estimate->pressure_per_mille;

	if (estimate->updated_ms > 0)
		change = change * elapsed_ms / (elapsed_ms + PRESSURE_HALF_MS);
	estimate->pressure_per_mille =
	    (uint32_t)(estimate->pressure_per_mille + change);
}

static void
update_estimate(struct room_estimate *estimate, const struct catalog *catalog,
    const struct upstream_group *group, int64_t now_ms)
{
	uint64_t requests = 0, limits = 0;

	estimate->mean_us = balance_mean_latency_us(group, now_ms);
	estimate->upstreams = 0;
	estimate->reported = 0;
	estimate->free_at_ms = 0;
	for (guint i = 0; i < group->upstreams->len; i++) {
		const struct upstream *upstream = group->upstreams->pdata[i];
		int64_t at_ms;

		if (!is_candidate(catalog, upstream, now_ms))
			continue;
		estimate->upstreams++;
		if (!balance_is_fresh(upstream, now_ms) ||
		    !upstream->load.accepting)
			continue;
		estimate->reported++;
		requests += balance_requests(upstream, true);
		limits += balance_limit(upstream, now_ms);
		at_ms = free_at_ms(upstream, estimate->mean_us, now_ms);
		if (estimate->free_at_ms == 0 || at_ms < estimate->free_at_ms)
			estimate->free_at_ms = at_ms;
	}
	smooth_pressure(estimate, requests, limits, now_ms);
	estimate->updated_ms = now_ms;
}

/*
 * Return the estimate for a service, updated if it is not of a moment ago.
 */
const struct room_estimate *
service_room_estimate(struct service_room *table, const struct catalog *catalog,
    const char *service, int64_t now_ms)
{
	const struct upstream_group *group = catalog_group(catalog, service);
	struct room_estimate *estimate;

	if (group == NULL || group->upstreams->len == 0)
		return NULL;
	estimate = &get_room(table, service)->estimate;
	if (estimate->updated_ms == 0 ||
	    now_ms - estimate->updated_ms >= UPDATE_INTERVAL_MS)
		update_estimate(estimate, catalog, group, now_ms);
	return estimate;
}

/*
 * Record that a gate had no place for a request.
 */
void
service_room_record_refusal(struct service_room *table, const char *service,
    uint32_t priority, int64_t now_ms)
{
	struct room *room = get_room(table, service);

	priority = MIN(priority, PRIORITIES_MAX - 1);
	room->refused_ms[priority] = now_ms;
}

/*
 * Record that an upstream has run a request.
 */
void
service_room_record_run(struct service_room *table, const char *service,
    uint32_t priority, int64_t now_ms)
{
	struct room *room = get_room(table, service);

	priority = MIN(priority, PRIORITIES_MAX - 1);
	room->run_ms[priority] = now_ms;
}

/*
 * Has a request as urgent as this one been refused lately, and none as little
 * urgent been run since? The reports don't tell which requests are queued.
 */
static bool
is_priority_refused(const struct room *room, uint32_t priority, int64_t now_ms)
{
	int64_t refused_ms = 0, run_ms = 0;

	for (uint32_t i = 0; i <= priority; i++)
		refused_ms = MAX(refused_ms, room->refused_ms[i]);
	for (uint32_t i = priority; i < PRIORITIES_MAX; i++)
		run_ms = MAX(run_ms, room->run_ms[i]);
	return refused_ms > run_ms && now_ms - refused_ms < REFUSAL_AGE_MS;
}

/* Is the wait too long everywhere, even if nobody has sent a request since? */
static bool
is_wait_too_long(const struct room *room, int64_t max_wait_ms, int64_t now_ms,
    struct rng *rng)
{
	int64_t wait_ms = MAX(room->estimate.free_at_ms - now_ms, 0);

	wait_ms -=
	    wait_ms * (int64_t)rng_below(rng, WAIT_JITTER_PERCENT) / PERCENT;
	return wait_ms > max_wait_ms;
}

/*
 * Tell whether no upstream can have a place for the request in time.
 */
bool
service_room_refuses(struct service_room *table, const char *service,
    const struct room_request *request, int64_t now_ms, struct rng *rng)
{
	struct room *room = g_hash_table_lookup(table->rooms, service);
	uint32_t priority = MIN(request->priority, PRIORITIES_MAX - 1);
	const struct room_estimate *estimate;

	if (room == NULL)
		return false;
	estimate = &room->estimate;
	if (estimate->pressure_per_mille < FULL_PER_MILLE ||
	    now_ms - estimate->updated_ms > REFUSAL_AGE_MS ||
	    (uint64_t)estimate->reported * PERCENT <
		(uint64_t)estimate->upstreams * REPORTED_MIN_PERCENT)
		return false;
	return is_priority_refused(room, priority, now_ms) &&
	    is_wait_too_long(room, request->max_wait_ms, now_ms, rng);
}

/* Draw with a chance that falls from 1 at fewer to 0 at none. */
static bool
draw_by_pressure(const struct service_room *table, const char *service,
    uint32_t fewer, uint32_t none, struct rng *rng)
{
	const struct room *room = g_hash_table_lookup(table->rooms, service);
	uint32_t pressure =
	    room == NULL ? 0 : room->estimate.pressure_per_mille;

	if (pressure <= fewer)
		return true;
	return fewer + rng_below(rng, none - fewer) > pressure;
}

/*
 * Draw whether a hedge may be sent.
 */
bool
service_room_allows_hedge(
    struct service_room *table, const char *service, struct rng *rng)
{
	return draw_by_pressure(
	    table, service, HEDGE_FEWER_PER_MILLE, HEDGE_NONE_PER_MILLE, rng);
}

/*
 * Draw whether a retry may be sent.
 */
bool
service_room_allows_retry(
    struct service_room *table, const char *service, struct rng *rng)
{
	return draw_by_pressure(
	    table, service, RETRY_FEWER_PER_MILLE, RETRY_NONE_PER_MILLE, rng);
}

/*
 * Append the estimates as gauges.
 */
void
service_room_render(
    const struct service_room *table, int64_t now_ms, GString *out)
{
	GHashTableIter iter;
	gpointer service, value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, table->rooms);
	while (count++ < RENDERED_MAX &&
	    g_hash_table_iter_next(&iter, &service, &value)) {
		const struct room_estimate *estimate =
		    &((const struct room *)value)->estimate;

		g_string_append_printf(out,
		    "trefoilhill_service_pressure_per_mille{service=\"%s\"}"
		    " %u\ntrefoilhill_service_reported{service=\"%s\"} %u\n"
		    "trefoilhill_service_estimate_age_ms{service=\"%s\"} "
		    "%" G_GINT64_FORMAT "\n",
		    (const char *)service, estimate->pressure_per_mille,
		    (const char *)service, estimate->reported,
		    (const char *)service,
		    (gint64)(now_ms - estimate->updated_ms));
	}
}
