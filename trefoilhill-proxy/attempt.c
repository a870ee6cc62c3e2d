#include <stdio.h>

#include "platform/headers.h"
#include "trefoilhill-proxy/attempt.h"
#include "trefoilhill-proxy/crash_watch.h"
#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/gate.h"
#include "trefoilhill-proxy/peer_health.h"

enum {
	/*
	 * A connection within a region takes a few milliseconds and needs no
	 * processor time of the peer. A lost SYN is retransmitted only after a
	 * second, and nothing has been sent yet, so another choice is free.
	 */
	PEER_CONNECT_MAX_MS = 150,
	/* Upstreams accept connections late while their queue is long. */
	UPSTREAM_CONNECT_MAX_MS = 400,
	/*
	 * Detects a peer that is cut off or without power while requests wait
	 * for it. Long enough for a retransmission of a lost segment.
	 */
	PEER_UNACKNOWLEDGED_MS = 350,
	/*
	 * The other side may have closed a connection that was idle for
	 * longer, so a request that can't be retried doesn't use one.
	 */
	NON_IDEMPOTENT_IDLE_MAX_MS = 1000,
	PEER_IDLE_CONNECTIONS_MAX = 16,
	PEER_IDLE_MS = 8000,
	US_PER_MS = 1000,
};

static void
handle_timer_closed(uv_handle_t *handle)
{
	struct attempt *attempt = (struct attempt *)handle;

	fleet_peer_unref(attempt->peer);
	upstream_unref(attempt->upstream);
	g_free(attempt);
}

/*
 * Release the attempt's slot at the gate, reporting the outcome. The attempt is
 * freed once its timer is closed.
 */
void
attempt_release(struct attempt *attempt, enum admission_outcome outcome)
{
	struct gate *gate = attempt->proxy->gate;
	int64_t now_ms = proxy_now_ms(attempt->proxy);
	int64_t latency_ms = now_ms - attempt->sent_ms;
	uint32_t latency_us;

	/* The upstream doesn't account for the time until a response's turn. */
	if (attempt->exchange->held && attempt->response_started)
		latency_ms = attempt->run_ms;
	if (outcome == ADMISSION_CANCELLED)
		outcome = attempt_cancelled_outcome(attempt, latency_ms);
	attempt->ended = true;
	crash_watch_release(gate_crash_watch(gate), attempt);
	attempt->upstream->own_in_flight--;
	if (attempt->local)
		admission_withdraw(gate_admission(gate), &attempt->waiter);
	run_list_remove(gate_runs(gate), &attempt->run);
	uv_close((uv_handle_t *)&attempt->timer, handle_timer_closed);
	if (!attempt->admitted)
		return;
	attempt->admitted = false;
	latency_us = (uint32_t)MAX(latency_ms, 0) * US_PER_MS;
	if (outcome == ADMISSION_SUCCEEDED ||
	    outcome == ADMISSION_DEADLINE_PASSED)
		gate_record_latency(gate, latency_us);
	admission_finish(gate_admission(gate), &attempt->waiter, outcome,
	    latency_us, now_ms);
	gate_poll(gate);
}

static void
stream_abort(struct attempt *attempt)
{
	if (attempt->stream != NULL)
		http_stream_abort(attempt->stream);
	attempt->stream = NULL;
}

/*
 * End an attempt without a complete response and notify its exchange.
 */
void
attempt_fail(
    struct attempt *attempt, enum attempt_failure failure, const char *reason)
{
	if (attempt->ended)
		return;
	attempt->ended = true;
	proxy_count(&attempt->proxy->stats,
	    failure == ATTEMPT_FAILURE_NOT_RUN ? STAT_ATTEMPTS_NOT_RUN
					       : STAT_ATTEMPTS_UNKNOWN);
	stream_abort(attempt);
	attempt->ops->handle_failed(attempt, failure, reason);
	attempt_release(
	    attempt, attempt_failure_outcome(attempt, failure, reason));
}

/*
 * Abort an attempt without notifying its exchange. Its connection is closed.
 */
void
attempt_cancel(struct attempt *attempt)
{
	if (attempt->ended)
		return;
	attempt->ended = true;
	stream_abort(attempt);
	attempt_release(attempt, ADMISSION_CANCELLED);
}

static void
handle_connect_timeout(uv_timer_t *timer)
{
	struct attempt *attempt = (struct attempt *)timer;

	if (attempt->ended)
		return;
	if (!attempt->local)
		peer_health_failed(
		    attempt->proxy, attempt->peer, "connect_timeout");
	attempt_fail(attempt, ATTEMPT_FAILURE_NOT_RUN, "connect_timeout");
}

static void
attempt_dial(struct attempt *attempt)
{
	attempt->reused = false;
	attempt->stream =
	    http_pool_connect(attempt->pool, &attempt_stream_ops, attempt);
	if (attempt->stream == NULL) {
		attempt_fail(attempt, ATTEMPT_FAILURE_NOT_RUN, "no_socket");
		return;
	}
	if (attempt->local)
		proxy_count(&attempt->proxy->stats, STAT_UPSTREAM_CONNECTIONS);
	uv_timer_start(&attempt->timer, handle_connect_timeout,
	    attempt->local ? UPSTREAM_CONNECT_MAX_MS : PEER_CONNECT_MAX_MS, 0);
}

/*
 * Send the request on a pooled connection, or on a new one once it is
 * established.
 */
void
attempt_connect(struct attempt *attempt)
{
	uint32_t idle_max_ms =
	    attempt->exchange->idempotent || attempt->needs_confirmation
	    ? UINT32_MAX
	    : NON_IDEMPOTENT_IDLE_MAX_MS;

	if (attempt->proxy->ending) {
		attempt_fail(
		    attempt, ATTEMPT_FAILURE_NOT_RUN, EXCHANGE_REASON_STOPPING);
		return;
	}
	if (attempt->local && !exchange_may_run(attempt->exchange)) {
		attempt->blocked = true;
		attempt_fail(attempt, ATTEMPT_FAILURE_NOT_RUN,
		    EXCHANGE_REASON_QUARANTINED);
		return;
	}
	if (attempt_is_unwanted(attempt))
		return;
	/* A pooled connection may hold a response to an earlier request, which
	 * only the id can tell. */
	if (attempt->exchange->id.len > 0)
		attempt->stream = http_pool_acquire(
		    attempt->pool, &attempt_stream_ops, attempt, idle_max_ms);
	attempt->reused = attempt->stream != NULL;
	if (attempt->reused)
		attempt_write_request(attempt);
	else
		attempt_dial(attempt);
}

static void
handle_connect(struct http_stream *stream)
{
	struct attempt *attempt = stream->owner;

	uv_timer_stop(&attempt->timer);
	if (!attempt_is_unwanted(attempt))
		attempt_write_request(attempt);
}

/* Record what is wrong with a response that can't be used. */
static void
record_malformed(struct attempt *attempt)
{
	proxy_count(&attempt->proxy->stats, STAT_RESPONSES_MALFORMED);
	exchange_log(attempt->exchange, LOG_CLASS_FAILURE, "answer_malformed",
	    attempt, http_stream_defect(attempt->stream));
}

/*
 * Find out whether the upstream on this host has crashed, as the connection was
 * lost. Returns true if the attempt fails only when that is known.
 */
static bool
watch_for_crash(struct attempt *attempt)
{
	struct crash_watch *watch = gate_crash_watch(attempt->proxy->gate);

	if (!attempt->local || upstream_is_leaving(attempt->upstream))
		return false;
	if (attempt->response_started) {
		crash_watch_add(watch, attempt);
		return false;
	}
	stream_abort(attempt);
	crash_watch_hold(watch, attempt);
	return true;
}

static void
handle_end(struct http_stream *stream, enum http_end_reason end)
{
	struct attempt *attempt = stream->owner;
	const char *reason = ATTEMPT_REASON_CONNECTION_LOST;
	bool malformed = end == HTTP_END_MALFORMED || end == HTTP_END_TOO_LARGE;

	if (attempt->ended)
		return;
	if (malformed)
		record_malformed(attempt);
	if (!attempt->local &&
	    (attempt->sent_ms == 0 || end == HTTP_END_TIMEOUT))
		peer_health_failed(attempt->proxy, attempt->peer,
		    attempt->sent_ms == 0 ? "unreachable" : "silent");
	if (attempt->sent_ms == 0) {
		attempt_fail(attempt, ATTEMPT_FAILURE_NOT_RUN, "unreachable");
		return;
	}
	if (!attempt->may_run) {
		attempt_fail(
		    attempt, ATTEMPT_FAILURE_NOT_RUN, "lost_unconfirmed");
		return;
	}
	if (!malformed && end != HTTP_END_REVOKED && watch_for_crash(attempt))
		return;
	if (attempt->response_started)
		reason = "answer_cut";
	else if (malformed)
		reason = "answer_malformed";
	if (attempt->response_started && stream->write_error != 0)
		proxy_count(&attempt->proxy->stats, STAT_RESPONSES_CUT_EARLY);
	attempt_fail(attempt, ATTEMPT_FAILURE_UNKNOWN, reason);
}

static void
handle_drain(struct http_stream *stream)
{
	struct attempt *attempt = stream->owner;

	exchange_push_body(attempt->exchange);
}

const struct http_stream_ops attempt_stream_ops = {
	.handle_head = attempt_handle_head,
	.handle_body = attempt_handle_body,
	.handle_body_pause = attempt_handle_body_pause,
	.handle_message = attempt_handle_message,
	.handle_end = handle_end,
	.handle_drain = handle_drain,
	.handle_continue = attempt_handle_continue,
	.handle_connect = handle_connect,
};

static void
handle_dequeue(struct admission_waiter *waiter, enum admission_reason reason)
{
	struct attempt *attempt = (struct attempt *)((char *)waiter -
	    offsetof(struct attempt, waiter));

	proxy_record_latency(&attempt->proxy->stats, LATENCY_QUEUE,
	    proxy_now_ms(attempt->proxy) - waiter->since_ms);
	if (reason != ADMISSION_OK) {
		attempt_fail(attempt, ATTEMPT_FAILURE_NOT_RUN,
		    admission_reason_name(reason));
		return;
	}
	exchange_log(
	    attempt->exchange, LOG_CLASS_DECISION, "dequeued", attempt, "");
	attempt_start_admitted(attempt);
}

static void
start_local(struct attempt *attempt)
{
	struct gate *gate = attempt->proxy->gate;
	enum admission_reason reason;
	int64_t now_ms = proxy_now_ms(attempt->proxy);

	if (gate_upstream(gate) != attempt->upstream) {
		attempt_fail(
		    attempt, ATTEMPT_FAILURE_NOT_RUN, "other_instance");
		return;
	}
	attempt->pool = gate_pool(gate);
	attempt->waiter.bulk = attempt->exchange->bulk;
	attempt->waiter.alone = exchange_is_suspect(attempt->exchange);
	attempt->waiter.late = attempt->exchange->late;
	attempt->waiter.priority = attempt->exchange->priority;
	attempt->waiter.work_ms = attempt->exchange->origin == CALLER_PEER
	    ? attempt->exchange->hop.work_ms
	    : attempt->exchange->work_ms;
	attempt->waiter.latest_start_ms = now_ms + attempt->queue_timeout_ms;
	attempt->waiter.handle_dequeue = handle_dequeue;
	switch (admission_offer(
	    gate_admission(gate), &attempt->waiter, now_ms, &reason)) {
	case ADMISSION_RUN:
		attempt_start_admitted(attempt);
		break;
	case ADMISSION_QUEUED:
		proxy_record_latency(&attempt->proxy->stats,
		    LATENCY_QUEUE_EXPECTED, attempt->waiter.expected_ms);
		/* It may have been refused in favour of another already. */
		if (!attempt->waiter.queued)
			break;
		exchange_log(attempt->exchange, LOG_CLASS_DECISION, "queued",
		    attempt, "");
		gate_poll(gate);
		break;
	case ADMISSION_REFUSED:
		attempt_fail(attempt, ATTEMPT_FAILURE_NOT_RUN,
		    admission_reason_name(reason));
		break;
	}
}

static struct http_pool *
peer_pool(struct attempt *attempt)
{
	struct fleet_peer *peer = attempt->peer;
	struct http_pool_settings settings = {
		.class = CONNECTION_UPSTREAM,
		.address = attempt->proxy->mesh_address,
		.idle_max = PEER_IDLE_CONNECTIONS_MAX,
		.idle_default_ms = PEER_IDLE_MS,
		.idle_max_ms = PEER_IDLE_MS,
		.unacknowledged_ms = PEER_UNACKNOWLEDGED_MS,
	};

	settings.address.sin_addr = peer->host;
	if (peer->pool == NULL)
		peer->pool =
		    http_pool_new(attempt->proxy->connections, &settings);
	return peer->pool;
}

/*
 * Return a new attempt at an upstream, to be started by attempt_start.
 */
struct attempt *
attempt_new(struct exchange *exchange, struct upstream *upstream,
    const struct attempt_ops *ops)
{
	struct attempt *attempt = g_new0(struct attempt, 1);

	attempt->ops = ops;
	attempt->exchange = exchange;
	attempt->proxy = exchange->proxy;
	attempt->upstream = upstream_ref(upstream);
	attempt->peer = fleet_peer_ref(upstream->peer);
	attempt->started_ms = proxy_now_ms(exchange->proxy);
	attempt->local = upstream == gate_upstream(exchange->proxy->gate);
	attempt->needs_confirmation =
	    !attempt->local && attempt_may_await_confirmation(exchange);
	upstream->own_in_flight++;
	uv_timer_init(exchange->proxy->loop, &attempt->timer);
	return attempt;
}

/*
 * Start an attempt. It may have failed and been released when this returns.
 */
void
attempt_start(struct attempt *attempt)
{
	proxy_count(&attempt->proxy->stats,
	    attempt->local ? STAT_ATTEMPTS_LOCAL : STAT_ATTEMPTS_REMOTE);
	if (attempt->local) {
		start_local(attempt);
		return;
	}
	fleet_zone_begin_request(
	    attempt->peer->zone, proxy_now_ms(attempt->proxy));
	attempt->pool = peer_pool(attempt);
	attempt_connect(attempt);
}
