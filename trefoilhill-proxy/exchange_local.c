#include <string.h>

#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/gate.h"

/* Responses of the node's own. */

enum {
	FIELDS_RESERVED_BYTES = 256,
};

static void
log_local_response(struct exchange *exchange, const char *reason)
{
	struct proxy_stats *stats = &exchange->proxy->stats;
	bool refused = exchange->status == 503 || exchange->status == 429 ||
	    exchange->status == 408;

	if (exchange->origin == CALLER_LOCAL && exchange->status != 404)
		proxy_count(stats,
		    refused                      ? STAT_REFUSED
			: exchange->status < 500 ? STAT_BAD_REQUESTS
						 : STAT_FAILED);
	exchange_log(exchange, LOG_CLASS_FAILURE,
	    refused ? "refused" : "failed", NULL, reason);
}

/*
 * Send a response of the proxy's own whose head is formatted up to the fields
 * that depend on the connection.
 */
void
exchange_send_local(struct exchange *exchange)
{
	const char *reason = exchange->is_head_method ? "" : exchange->reason;

	exchange->committed = true;
	exchange_write_connection(exchange);
	exchange_write_load(exchange, gate_upstream(exchange->proxy->gate), 0);
	exchange_append_length(exchange, strlen(reason));
	exchange_append_head(exchange, str_from("\r\n"));
	http_stream_write_pair(exchange->caller->stream,
	    account_buffer_view(&exchange->response_head), str_from(reason));
	caller_finish_response(exchange->caller);
}

/*
 * Send a response of the proxy's own: a refusal, which promises that the
 * request has not run and never will, or a failure, which promises nothing.
 * retryable adds Retry-After for callers. Does nothing once a response is
 * committed.
 */
void
exchange_respond(struct exchange *exchange, unsigned status, const char *reason,
    bool retryable)
{
	GString *fields;

	if (exchange->ended || exchange->committed ||
	    exchange->response_complete || exchange->caller == NULL)
		return;
	exchange->status = status;
	log_local_response(exchange, reason);
	if (!exchange->may_have_run)
		exchange_return_quota(exchange);
	exchange_begin_head(exchange);
	fields = g_string_sized_new(FIELDS_RESERVED_BYTES);
	platform_write_local_response_headers(fields, exchange->id);
	if (exchange->origin == CALLER_PEER)
		hop_write_outcome(fields,
		    exchange->may_have_run ? HOP_FAILED : HOP_NOT_RUN, reason,
		    exchange->upstream_rejections > 0);
	exchange_append_head(exchange, str_make(fields->str, fields->len));
	g_string_free(fields, TRUE);
	if (exchange->origin != CALLER_PEER && retryable)
		exchange_write_retry_after(exchange);
	if (reason != exchange->reason)
		g_strlcpy(exchange->reason, reason, sizeof(exchange->reason));
	if (exchange->has_turn) {
		exchange_send_local(exchange);
		return;
	}
	exchange->has_local_response = true;
	exchange_hold_response(exchange);
}
