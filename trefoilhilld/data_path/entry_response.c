#include <inttypes.h>
#include <string.h>

#include "trefoilhilld/entry_response.h"

enum {
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
	MS_PER_S = 1000,
	HEAD_SIZE_HINT = 1024, /* enough for most response heads */
	RETRY_SPREAD = 2, /* Retry-After: 1 to 1 + this many times the delay */
};

/*
 * Initialize a response. If close is set, the connection ends with it.
 */
void
entry_response_init(
    struct entry_response *response, struct entry_request *request, bool close)
{
	memset(response, 0, sizeof(*response));
	response->request = request;
	response->close = close;
	response->length = CALL_LENGTH_UNKNOWN;
}

/*
 * Write bytes to the caller. A short write means that the connection failed.
 */
static bool
write_all(struct entry_response *response, const char *bytes, size_t len)
{
	if (len > 0 && !response->failed &&
	    mg_write(response->request->conn, bytes, len) < (int)len)
		response->failed = true;
	return !response->failed;
}

static bool
has_no_body(const struct entry_response *response)
{
	return response->request->is_head ||
	    response->status == STATUS_NO_CONTENT ||
	    response->status == STATUS_NOT_MODIFIED;
}

static void
append_head(const struct entry_response *response, GString *out,
    const struct call_headers *headers)
{
	const char *text = mg_get_response_code_text(
	    response->request->conn, response->status);

	g_string_append_printf(
	    out, "HTTP/1.1 %d %s\r\n", response->status, text);
	for (size_t i = 0; i < headers->count; i++)
		g_string_append_printf(out, "%.*s: %.*s\r\n",
		    STR_ARG(headers->list[i].name),
		    STR_ARG(headers->list[i].value));
	g_string_append_printf(
	    out, "Trefoilhill-Request: %s\r\n", response->request->id);
	if (response->close)
		g_string_append(out, "Connection: close\r\n");
}

static void
append_framing(struct entry_response *response, GString *out)
{
	if (response->length != CALL_LENGTH_UNKNOWN) {
		if (response->status != STATUS_NO_CONTENT)
			g_string_append_printf(out,
			    "Content-Length: %" PRIu64 "\r\n",
			    response->length);
	} else if (!has_no_body(response)) {
		response->chunked = true;
		g_string_append(out, "Transfer-Encoding: chunked\r\n");
	}
	g_string_append(out, "\r\n");
}

static void
append_body(struct entry_response *response, GString *out, struct str body)
{
	if (response->chunked && body.len > 0)
		g_string_append_printf(out, "%zx\r\n", body.len);
	if (body.len > 0)
		g_string_append_len(out, body.ptr, (gssize)body.len);
	if (response->chunked && body.len > 0)
		g_string_append(out, "\r\n");
	response->written += body.len;
}

/*
 * Begin the response. If the body is complete, its length is known even if the
 * upstream did not announce one. Head and body are sent in one write.
 */
bool
entry_response_begin(struct entry_response *response,
    const struct call_head *head, struct str body)
{
	GString *out = g_string_sized_new(HEAD_SIZE_HINT + body.len);
	bool sent;

	response->begun = true;
	response->status = (int)head->status;
	response->length = head->length;
	if (head->end && !has_no_body(response) &&
	    head->length == CALL_LENGTH_UNKNOWN)
		response->length = body.len;
	append_head(response, out, &head->headers);
	append_framing(response, out);
	if (!has_no_body(response))
		append_body(response, out, body);
	sent = write_all(response, out->str, out->len);
	g_string_free(out, TRUE);
	return sent;
}

/*
 * Write the next bytes of the response body.
 */
bool
entry_response_write(struct entry_response *response, struct str body)
{
	char size[24];
	int len;

	if (body.len == 0 || has_no_body(response))
		return !response->failed;
	response->written += body.len;
	if (!response->chunked)
		return write_all(response, body.ptr, body.len);
	len = g_snprintf(size, sizeof(size), "%zx\r\n", body.len);
	return write_all(response, size, (size_t)len) &&
	    write_all(response, body.ptr, body.len) &&
	    write_all(response, "\r\n", 2);
}

/*
 * See include/trefoilhilld/entry_response.h.
 */
bool
entry_response_end(struct entry_response *response)
{
	response->ended = true;
	if (has_no_body(response))
		return !response->failed;
	if (response->chunked)
		return write_all(response, "0\r\n\r\n", 5);
	if (response->written == response->length)
		return !response->failed;
	entry_response_abort(response);
	return false;
}

/*
 * See include/trefoilhilld/entry_response.h. The caller detects the truncation
 * by the missing bytes or the missing last chunk.
 */
void
entry_response_abort(struct entry_response *response)
{
	response->ended = true;
	mg_disable_connection_keep_alive(response->request->conn);
}

/*
 * Randomize Retry-After, so that callers that were refused at the same time do
 * not return at the same time. The header has a resolution of whole seconds.
 */
static uint64_t
retry_after_s(uint32_t retry_after_ms, struct rng *rng)
{
	uint64_t ms = retry_after_ms +
	    rng_below(rng, (uint64_t)retry_after_ms * RETRY_SPREAD + MS_PER_S);

	return MAX((ms + MS_PER_S - 1) / MS_PER_S, 1);
}

/*
 * Send an error generated by this node. If the body was not read to its end,
 * its rest cannot be told from the next request, so the connection is closed.
 */
void
entry_response_send_error(struct entry_response *response,
    const struct response_error *error, struct rng *rng)
{
	GString *out = g_string_new(NULL);
	char *body = g_strdup_printf("{\"error\":\"%s\",\"detail\":\"%s\"}\n",
	    response_error_name(error), response_error_detail(error));
	struct call_headers none = { .count = 0 };

	response->begun = true;
	response->ended = true;
	response->status = response_error_status(error);
	response->close = response->close || !response->request->body_ended;
	if (response->close)
		mg_disable_connection_keep_alive(response->request->conn);
	append_head(response, out, &none);
	g_string_append_printf(out, "Trefoilhill-Outcome: %s\r\n",
	    error->not_run ? "not-run" : "unknown");
	if (error->retry_after_ms > 0)
		g_string_append_printf(out, "Retry-After: %" PRIu64 "\r\n",
		    retry_after_s(error->retry_after_ms, rng));
	g_string_append_printf(out,
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
	    strlen(body));
	if (!response->request->is_head)
		g_string_append(out, body);
	write_all(response, out->str, out->len);
	g_string_free(out, TRUE);
	g_free(body);
}
