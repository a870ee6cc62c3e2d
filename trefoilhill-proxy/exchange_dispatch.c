#include <string.h>

#include "route/hedge_policy.h"
#include "route/queue_time.h"
#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/gate.h"

enum {
	/* Estimates run times from the objective before the first response. */
	RUN_ESTIMATE_DIVISOR = 3,
	REMAINING_MIN_MS = 5, /* too short for any response */
	US_PER_MS = 1000,
};

static void handle_hedge(uv_timer_t *timer);

static void
add_tried(struct exchange *exchange, struct upstream *upstream)
{
	if (exchange->tried_count == BALANCE_TRIED_MAX)
		return;
	exchange->tried_refs[exchange->tried_count] = upstream_ref(upstream);
	exchange->tried[exchange->tried_count++] = upstream;
}

static uint32_t
fleet_size(const struct exchange *exchange)
{
	return g_hash_table_size(catalog_peers(exchange->proxy->catalog));
}

/* Usual run time of the route's requests at an upstream, milliseconds. */
static uint32_t
expected_run_ms(const struct exchange *exchange)
{
	return run_times_mean_ms(exchange->proxy->run_times,
	    exchange->route->name,
	    exchange->objective_ms / RUN_ESTIMATE_DIVISOR);
}

/* How long the request may be queued at the gate; updates exchange->late. */
static struct queue_time
update_queue_time(struct exchange *exchange)
{
	struct queue_time_request request = {
		.objective_ms = exchange->objective_ms,
		.spent_ms = exchange->spent_ms + proxy_now_ms(exchange->proxy) -
		    exchange->started_ms,
		.remaining_ms = exchange_remaining_ms(exchange),
		.run_ms = expected_run_ms(exchange),
	};
	struct queue_time time = queue_time_of(&request);

	exchange->work_ms = run_times_mean_ms(
	    exchange->proxy->run_times, exchange->route->name, 0);
	exchange->late = time.late;
	return time;
}

static void
start_attempt(struct exchange *exchange, struct upstream *upstream,
    int64_t queue_timeout_ms, bool retry, bool hedge)
{
	struct attempt *attempt =
	    attempt_new(exchange, upstream, &exchange_attempt_ops);

	attempt->number = exchange->attempt_count;
	attempt->queue_timeout_ms = queue_timeout_ms;
	attempt->is_retry = retry;
	attempt->hedge = hedge;
	exchange->attempts[exchange->attempt_count++] = attempt;
	add_tried(exchange, upstream);
	exchange_log(exchange, LOG_CLASS_DECISION, "chosen", attempt,
	    hedge       ? "hedge"
		: retry ? "repeat"
			: "");
	attempt_start(attempt);
}

static void
schedule_hedge(struct exchange *exchange)
{
	struct proxy *proxy = exchange->proxy;
	int64_t now_ms = proxy_now_ms(proxy);
	struct hedge_situation situation = {
		.objective_ms = exchange->objective_ms,
		.spent_ms = exchange->spent_ms + now_ms - exchange->started_ms,
		.remaining_ms = exchange_remaining_ms(exchange),
		.run_ms = expected_run_ms(exchange),
		.tail_ms = run_times_tail_ms(
		    proxy->run_times, exchange->route->name, now_ms),
	};
	int64_t delay_ms = hedge_delay_ms(&situation);

	exchange->hedge_from_ms = now_ms;
	uv_timer_stop(&exchange->hedge);
	if (!exchange->idempotent || exchange->hedged || exchange->bulk ||
	    exchange->route->attempts_max < 2 || delay_ms < 0)
		return;
	uv_timer_start(&exchange->hedge, handle_hedge, (uint64_t)delay_ms, 0);
}

static void
count_choice(struct exchange *exchange, const struct balance_choice *choice)
{
	static const enum proxy_counter counters[BALANCE_CLASS_COUNT] = {
		[BALANCE_GOOD] = STAT_CHOICES_GOOD,
		[BALANCE_COLD] = STAT_CHOICES_COLD,
		[BALANCE_FAILING] = STAT_CHOICES_FAILING,
		[BALANCE_UNREACHABLE] = STAT_CHOICES_UNREACHABLE,
	};
	struct proxy_stats *stats = &exchange->proxy->stats;
	const struct upstream *upstream = choice->upstream;

	proxy_count(stats,
	    choice->refreshes ? STAT_CHOICES_REFRESH : counters[choice->class]);
	if (upstream->load_ms != 0)
		proxy_record_latency(stats, LATENCY_REPORT_AGE,
		    proxy_now_ms(exchange->proxy) - upstream->load_ms);
}

static bool
pick_upstream(struct exchange *exchange, struct balance_choice *choice)
{
	struct balance_request request = {
		.catalog = exchange->proxy->catalog,
		.service = exchange->service,
		.zone = exchange->proxy->settings->node.zone.ptr,
		.host = exchange->proxy->host,
		.objective_ms = exchange->objective_ms,
		.run_ms = expected_run_ms(exchange),
		.bulk = exchange->route->bulk,
		.now_ms = proxy_now_ms(exchange->proxy),
		.meet_by =
		    exchange_is_suspect(exchange) ? &exchange->key : NULL,
		.tried_count = exchange->tried_count,
	};
	struct upstream *local = gate_upstream(exchange->proxy->gate);
	const struct room_estimate *room;

	if (local != NULL) {
		struct load_report report =
		    gate_load_report(exchange->proxy->gate);

		/* This node's lag delays the request wherever it is sent. */
		report.lag_ms = 0;
		upstream_set_load(local, &report, request.now_ms);
	}
	room = service_room_estimate(exchange->proxy->service_room,
	    request.catalog, exchange->service, request.now_ms);
	if (room != NULL)
		request.mean_us = room->mean_us;
	memcpy(request.tried, exchange->tried, sizeof(request.tried));
	*choice = balance_pick(&request, exchange->proxy->rng);
	return choice->upstream != NULL;
}

/*
 * Respond with a failure unless an attempt is still in progress.
 */
void
exchange_respond_no_upstream(struct exchange *exchange)
{
	const char *reason =
	    exchange->reason[0] == '\0' ? "no_upstream" : exchange->reason;

	if (exchange_active_attempts(exchange) > 0)
		return;
	if (exchange->may_have_run)
		exchange_respond(exchange, 502, reason, false);
	else
		exchange_respond(exchange, 503, reason, true);
}

/*
 * Is this choice not worth the time of the caller, which can come back? Once
 * another upstream has refused the request, one that is probably unreachable
 * would only delay the same response.
 */
static bool
is_hopeless(
    const struct exchange *exchange, const struct balance_choice *choice)
{
	return choice->class == BALANCE_UNREACHABLE &&
	    exchange->tried_count > 0;
}

/*
 * Refuse the request if no upstream can have a place for it in time. It would
 * only take up the nodes on its way.
 */
static bool
is_without_room(struct exchange *exchange, int64_t max_wait_ms)
{
	struct proxy *proxy = exchange->proxy;
	struct room_request request = {
		.priority = exchange->priority,
		.max_wait_ms = max_wait_ms,
	};

	if (!service_room_refuses(proxy->service_room, exchange->service,
		&request, proxy_now_ms(proxy), proxy->rng))
		return false;
	proxy_count(&proxy->stats, STAT_REFUSED_NO_ROOM);
	g_strlcpy(exchange->reason, EXCHANGE_REASON_NO_ROOM,
	    sizeof(exchange->reason));
	return true;
}

static void
dispatch_peer_request(struct exchange *exchange)
{
	struct upstream *upstream = gate_upstream(exchange->proxy->gate);

	if (proxy_refuses_peers(exchange->proxy)) {
		exchange_respond(
		    exchange, 503, EXCHANGE_REASON_STOPPING, false);
		return;
	}
	if (!gate_accepts_instance(
		exchange->proxy->gate, exchange->hop.instance)) {
		exchange->misdirected = true;
		exchange_respond(exchange, 503, "other_instance", false);
		return;
	}
	if (exchange_is_blocked(exchange)) {
		exchange_respond_quarantined(exchange);
		return;
	}
	if (exchange_refuse_by_lag(exchange,
		gate_load_report(exchange->proxy->gate).latency_us / US_PER_MS))
		return;
	gate_adopt_rate_limit(
	    exchange->proxy->gate, exchange->hop.rate_limit_per_ks);
	start_attempt(
	    exchange, upstream, exchange->hop.queue_timeout_ms, false, false);
}

/*
 * Reject a request whose time is too short for any upstream. The caller gains
 * nothing by coming back, so it isn't told when.
 */
static void
respond_out_of_time(struct exchange *exchange)
{
	if (exchange_active_attempts(exchange) > 0)
		return;
	exchange_respond(
	    exchange, exchange->may_have_run ? 502 : 503, "out_of_time", false);
}

/*
 * Choose an upstream and start an attempt; retry if an earlier one has reached
 * an upstream, hedge if one is still in progress.
 */
void
exchange_start_next(struct exchange *exchange, bool retry, bool hedge)
{
	struct queue_time time = update_queue_time(exchange);
	struct balance_choice choice;

	if (exchange->caller_left)
		return;
	if (!exchange_is_resendable(exchange)) {
		exchange_respond_no_upstream(exchange);
		return;
	}
	if (exchange_is_blocked(exchange)) {
		exchange_respond_quarantined(exchange);
		return;
	}
	if (exchange->attempt_count == 0 &&
	    exchange_refuse_by_lag(exchange, expected_run_ms(exchange)))
		return;
	if (time.hopeless ||
	    exchange_remaining_ms(exchange) < REMAINING_MIN_MS) {
		respond_out_of_time(exchange);
		return;
	}
	if (exchange->attempt_count >= EXCHANGE_ATTEMPTS_MAX ||
	    !pick_upstream(exchange, &choice) ||
	    is_hopeless(exchange, &choice) ||
	    (!hedge && is_without_room(exchange, time.max_ms))) {
		exchange_respond_no_upstream(exchange);
		return;
	}
	count_choice(exchange, &choice);
	if (!hedge)
		schedule_hedge(exchange);
	start_attempt(exchange, choice.upstream, time.max_ms, retry, hedge);
}

/*
 * Start the first attempt, unless the request has to wait for others on its
 * connection.
 */
void
exchange_dispatch(struct exchange *exchange)
{
	if (exchange->origin == CALLER_LOCAL &&
	    !caller_may_forward(exchange->caller, exchange)) {
		exchange->waiting = true;
		return;
	}
	if (exchange->origin == CALLER_LOCAL)
		exchange_set_key(exchange);
	if (exchange->origin == CALLER_PEER)
		dispatch_peer_request(exchange);
	else
		exchange_start_next(exchange, false, false);
}

/*
 * Take a retry out of the budget; returns false if it is used up, if the
 * service is short of capacity, or if the request can't be sent again.
 */
bool
exchange_take_retry_token(struct exchange *exchange)
{
	struct proxy *proxy = exchange->proxy;

	if (!exchange_is_resendable(exchange))
		return false;
	if (!service_room_allows_retry(
		proxy->service_room, exchange->service, proxy->rng)) {
		proxy_count(&proxy->stats, STAT_RETRIES_NO_ROOM);
		return false;
	}
	if (fleet_retry_budget_withdraw(proxy->retry_budget, exchange->service,
		fleet_size(exchange), proxy_now_ms(proxy)))
		return true;
	proxy_count(&proxy->stats, STAT_RETRIES_DENIED);
	return false;
}

/*
 * Tell whether another upstream may run the request, apart from the retry
 * budget.
 */
bool
exchange_is_retry_allowed(const struct exchange *exchange)
{
	return exchange->idempotent && exchange_is_resendable(exchange) &&
	    exchange->runs + exchange_active_attempts(exchange) <
	    exchange->route->attempts_max &&
	    exchange_remaining_ms(exchange) > REMAINING_MIN_MS;
}

static void
handle_hedge(uv_timer_t *timer)
{
	struct exchange *exchange = timer->data;
	struct proxy *proxy = exchange->proxy;

	if (exchange->ended || exchange->responding != NULL ||
	    exchange->hedged || exchange_active_attempts(exchange) != 1 ||
	    exchange_is_suspect(exchange) ||
	    !exchange_is_retry_allowed(exchange))
		return;
	if (!service_room_allows_hedge(
		proxy->service_room, exchange->service, proxy->rng)) {
		proxy_count(&proxy->stats, STAT_HEDGES_NO_ROOM);
		return;
	}
	if (!exchange_take_retry_token(exchange)) {
		proxy_count(&proxy->stats, STAT_HEDGES_NO_BUDGET);
		return;
	}
	exchange->hedged = true;
	proxy_count(&proxy->stats, STAT_HEDGES);
	exchange_start_next(exchange, true, true);
}
