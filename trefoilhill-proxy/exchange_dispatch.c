#include <string.h>

#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/gate.h"

enum {
	RUN_PRIOR_DIVISOR = 3, /* of the objective, before the first answer */
	LEFT_MIN_MS = 5,       /* nothing can be answered in less */
	/* A second send begins after this share of the objective, percent. */
	HEDGE_OBJECTIVE_PERCENT = 60,
	HEDGE_LATENCY_FACTOR = 3, /* or this many times the usual latency */
	/*
	 * At the gate a request waits as long as it can still be answered
	 * within the objective, but for this share of it at least, percent.
	 */
	WAIT_MIN_PERCENT = 25,
	/*
	 * Run times vary: as much again is kept free, or half of those that
	 * wait their full time would be late; but no more than this share of
	 * the objective, percent.
	 */
	WAIT_MARGIN_PERCENT = 25,
	/* One that is late already waits for this share of what is left. */
	LATE_WAIT_PERCENT = 40,
};

static void handle_hedge(uv_timer_t *timer);

static void
tried_add(struct exchange *exchange, struct upstream *upstream)
{
	if (exchange->tried_count == BALANCE_TRIED_MAX)
		return;
	exchange->tried_held[exchange->tried_count] = upstream_ref(upstream);
	exchange->tried[exchange->tried_count++] = upstream;
}

static size_t
attempt_index(const struct exchange *exchange, const struct attempt *attempt)
{
	size_t i = 0;

	while (i < EXCHANGE_ATTEMPTS_MAX && exchange->attempts[i] != attempt)
		i++;
	return i;
}

static uint32_t
fleet_nodes(const struct exchange *exchange)
{
	return g_hash_table_size(catalog_peers(exchange->proxy->catalog));
}

/* How long an upstream usually takes for such a request. */
static uint32_t
run_ms(const struct exchange *exchange)
{
	return run_times_ms(exchange->proxy->run_times, exchange->route->name,
	    exchange->objective_ms / RUN_PRIOR_DIVISOR);
}

/* How long the request may wait for its turn at the gate. */
static int64_t
wait_allowed_ms(struct exchange *exchange)
{
	int64_t now_ms = proxy_now_ms(exchange->proxy);
	int64_t objective_left = exchange->begun_ms + exchange->objective_ms -
	    exchange->spent_ms - now_ms;
	int64_t least =
	    (int64_t)exchange->objective_ms * WAIT_MIN_PERCENT / 100;
	int64_t most = exchange_left_ms(exchange) - run_ms(exchange);

	objective_left -= MIN(run_ms(exchange),
	    exchange->objective_ms * WAIT_MARGIN_PERCENT / 100);
	exchange->late = objective_left < run_ms(exchange);
	if (exchange->late)
		least = exchange_left_ms(exchange) * LATE_WAIT_PERCENT / 100;
	return MAX(0, MIN(MAX(objective_left - run_ms(exchange), least), most));
}

static void
start_attempt(struct exchange *exchange, struct upstream *upstream,
    int64_t wait_ms, bool repeat, bool hedge)
{
	struct attempt *attempt =
	    attempt_new(exchange, upstream, &exchange_attempt_ops);

	attempt->number = exchange->attempt_count;
	attempt->wait_ms = wait_ms;
	attempt->repeat = repeat;
	attempt->hedge = hedge;
	exchange->attempts[exchange->attempt_count++] = attempt;
	tried_add(exchange, upstream);
	exchange_log(exchange, LOG_CLASS_DECISION, "chosen", attempt,
	    hedge        ? "hedge"
		: repeat ? "repeat"
			 : "");
	attempt_start(attempt);
}

static void
hedge_schedule(struct exchange *exchange)
{
	uint64_t delay_ms =
	    (uint64_t)exchange->objective_ms * HEDGE_OBJECTIVE_PERCENT / 100;

	if (!exchange->idempotent || exchange->hedged || exchange->bulk ||
	    exchange->route->attempts_max < 2)
		return;
	delay_ms =
	    MAX(delay_ms, (uint64_t)run_ms(exchange) * HEDGE_LATENCY_FACTOR);
	uv_timer_start(&exchange->hedge, handle_hedge, delay_ms, 0);
}

static bool
pick(struct exchange *exchange, struct balance_choice *choice)
{
	struct balance_request request = {
		.catalog = exchange->proxy->catalog,
		.service = exchange->service,
		.zone = exchange->proxy->settings->node.zone.ptr,
		.host = exchange->proxy->host,
		.objective_ms = exchange->objective_ms,
		.run_ms = run_ms(exchange),
		.bulk = exchange->route->bulk,
		.now_ms = proxy_now_ms(exchange->proxy),
		.tried_count = exchange->tried_count,
	};
	struct upstream *local = gate_upstream(exchange->proxy->gate);

	if (local != NULL) {
		struct load_report report = gate_report(exchange->proxy->gate);

		upstream_learn(local, &report, request.now_ms);
	}
	memcpy(request.tried, exchange->tried, sizeof(request.tried));
	*choice = balance_pick(&request, exchange->proxy->rng);
	return choice->upstream != NULL;
}

/* No upstream is left to send it to. */
static void
give_up(struct exchange *exchange)
{
	const char *reason =
	    exchange->reason[0] == '\0' ? "no_upstream" : exchange->reason;

	if (exchange_running(exchange) > 0)
		return;
	if (exchange->may_have_run)
		exchange_answer_own(exchange, 502, reason, false);
	else
		exchange_answer_own(exchange, 503, reason, true);
}

static void
dispatch_from_peer(struct exchange *exchange)
{
	struct upstream *upstream = gate_upstream(exchange->proxy->gate);

	if (proxy_refuses_peers(exchange->proxy)) {
		exchange_answer_own(exchange, 503, "stopping", false);
		return;
	}
	if (!gate_serves(exchange->proxy->gate, exchange->hop.instance)) {
		exchange->misdirected = true;
		exchange_answer_own(exchange, 503, "other_instance", false);
		return;
	}
	start_attempt(exchange, upstream, exchange->hop.wait_ms, false, false);
}

static void
dispatch(struct exchange *exchange, bool repeat, bool hedge)
{
	struct balance_choice choice;

	if (exchange_left_ms(exchange) < LEFT_MIN_MS ||
	    exchange->attempt_count >= EXCHANGE_ATTEMPTS_MAX ||
	    !pick(exchange, &choice)) {
		give_up(exchange);
		return;
	}
	if (!hedge)
		hedge_schedule(exchange);
	start_attempt(exchange, choice.upstream, wait_allowed_ms(exchange),
	    repeat, hedge);
}

/*
 * Send the request to an upstream for the first time.
 */
void
exchange_dispatch(struct exchange *exchange)
{
	if (exchange->origin == CALLER_PEER)
		dispatch_from_peer(exchange);
	else
		dispatch(exchange, false, false);
}

static bool
repeat_is_paid(struct exchange *exchange)
{
	struct proxy *proxy = exchange->proxy;

	if (repeat_budget_take(proxy->repeats, exchange->service,
		fleet_nodes(exchange), proxy_now_ms(proxy)))
		return true;
	proxy_count(&proxy->stats, STAT_REPEATS_DENIED);
	return false;
}

/* May one more upstream run the request? */
static bool
may_run_again(const struct exchange *exchange)
{
	return exchange->idempotent && exchange->body_dropped == 0 &&
	    exchange->runs + exchange_running(exchange) <
	    exchange->route->attempts_max &&
	    exchange_left_ms(exchange) > LEFT_MIN_MS;
}

static void
handle_hedge(uv_timer_t *timer)
{
	struct exchange *exchange = timer->data;

	if (exchange->ended || exchange->answering != NULL ||
	    exchange->hedged || exchange_running(exchange) != 1 ||
	    !may_run_again(exchange) || !repeat_is_paid(exchange))
		return;
	exchange->hedged = true;
	proxy_count(&exchange->proxy->stats, STAT_HEDGES);
	dispatch(exchange, true, true);
}

static void
fail_from_peer(
    struct exchange *exchange, enum attempt_fate fate, const char *reason)
{
	exchange->may_have_run = fate == ATTEMPT_FATE_UNKNOWN;
	exchange_answer_own(
	    exchange, fate == ATTEMPT_FATE_UNKNOWN ? 502 : 503, reason, false);
}

/* The answer that was being passed on broke off. */
static bool
fail_answering(struct exchange *exchange, struct attempt *attempt)
{
	exchange->answering = NULL;
	if (!exchange->committed) {
		g_string_truncate(exchange->answer_head, 0);
		g_byte_array_set_size(exchange->held, 0);
		return false;
	}
	exchange_cut(exchange, attempt, "upstream broke off");
	return true;
}

/* Go on after an attempt that may have run. */
static void
after_unknown(struct exchange *exchange)
{
	exchange->may_have_run = true;
	exchange->runs++;
	if (exchange_running(exchange) > 0)
		return;
	if (!may_run_again(exchange) || !repeat_is_paid(exchange)) {
		give_up(exchange);
		return;
	}
	proxy_count(&exchange->proxy->stats, STAT_REPEATS);
	dispatch(exchange, true, false);
}

static void
handle_failed(
    struct attempt *attempt, enum attempt_fate fate, const char *reason)
{
	struct exchange *exchange = attempt->exchange;
	size_t index = attempt_index(exchange, attempt);

	if (index == EXCHANGE_ATTEMPTS_MAX || exchange->ended)
		return;
	exchange->attempts[index] = NULL;
	g_strlcpy(exchange->reason, reason, sizeof(exchange->reason));
	exchange_log(exchange,
	    fate == ATTEMPT_FATE_NOT_RUN ? LOG_CLASS_DECISION
					 : LOG_CLASS_FAILURE,
	    fate == ATTEMPT_FATE_NOT_RUN ? "not_run" : "unknown", attempt,
	    reason);
	if (attempt == exchange->answering && fail_answering(exchange, attempt))
		return;
	if (exchange->origin == CALLER_PEER) {
		if (attempt->reached)
			exchange->reaches++;
		fail_from_peer(exchange, fate, reason);
		return;
	}
	if (fate == ATTEMPT_FATE_UNKNOWN) {
		after_unknown(exchange);
		return;
	}
	if (exchange_running(exchange) > 0)
		return;
	/* A send that an upstream saw counts, also when it did not run. */
	if (attempt->reached && !repeat_is_paid(exchange))
		give_up(exchange);
	else
		dispatch(exchange, attempt->repeat, false);
}

/* A failure of this upstream may be no failure of another. */
static bool
retry_failure(struct exchange *exchange, struct attempt *attempt)
{
	size_t index = attempt_index(exchange, attempt);

	if (exchange->origin == CALLER_PEER || attempt->status < 500 ||
	    attempt->status == 504 || exchange_running(exchange) > 1 ||
	    exchange->runs + 1 >= exchange->route->attempts_max ||
	    !may_run_again(exchange))
		return false;
	exchange->runs++;
	if (!repeat_is_paid(exchange)) {
		exchange->runs--;
		return false;
	}
	exchange->may_have_run = true;
	g_snprintf(exchange->reason, sizeof(exchange->reason), "status_%u",
	    attempt->status);
	exchange_log(exchange, LOG_CLASS_DECISION, "failure_repeated", attempt,
	    exchange->reason);
	proxy_count(&exchange->proxy->stats, STAT_REPEATS);
	exchange->attempts[index] = NULL;
	attempt_discard(attempt);
	dispatch(exchange, true, false);
	return true;
}

static void
handle_head(struct attempt *attempt)
{
	struct exchange *exchange = attempt->exchange;

	if (retry_failure(exchange, attempt))
		return;
	exchange->answer_ms = proxy_now_ms(exchange->proxy);
	exchange->answer_run_ms = attempt->run_ms;
	if (exchange->route != NULL && attempt->status < 500 && !exchange->bulk)
		run_times_learn(exchange->proxy->run_times,
		    exchange->route->name, attempt->run_ms);
	exchange->answering = attempt;
	uv_timer_stop(&exchange->hedge);
	exchange_cancel_attempts(exchange, attempt);
	exchange_relay_head(exchange, attempt);
}

static void
handle_body(struct attempt *attempt, struct str bytes)
{
	exchange_relay_body(attempt->exchange, bytes);
}

static void
handle_end(struct attempt *attempt)
{
	struct exchange *exchange = attempt->exchange;
	size_t index = attempt_index(exchange, attempt);

	if (index < EXCHANGE_ATTEMPTS_MAX)
		exchange->attempts[index] = NULL;
	exchange_relay_end(exchange);
}

const struct attempt_ops exchange_attempt_ops = {
	.handle_head = handle_head,
	.handle_body = handle_body,
	.handle_end = handle_end,
	.handle_failed = handle_failed,
};
