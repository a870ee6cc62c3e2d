#include "platform/headers.h"
#include "trefoilhill-proxy/attempt.h"
#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/gate.h"
#include "trefoilhill-proxy/pipeline.h"
#include "trefoilhill-proxy/quota_link.h"

enum {
	CHUNK_HEADER_MAX = 24,
};

static bool
field_is_forwarded(const struct http_head *head, struct str name)
{
	return !http_field_is_hop_by_hop(head, name) &&
	    !hop_field_is_internal(name) && !platform_header_is_managed(name) &&
	    !str_equal_nocase(name, str_from("content-length")) &&
	    !str_equal_nocase(name, str_from("expect"));
}

/* Append the received fields that an upstream or another node may get. */
static void
write_received_fields(const struct exchange *exchange, GString *text)
{
	const struct http_head *head = exchange->head;
	bool has_workspaces = exchange_has_workspaces(exchange);

	for (size_t i = 0; i < head->field_count; i++) {
		struct str name = http_head_name(head, i);

		if (has_workspaces && platform_header_is_workspace(name))
			continue;
		if (field_is_forwarded(head, name))
			http_field_append(text, name, http_head_value(head, i));
	}
}

static bool
is_chunked(const struct attempt *attempt)
{
	return attempt->needs_confirmation || !attempt->exchange->has_length;
}

static void
write_framing(const struct attempt *attempt, GString *text)
{
	const struct exchange *exchange = attempt->exchange;

	if (is_chunked(attempt))
		g_string_append(text, "Transfer-Encoding: chunked\r\n");
	else if (exchange->length > 0 ||
	    http_head_find(exchange->head, str_from("content-length")).len > 0)
		g_string_append_printf(text,
		    "Content-Length: %" G_GUINT64_FORMAT "\r\n",
		    (guint64)exchange->length);
}

/* Service on the host where the request originated, local or told by a peer. */
static struct str
origin_service(const struct exchange *exchange)
{
	if (exchange->origin == CALLER_PEER)
		return exchange->hop.caller;
	return exchange->proxy->settings->upstream.service;
}

/* Would the load of this attempt not exist without a retry? */
static bool
is_repeat(const struct attempt *attempt)
{
	return attempt->is_retry || attempt->exchange->called_by_repeat;
}

/* The fields for the upstream on this host. */
static void
write_upstream_fields(const struct attempt *attempt, GString *text)
{
	const struct exchange *exchange = attempt->exchange;
	struct platform_forward_headers headers = {
		.deadline_ms = MAX(exchange_remaining_ms(exchange), 1),
		.instance = str_from(attempt->upstream->entry.id),
		.caller = origin_service(exchange),
		.workspace = exchange_workspace_name(exchange),
	};

	platform_write_forward_headers(text, &headers);
}

/* The fields for the node of an upstream on another host. */
static void
write_peer_fields(const struct attempt *attempt, GString *text)
{
	const struct exchange *exchange = attempt->exchange;
	struct hop_request hop = {
		.instance = str_from(attempt->upstream->entry.id),
		.caller = origin_service(exchange),
		.workspace = exchange_workspace_name(exchange),
		.remaining_ms = exchange_remaining_ms(exchange),
		.queue_timeout_ms = attempt->queue_timeout_ms,
		.priority = exchange->priority,
		.idempotent = exchange->idempotent,
		.bulk = exchange->bulk,
		.late = exchange->late,
		.repeat = is_repeat(attempt),
		.confirm = attempt->needs_confirmation,
		.body_length = (int64_t)account_buffer_len(&exchange->body),
		.rate_limit_per_ks = attempt->upstream->load.rate_limit_per_ks,
		.key = exchange->key,
		.suspect = exchange_is_suspect(exchange),
		.work_ms = exchange->work_ms,
	};

	hop_write_request(text, &hop);
	exchange_write_suspect(exchange, text);
	quota_link_write(exchange->proxy->quota_link, false, text);
}

/*
 * Send the request head and the part of the body received so far.
 */
void
attempt_write_request(struct attempt *attempt)
{
	struct exchange *exchange = attempt->exchange;
	const struct http_head *head = exchange->head;
	GString *text = g_string_sized_new(1024);
	struct str method = http_head_span(head, head->method);
	struct str target = http_head_span(head, head->target);

	http_stream_set_payer(attempt->stream, exchange->holder);
	g_string_append_len(text, method.ptr, (gssize)method.len);
	g_string_append_c(text, ' ');
	g_string_append_len(text, target.ptr, (gssize)target.len);
	g_string_append(text, " HTTP/1.1\r\n");
	write_received_fields(exchange, text);
	write_framing(attempt, text);
	if (attempt->local)
		write_upstream_fields(attempt, text);
	else
		write_peer_fields(attempt, text);
	g_string_append(text, "\r\n");
	attempt->sent_ms = proxy_now_ms(attempt->proxy);
	attempt->may_run = !attempt->needs_confirmation;
	if (attempt->local)
		run_list_add(gate_runs(attempt->proxy->gate), &attempt->run,
		    exchange->deadline_ms, is_repeat(attempt));
	attempt->body_sent = 0;
	attempt->body_end_sent = false;
	attempt->stream->skip_body = exchange->is_head_method;
	attempt->stream->read_max_bytes =
	    exchange->has_turn ? 0 : PIPELINE_READ_BYTES;
	http_stream_write(attempt->stream, str_make(text->str, text->len));
	g_string_free(text, TRUE);
	exchange_log(exchange, LOG_CLASS_DECISION, "sent", attempt,
	    attempt->reused ? "kept_connection" : "new_connection");
	if (attempt->needs_confirmation)
		attempt_await_grant(attempt);
	exchange_push_body(exchange);
}

static void
write_body(struct attempt *attempt, struct str bytes)
{
	char chunk_header[CHUNK_HEADER_MAX];
	int len;

	if (!is_chunked(attempt)) {
		http_stream_write(attempt->stream, bytes);
		return;
	}
	len = g_snprintf(
	    chunk_header, sizeof(chunk_header), "%zx\r\n", bytes.len);
	http_stream_write_pair(
	    attempt->stream, str_make(chunk_header, (size_t)len), bytes);
	http_stream_write(attempt->stream, str_from("\r\n"));
}

/*
 * Send the part of the request body that is received and not yet sent.
 */
void
attempt_push_body(struct attempt *attempt)
{
	struct exchange *exchange = attempt->exchange;
	struct str unsent;
	uint64_t start;

	if (attempt->ended || attempt->stream == NULL || !attempt->may_run ||
	    attempt->body_end_sent)
		return;
	if (http_stream_queued_bytes(attempt->stream) > HTTP_WRITE_HIGH_BYTES)
		return;
	start = attempt->body_sent - exchange->body_dropped;
	unsent = account_buffer_view(&exchange->body);
	unsent = str_make(unsent.ptr + start, unsent.len - start);
	if (unsent.len > 0) {
		write_body(attempt, unsent);
		attempt->body_sent += unsent.len;
	}
	if (!exchange->body_complete)
		return;
	attempt->body_end_sent = true;
	if (is_chunked(attempt))
		http_stream_write(attempt->stream, str_from("0\r\n\r\n"));
}
