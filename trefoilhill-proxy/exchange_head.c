#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/gate.h"
#include "trefoilhill-proxy/quota_link.h"

/* The parts of a response head, which is counted for the caller. */

enum {
	STATUS_LINE_MAX = 80,
	LENGTH_TEXT_MAX = 24,
	HEAD_RESERVED_BYTES = 512,   /* enough for most heads */
	FIELDS_RESERVED_BYTES = 256, /* of those for a peer */
};

static const char *
status_text(unsigned status)
{
	const char *text = http_status_str((enum http_status)status);

	return text == NULL ? "Unknown" : text;
}

/*
 * Append text to the response head.
 */
void
exchange_append_head(struct exchange *exchange, struct str text)
{
	account_buffer_append(&exchange->response_head, text);
}

/*
 * Begin the response head with the status, in place of what there is of it.
 */
void
exchange_begin_head(struct exchange *exchange)
{
	char line[STATUS_LINE_MAX];

	g_snprintf(line, sizeof(line), "HTTP/1.1 %u %s\r\n", exchange->status,
	    status_text(exchange->status));
	account_buffer_empty(&exchange->response_head);
	account_buffer_reserve(&exchange->response_head, HEAD_RESERVED_BYTES);
	exchange_append_head(exchange, str_from(line));
}

/*
 * Append the length of the body to the response head.
 */
void
exchange_append_length(struct exchange *exchange, uint64_t length)
{
	char digits[LENGTH_TEXT_MAX];

	g_snprintf(
	    digits, sizeof(digits), "%" G_GUINT64_FORMAT, (guint64)length);
	http_field_store(&exchange->response_head, str_from("Content-Length"),
	    str_from(digits));
}

/*
 * Tell a peer the load of the upstream here, and whether upstream leaves, which
 * may be NULL.
 */
void
exchange_write_load(
    struct exchange *exchange, const struct upstream *upstream, int64_t run_ms)
{
	struct load_report load;
	GString *fields;

	if (exchange->origin != CALLER_PEER)
		return;
	fields = g_string_sized_new(FIELDS_RESERVED_BYTES);
	load = gate_load_report(exchange->proxy->gate);
	/* The local instance's load doesn't apply to the intended one. */
	if (exchange->misdirected) {
		load.accepting = false;
		load.rate_limit_known = false;
		load.rate_limit_per_ks = 0;
	}
	hop_write_load(fields, &load, run_ms);
	quota_link_write(exchange->proxy->quota_link, true, fields);
	exchange_write_suspect(exchange, fields);
	if (upstream != NULL && upstream->notice.leaving)
		hop_write_leaving(fields, str_from(upstream->entry.id),
		    upstream->entry.started_ms);
	exchange_append_head(exchange, str_make(fields->str, fields->len));
	g_string_free(fields, TRUE);
}
