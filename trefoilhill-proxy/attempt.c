#include <stdio.h>

#include "platform/headers.h"
#include "trefoilhill-proxy/attempt.h"
#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/gate.h"

enum {
	/*
	 * To establish a connection within a region takes a few milliseconds;
	 * a lost opening packet is sent again after a second.
	 */
	CONNECT_MAX_MS = 400,
	/*
	 * The other side may have closed a connection that was idle for
	 * longer; what can't be repeated is not risked on it.
	 */
	ONCE_IDLE_MAX_MS = 1000,
	PEER_IDLE_CONNECTIONS_MAX = 16,
	PEER_IDLE_MS = 8000,
	MICROSECONDS = 1000,
};

static void
handle_timer_closed(uv_handle_t *handle)
{
	struct attempt *attempt = (struct attempt *)handle;

	upstream_unref(attempt->upstream);
	g_free(attempt);
}

/*
 * Give the place at the gate back and free the attempt soon.
 */
void
attempt_release(struct attempt *attempt, enum admission_outcome outcome)
{
	struct gate *gate = attempt->proxy->gate;
	int64_t now_ms = proxy_now_ms(attempt->proxy);
	int64_t latency_ms = now_ms - attempt->sent_ms;

	attempt->ended = true;
	attempt->upstream->own--;
	if (attempt->local)
		admission_withdraw(gate_admission(gate), &attempt->waiter);
	uv_close((uv_handle_t *)&attempt->timer, handle_timer_closed);
	if (!attempt->admitted)
		return;
	attempt->admitted = false;
	admission_finish(gate_admission(gate), &attempt->waiter, outcome,
	    (uint32_t)MAX(latency_ms, 0) * MICROSECONDS, now_ms);
	gate_poll(gate);
}

static void
stream_abort(struct attempt *attempt)
{
	if (attempt->stream != NULL)
		http_stream_abort(attempt->stream);
	attempt->stream = NULL;
}

/* What the end of an attempt says of the upstream. */
static enum admission_outcome
failure_outcome(const struct attempt *attempt, enum attempt_fate fate)
{
	if (attempt->sent_ms == 0)
		return ADMISSION_REFUSED_CONNECTION;
	if (fate == ATTEMPT_FATE_NOT_RUN)
		return ADMISSION_SHED;
	return ADMISSION_BROKEN;
}

/*
 * End an attempt without an answer and tell the exchange.
 */
void
attempt_fail(
    struct attempt *attempt, enum attempt_fate fate, const char *reason)
{
	if (attempt->ended)
		return;
	attempt->ended = true;
	proxy_count(&attempt->proxy->stats,
	    fate == ATTEMPT_FATE_NOT_RUN ? STAT_ATTEMPTS_NOT_RUN
					 : STAT_ATTEMPTS_UNKNOWN);
	stream_abort(attempt);
	attempt->ops->handle_failed(attempt, fate, reason);
	attempt_release(attempt, failure_outcome(attempt, fate));
}

/*
 * Give an attempt up. The upstream sees its connection closed.
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
		fleet_peer_lost(
		    attempt->upstream->peer, proxy_now_ms(attempt->proxy));
	attempt_fail(attempt, ATTEMPT_FATE_NOT_RUN, "connect_timeout");
}

static void
attempt_dial(struct attempt *attempt)
{
	attempt->reused = false;
	attempt->stream =
	    http_pool_dial(attempt->pool, &attempt_stream_ops, attempt);
	if (attempt->stream == NULL) {
		attempt_fail(attempt, ATTEMPT_FATE_NOT_RUN, "no_socket");
		return;
	}
	if (attempt->local)
		proxy_count(&attempt->proxy->stats, STAT_UPSTREAM_CONNECTIONS);
	uv_timer_start(
	    &attempt->timer, handle_connect_timeout, CONNECT_MAX_MS, 0);
}

/*
 * Find a connection and send the request, now or once it is established.
 */
void
attempt_connect(struct attempt *attempt)
{
	uint32_t idle_max_ms =
	    attempt->exchange->idempotent ? UINT32_MAX : ONCE_IDLE_MAX_MS;

	attempt->stream = http_pool_take(
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
	attempt_write_request(attempt);
}

/*
 * A kept connection of a peer had been closed before it was used. One of an
 * upstream may have been reset after the upstream ran the request.
 */
static bool
may_redial(const struct attempt *attempt)
{
	return !attempt->local && attempt->reused &&
	    attempt->exchange->idempotent && !attempt->answered &&
	    attempt->body_sent == 0 && !attempt->stream->message_begun;
}

static void
handle_end(struct http_stream *stream, enum http_end end)
{
	struct attempt *attempt = stream->owner;
	const char *reason = "connection_lost";

	if (attempt->ended)
		return;
	if (attempt->sent_ms == 0) {
		if (!attempt->local)
			fleet_peer_lost(attempt->upstream->peer,
			    proxy_now_ms(attempt->proxy));
		attempt_fail(attempt, ATTEMPT_FATE_NOT_RUN, "unreachable");
		return;
	}
	if (may_redial(attempt)) {
		stream_abort(attempt);
		attempt->sent_ms = 0;
		attempt_dial(attempt);
		return;
	}
	if (attempt->answered)
		reason = "answer_cut";
	else if (end == HTTP_END_MALFORMED || end == HTTP_END_TOO_LARGE)
		reason = "answer_malformed";
	attempt_fail(attempt, ATTEMPT_FATE_UNKNOWN, reason);
}

/* Keep the connection if the rest of the answer comes soon. */
static void
stream_drain(struct attempt *attempt)
{
	struct http_stream *stream = attempt->stream;

	attempt->stream = NULL;
	if (attempt->body_ended)
		http_pool_drain(attempt->pool, stream);
	else
		http_stream_abort(stream);
}

static void
fail_and_drain(
    struct attempt *attempt, enum attempt_fate fate, const char *reason)
{
	stream_drain(attempt);
	attempt_fail(attempt, fate, reason);
}

/*
 * Give up an attempt whose answer has begun but is of no use.
 */
void
attempt_discard(struct attempt *attempt)
{
	attempt->ended = true;
	stream_drain(attempt);
	attempt_release(attempt, ADMISSION_FAILED);
}

/* An answer from the upstream on this host: is it one to this request? */
static void
read_upstream_head(struct attempt *attempt)
{
	const struct http_head *head = attempt->stream->head;
	struct answer_marks marks;

	platform_read_answer(head, &marks);
	if (marks.id.len > 0 && !str_equal(marks.id, attempt->exchange->id)) {
		/* A second answer to an earlier request comes first. */
		attempt->discarding = true;
		proxy_count(&attempt->proxy->stats, STAT_ANSWERS_DISCARDED);
		return;
	}
	if (marks.not_run || head->status == 421) {
		attempt->reached = true;
		fail_and_drain(attempt, ATTEMPT_FATE_NOT_RUN,
		    head->status == 421 ? "other_instance" : "shed");
		return;
	}
	if (http_head_find(head, str_from("content-encoding")).len > 0) {
		attempt_fail(attempt, ATTEMPT_FATE_UNKNOWN, "answer_encoded");
		return;
	}
	if (head->status < 300 && (!marks.is_signed || marks.id.len == 0)) {
		attempt_fail(attempt, ATTEMPT_FATE_UNKNOWN, "answer_unsigned");
		return;
	}
	attempt->answered = true;
	attempt->status = head->status;
	attempt->run_ms = proxy_now_ms(attempt->proxy) - attempt->sent_ms;
	attempt->ops->handle_head(attempt);
}

/* An answer from a peer: its own word, or an upstream's answer. */
static void
read_peer_head(struct attempt *attempt)
{
	struct upstream *upstream = attempt->upstream;
	const struct http_head *head = attempt->stream->head;
	int64_t now_ms = proxy_now_ms(attempt->proxy);
	struct hop_answer answer;
	char reason[64];

	hop_read_answer(head, &answer);
	fleet_peer_heard(upstream->peer, now_ms);
	if (answer.has_load)
		upstream_learn(upstream, &answer.load, now_ms);
	if (answer.outcome != HOP_ANSWER) {
		attempt->reached = answer.reached;
		g_snprintf(
		    reason, sizeof(reason), "%.*s", STR_ARG(answer.reason));
		fail_and_drain(attempt,
		    answer.outcome == HOP_NOT_RUN ? ATTEMPT_FATE_NOT_RUN
						  : ATTEMPT_FATE_UNKNOWN,
		    reason);
		return;
	}
	attempt->answered = true;
	attempt->status = head->status;
	attempt->run_ms = answer.run_ms;
	attempt->ops->handle_head(attempt);
}

static void
handle_head(struct http_stream *stream)
{
	struct attempt *attempt = stream->owner;

	if (attempt->local)
		read_upstream_head(attempt);
	else
		read_peer_head(attempt);
}

static void
handle_body(struct http_stream *stream, struct str bytes)
{
	struct attempt *attempt = stream->owner;

	if (attempt->discarding)
		return;
	attempt->answer_bytes += bytes.len;
	attempt->ops->handle_body(attempt, bytes);
}

static enum admission_outcome
answer_outcome(const struct attempt *attempt)
{
	if (attempt->status == 504)
		return ADMISSION_MISSED;
	return attempt->status >= 500 ? ADMISSION_FAILED : ADMISSION_GOOD;
}

static void
handle_message(struct http_stream *stream)
{
	struct attempt *attempt = stream->owner;

	if (attempt->discarding) {
		attempt->discarding = false;
		http_stream_next(stream);
		return;
	}
	attempt->ended = true;
	attempt->stream = NULL;
	proxy_latency(&attempt->proxy->stats, LATENCY_UPSTREAM,
	    proxy_now_ms(attempt->proxy) - attempt->sent_ms);
	/* Bytes of a body that was not read would be taken for a request. */
	if (attempt->body_ended)
		http_pool_give(attempt->pool, stream);
	else
		http_stream_abort(stream);
	if (attempt->local && attempt->exchange->bulk)
		gate_learn_bulk(attempt->proxy->gate, attempt->answer_bytes,
		    attempt->run_ms);
	attempt->ops->handle_end(attempt);
	attempt_release(attempt, answer_outcome(attempt));
}

static void
handle_drain(struct http_stream *stream)
{
	struct attempt *attempt = stream->owner;

	exchange_push_body(attempt->exchange);
}

const struct http_stream_ops attempt_stream_ops = {
	.handle_head = handle_head,
	.handle_body = handle_body,
	.handle_message = handle_message,
	.handle_end = handle_end,
	.handle_drain = handle_drain,
	.handle_connect = handle_connect,
};

static void
handle_turn(struct admission_waiter *waiter, enum admission_reason reason)
{
	struct attempt *attempt = (struct attempt *)((char *)waiter -
	    offsetof(struct attempt, waiter));

	proxy_latency(&attempt->proxy->stats, LATENCY_QUEUE,
	    proxy_now_ms(attempt->proxy) - waiter->since_ms);
	if (reason != ADMISSION_OK) {
		attempt_fail(attempt, ATTEMPT_FATE_NOT_RUN,
		    admission_reason_name(reason));
		return;
	}
	attempt->admitted = true;
	exchange_log(
	    attempt->exchange, LOG_CLASS_DECISION, "dequeued", attempt, "");
	attempt_connect(attempt);
}

static void
start_local(struct attempt *attempt)
{
	struct gate *gate = attempt->proxy->gate;
	enum admission_reason reason;
	int64_t now_ms = proxy_now_ms(attempt->proxy);

	if (gate_upstream(gate) != attempt->upstream) {
		attempt_fail(attempt, ATTEMPT_FATE_NOT_RUN, "other_instance");
		return;
	}
	attempt->pool = gate_pool(gate);
	attempt->waiter.bulk = attempt->exchange->bulk;
	attempt->waiter.late = attempt->exchange->late;
	attempt->waiter.priority = attempt->exchange->priority;
	attempt->waiter.latest_start_ms = now_ms + attempt->wait_ms;
	attempt->waiter.handle_turn = handle_turn;
	switch (admission_offer(
	    gate_admission(gate), &attempt->waiter, now_ms, &reason)) {
	case ADMISSION_RUN:
		attempt->admitted = true;
		attempt_connect(attempt);
		break;
	case ADMISSION_QUEUED:
		exchange_log(attempt->exchange, LOG_CLASS_DECISION, "queued",
		    attempt, "");
		gate_poll(gate);
		break;
	case ADMISSION_REFUSED:
		attempt_fail(attempt, ATTEMPT_FATE_NOT_RUN,
		    admission_reason_name(reason));
		break;
	}
}

static struct http_pool *
peer_pool(struct attempt *attempt)
{
	struct fleet_peer *peer = attempt->upstream->peer;
	struct http_pool_settings settings = {
		.address = attempt->proxy->mesh_address,
		.idle_max = PEER_IDLE_CONNECTIONS_MAX,
		.idle_default_ms = PEER_IDLE_MS,
		.idle_max_ms = PEER_IDLE_MS,
	};

	settings.address.sin_addr = peer->host;
	if (peer->pool == NULL)
		peer->pool = http_pool_new(attempt->proxy->loop, &settings);
	return peer->pool;
}

/*
 * Return an attempt of an exchange at an upstream; it has not begun yet.
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
	attempt->begun_ms = proxy_now_ms(exchange->proxy);
	attempt->local = upstream == gate_upstream(exchange->proxy->gate);
	upstream->own++;
	uv_timer_init(exchange->proxy->loop, &attempt->timer);
	return attempt;
}

/*
 * Begin. The attempt may have failed, and be gone, when this returns.
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
	attempt->pool = peer_pool(attempt);
	attempt_connect(attempt);
}
