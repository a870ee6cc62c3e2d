#include <stdio.h>

#include "platform/headers.h"
#include "trefoilhill-proxy/attempt.h"
#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/gate.h"
#include "trefoilhill-proxy/peer_health.h"
#include "trefoilhill-proxy/quarantine_news.h"
#include "trefoilhill-proxy/quota_link.h"

enum {
	/*
	 * Duplicate responses to earlier requests that are skipped on one
	 * connection, and their size. More are not worth waiting for the
	 * response that follows them.
	 */
	DISCARDED_MAX = 8,
	DISCARDED_MAX_BYTES = 4 * 1024 * 1024,
	STATUS_REQUEST_TIMEOUT = 408,
	STATUS_MISDIRECTED = 421,
	STATUS_TOO_MANY_REQUESTS = 429,
	STATUS_SERVICE_UNAVAILABLE = 503,
};

/* Which request a response on an attempt's connection belongs to. */
enum response_owner {
	RESPONSE_OF_THIS,    /* that of the attempt */
	RESPONSE_OF_ANOTHER, /* a duplicate response to an earlier one */
	RESPONSE_OF_UNKNOWN, /* it may be either */
};

/* Keep the connection if the rest of the response arrives soon. */
static void
stream_drain(struct attempt *attempt)
{
	struct http_stream *stream = attempt->stream;

	attempt_end_request(attempt);
	attempt->stream = NULL;
	if (attempt->body_end_sent)
		http_pool_drain(stream);
	else
		http_stream_abort(stream);
}

static void
fail_and_drain(
    struct attempt *attempt, enum attempt_failure failure, const char *reason)
{
	stream_drain(attempt);
	attempt_fail(attempt, failure, reason);
}

/*
 * End an attempt whose response has started but is not used.
 */
void
attempt_discard(struct attempt *attempt)
{
	attempt->ended = true;
	stream_drain(attempt);
	attempt_release(attempt, ADMISSION_FAILED);
}

/* Fail as the response tells nothing of whether the request has run. */
static void
fail_unusable(struct attempt *attempt, const char *reason)
{
	attempt_fail(attempt,
	    attempt->may_run ? ATTEMPT_FAILURE_UNKNOWN
			     : ATTEMPT_FAILURE_NOT_RUN,
	    reason);
}

/* Count a duplicate response that is skipped, or bytes of it. */
static void
count_discarded(struct attempt *attempt, uint32_t responses, size_t bytes)
{
	attempt->discarded_count += responses;
	attempt->discarded_bytes += bytes;
	if (attempt->discarded_count > DISCARDED_MAX ||
	    attempt->discarded_bytes > DISCARDED_MAX_BYTES)
		fail_unusable(attempt, "answers_discarded");
}

/* Skip a duplicate response to an earlier request. */
static void
skip_response(struct attempt *attempt)
{
	attempt->discarding = true;
	proxy_count(&attempt->proxy->stats, STAT_RESPONSES_DISCARDED);
	count_discarded(attempt, 1, 0);
}

/*
 * Tell by the echoed id which request a response belongs to. Without one, only
 * the first response on a connection can be to no other request.
 */
static enum response_owner
response_owner(const struct attempt *attempt)
{
	struct str id = platform_response_id(attempt->stream->head);

	if (id.len == 0)
		return attempt->reused || attempt->discarded_count > 0
		    ? RESPONSE_OF_UNKNOWN
		    : RESPONSE_OF_THIS;
	return str_equal(id, attempt->exchange->id) ? RESPONSE_OF_THIS
						    : RESPONSE_OF_ANOTHER;
}

/* Would a caller take this status for a promise that it has not run? */
static bool
promises_not_run(unsigned status)
{
	return status == STATUS_SERVICE_UNAVAILABLE ||
	    status == STATUS_TOO_MANY_REQUESTS ||
	    status == STATUS_REQUEST_TIMEOUT || status == STATUS_MISDIRECTED;
}

/* Check a response head from the upstream on this host. */
static void
read_upstream_head(struct attempt *attempt)
{
	const struct http_head *head = attempt->stream->head;
	struct platform_response_headers headers;
	bool misdirected;

	platform_parse_response_headers(head, &headers);
	/* This status comes from another upstream than the intended one. */
	misdirected = head->status == STATUS_MISDIRECTED && !headers.is_signed;
	if (headers.id.len > 0 && !misdirected)
		gate_record_notice(
		    attempt->proxy->gate, attempt->upstream, &headers.notice);
	if (headers.not_run || misdirected) {
		attempt->upstream_rejected = true;
		attempt->misdirected = misdirected;
		if (misdirected)
			gate_record_mismatch(attempt->proxy->gate);
		fail_and_drain(attempt, ATTEMPT_FAILURE_NOT_RUN,
		    misdirected ? "other_instance" : "shed");
		return;
	}
	if (promises_not_run(head->status)) {
		fail_and_drain(
		    attempt, ATTEMPT_FAILURE_UNKNOWN, "refusal_unproven");
		return;
	}
	if (http_head_find(head, str_from("content-encoding")).len > 0) {
		attempt_fail(
		    attempt, ATTEMPT_FAILURE_UNKNOWN, "answer_encoded");
		return;
	}
	if (head->status < 300 && (!headers.is_signed || headers.id.len == 0)) {
		attempt_fail(
		    attempt, ATTEMPT_FAILURE_UNKNOWN, "answer_unsigned");
		return;
	}
	attempt->response_started = true;
	attempt->status = head->status;
	attempt->run_ms = proxy_now_ms(attempt->proxy) - attempt->sent_ms;
	attempt->ops->handle_head(attempt);
}

/* Check a response head from a peer: its own, or one of an upstream. */
static void
read_peer_head(struct attempt *attempt)
{
	struct upstream *upstream = attempt->upstream;
	const struct http_head *head = attempt->stream->head;
	int64_t now_ms = proxy_now_ms(attempt->proxy);
	struct hop_response response;
	char reason[64];

	hop_read_response(head, &response);
	peer_health_responded(attempt->proxy, attempt->peer);
	if (response.has_load)
		upstream_set_load(
		    catalog_current(attempt->proxy->catalog, upstream),
		    &response.load, now_ms);
	if (response.leaving_instance.len > 0)
		catalog_mark_leaving(attempt->proxy->catalog,
		    response.leaving_instance, response.leaving_started_ms);
	quota_link_apply(attempt->proxy->quota_link, response.quota_text);
	if (response.suspect_text.len > 0)
		quarantine_news_read(
		    attempt->proxy->quarantine_news, response.suspect_text);
	if (response.outcome != HOP_RESPONSE) {
		attempt->upstream_rejected = response.upstream_rejected;
		g_snprintf(
		    reason, sizeof(reason), "%.*s", STR_ARG(response.reason));
		fail_and_drain(attempt,
		    response.outcome == HOP_NOT_RUN ? ATTEMPT_FAILURE_NOT_RUN
						    : ATTEMPT_FAILURE_UNKNOWN,
		    reason);
		return;
	}
	attempt->response_started = true;
	attempt->status = head->status;
	attempt->run_ms = response.run_ms;
	attempt->ops->handle_head(attempt);
}

/*
 * Handle a response head, from the upstream or a peer, if it belongs to the
 * request.
 */
void
attempt_handle_head(struct http_stream *stream)
{
	struct attempt *attempt = stream->owner;

	switch (response_owner(attempt)) {
	case RESPONSE_OF_ANOTHER:
		skip_response(attempt);
		break;
	case RESPONSE_OF_UNKNOWN:
		fail_unusable(attempt, "answer_unidentified");
		break;
	case RESPONSE_OF_THIS:
		if (attempt->local)
			read_upstream_head(attempt);
		else
			read_peer_head(attempt);
		break;
	}
}

/*
 * Relay a part of the response body.
 */
void
attempt_handle_body(struct http_stream *stream, struct str bytes)
{
	struct attempt *attempt = stream->owner;

	if (attempt->discarding) {
		count_discarded(attempt, 0, bytes.len);
		return;
	}
	attempt->response_bytes += bytes.len;
	attempt->ops->handle_body(attempt, bytes);
}

/*
 * Relay what was gathered of the response body.
 */
void
attempt_handle_body_pause(struct http_stream *stream)
{
	struct attempt *attempt = stream->owner;

	if (attempt->response_started && !attempt->discarding)
		attempt->ops->handle_body_pause(attempt);
}

static enum admission_outcome
response_outcome(const struct attempt *attempt)
{
	if (attempt->status == 504)
		return ADMISSION_DEADLINE_PASSED;
	return attempt->status >= 500 ? ADMISSION_FAILED : ADMISSION_SUCCEEDED;
}

/*
 * The response is complete: return the connection to the pool and end the
 * attempt.
 */
void
attempt_handle_message(struct http_stream *stream)
{
	struct attempt *attempt = stream->owner;

	if (attempt->discarding) {
		attempt->discarding = false;
		http_stream_next(stream);
		return;
	}
	attempt->ended = true;
	attempt->stream = NULL;
	proxy_record_latency(&attempt->proxy->stats, LATENCY_UPSTREAM,
	    proxy_now_ms(attempt->proxy) - attempt->sent_ms);
	/* The upstream would parse the rest of the body as a new request. */
	if (attempt->body_end_sent)
		http_pool_release(stream);
	else
		http_stream_abort(stream);
	if (attempt->local && attempt->exchange->bulk)
		gate_record_bulk(attempt->proxy->gate, attempt->response_bytes,
		    attempt->run_ms);
	if (attempt->local && attempt->status < 500)
		exchange_record_success(attempt->exchange);
	attempt->ops->handle_end(attempt);
	attempt_release(attempt, response_outcome(attempt));
}
