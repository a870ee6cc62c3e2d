#include "quarantine/quarantine.h"
#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/gate.h"

/* Requests that crash upstreams, as an exchange meets them. */

/*
 * Compute the key of a caller's request, from what has been received so far.
 */
void
exchange_set_key(struct exchange *exchange)
{
	const struct http_head *head = exchange->head;
	struct request_identity identity = {
		.host = http_head_find(head, str_from("host")),
		.target = http_head_span(head, head->target),
		.caller = exchange->proxy->settings->upstream.service,
		.body = account_buffer_view(&exchange->body),
	};

	exchange->key = request_key_of(&identity);
	exchange->has_key = true;
}

static enum quarantine_verdict
verdict_of(const struct exchange *exchange)
{
	if (!exchange->has_key)
		return QUARANTINE_FREE;
	return quarantine_check(exchange->proxy->quarantine, exchange->key,
	    proxy_now_ms(exchange->proxy));
}

/*
 * Tell whether the request may crash upstreams. It then runs alone among such
 * requests, and never twice at the same time.
 */
bool
exchange_is_suspect(const struct exchange *exchange)
{
	return exchange->suspect || exchange->hop.suspect ||
	    verdict_of(exchange) != QUARANTINE_FREE;
}

/*
 * Append what is known of the request to a message to a peer.
 */
void
exchange_write_suspect(const struct exchange *exchange, GString *text)
{
	const struct suspect *suspect = exchange->has_key
	    ? quarantine_find(exchange->proxy->quarantine, exchange->key)
	    : NULL;
	GString *value;

	if (suspect == NULL)
		return;
	value = g_string_new(NULL);
	suspect_format(suspect, proxy_now_ms(exchange->proxy), value);
	hop_write_suspect(text, str_make(value->str, value->len));
	g_string_free(value, TRUE);
}

/*
 * Tell whether the request must not run at all.
 */
bool
exchange_is_blocked(const struct exchange *exchange)
{
	return verdict_of(exchange) == QUARANTINE_BLOCKED;
}

/*
 * Tell whether the request may be sent to the upstream on this host now. If it
 * is in quarantine, takes the one run that is due.
 */
bool
exchange_may_run(struct exchange *exchange)
{
	switch (verdict_of(exchange)) {
	case QUARANTINE_FREE:
	case QUARANTINE_SUSPECT:
		return true;
	case QUARANTINE_TRIAL:
		return quarantine_begin_trial(exchange->proxy->quarantine,
		    exchange->key, proxy_now_ms(exchange->proxy));
	case QUARANTINE_BLOCKED:
		break;
	}
	return false;
}

/*
 * Record that the upstream on this host has run the request to its end: it
 * doesn't crash upstreams.
 */
void
exchange_record_success(struct exchange *exchange)
{
	struct proxy *proxy = exchange->proxy;

	if (!exchange->has_key)
		return;
	recent_runs_add(
	    gate_recent_runs(proxy->gate), exchange->key, proxy_now_ms(proxy));
	quarantine_add_success(
	    proxy->quarantine, exchange->key, proxy_now_ms(proxy));
}

/*
 * Give a request in quarantine its final response, unless an attempt is still
 * in progress. It names no time to come back, as that would be no use.
 */
void
exchange_respond_quarantined(struct exchange *exchange)
{
	if (exchange_active_attempts(exchange) > 0)
		return;
	if (exchange->origin == CALLER_LOCAL)
		proxy_count(&exchange->proxy->stats, STAT_QUARANTINED);
	exchange_respond(exchange, exchange->may_have_run ? 502 : 503,
	    EXCHANGE_REASON_QUARANTINED, false);
}
