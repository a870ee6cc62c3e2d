#include <inttypes.h>
#include <string.h>

#include "trefoilhilld/entry_answer.h"

enum {
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
	MS_PER_S = 1000,
	HEAD_BYTES = 1024, /* of most answers */
	RETRY_SPREAD = 2,  /* come back within 1 to 1 + this many times */
};

/*
 * Prepare an answer. close: the connection is to end with it.
 */
void
entry_answer_init(
    struct entry_answer *answer, struct entry_request *request, bool close)
{
	memset(answer, 0, sizeof(*answer));
	answer->request = request;
	answer->close = close;
	answer->length = CALL_LENGTH_UNKNOWN;
}

/*
 * Write bytes to the caller. CivetWeb counts an incomplete write as failure.
 */
static bool
write_all(struct entry_answer *answer, const char *bytes, size_t len)
{
	if (len > 0 && !answer->failed &&
	    mg_write(answer->request->conn, bytes, len) < (int)len)
		answer->failed = true;
	return !answer->failed;
}

static bool
has_no_body(const struct entry_answer *answer)
{
	return answer->request->is_head ||
	    answer->status == STATUS_NO_CONTENT ||
	    answer->status == STATUS_NOT_MODIFIED;
}

static void
append_head(const struct entry_answer *answer, GString *out,
    const struct call_headers *headers)
{
	const char *text =
	    mg_get_response_code_text(answer->request->conn, answer->status);

	g_string_append_printf(out, "HTTP/1.1 %d %s\r\n", answer->status, text);
	for (size_t i = 0; i < headers->count; i++)
		g_string_append_printf(out, "%.*s: %.*s\r\n",
		    STR_ARG(headers->list[i].name),
		    STR_ARG(headers->list[i].value));
	g_string_append_printf(
	    out, "Trefoilhill-Request: %s\r\n", answer->request->id);
	if (answer->close)
		g_string_append(out, "Connection: close\r\n");
}

static void
append_framing(struct entry_answer *answer, GString *out)
{
	if (answer->length != CALL_LENGTH_UNKNOWN) {
		if (answer->status != STATUS_NO_CONTENT)
			g_string_append_printf(out,
			    "Content-Length: %" PRIu64 "\r\n", answer->length);
	} else if (!has_no_body(answer)) {
		answer->chunked = true;
		g_string_append(out, "Transfer-Encoding: chunked\r\n");
	}
	g_string_append(out, "\r\n");
}

static void
append_body(struct entry_answer *answer, GString *out, struct str body)
{
	if (answer->chunked && body.len > 0)
		g_string_append_printf(out, "%zx\r\n", body.len);
	if (body.len > 0)
		g_string_append_len(out, body.ptr, (gssize)body.len);
	if (answer->chunked && body.len > 0)
		g_string_append(out, "\r\n");
	answer->written += body.len;
}

/*
 * Begin the answer. When it is whole already its length is known, whatever
 * the upstream announced; head and body then leave in one write.
 */
bool
entry_answer_begin(
    struct entry_answer *answer, const struct call_head *head, struct str body)
{
	GString *out = g_string_sized_new(HEAD_BYTES + body.len);
	bool sent;

	answer->begun = true;
	answer->status = (int)head->status;
	answer->length = head->length;
	if (head->end && !has_no_body(answer) &&
	    head->length == CALL_LENGTH_UNKNOWN)
		answer->length = body.len;
	append_head(answer, out, &head->headers);
	append_framing(answer, out);
	if (!has_no_body(answer))
		append_body(answer, out, body);
	sent = write_all(answer, out->str, out->len);
	g_string_free(out, TRUE);
	return sent;
}

/*
 * Write the next bytes of the answer's body.
 */
bool
entry_answer_write(struct entry_answer *answer, struct str body)
{
	char size[24];
	int len;

	if (body.len == 0 || has_no_body(answer))
		return !answer->failed;
	answer->written += body.len;
	if (!answer->chunked)
		return write_all(answer, body.ptr, body.len);
	len = g_snprintf(size, sizeof(size), "%zx\r\n", body.len);
	return write_all(answer, size, (size_t)len) &&
	    write_all(answer, body.ptr, body.len) &&
	    write_all(answer, "\r\n", 2);
}

/*
 * See include/trefoilhilld/entry_answer.h.
 */
bool
entry_answer_end(struct entry_answer *answer)
{
	answer->ended = true;
	if (has_no_body(answer))
		return !answer->failed;
	if (answer->chunked)
		return write_all(answer, "0\r\n\r\n", 5);
	if (answer->written == answer->length)
		return !answer->failed;
	entry_answer_cut(answer);
	return false;
}

/*
 * See include/trefoilhilld/entry_answer.h. The caller sees the cut by the
 * length that isn't reached or the last chunk that doesn't come.
 */
void
entry_answer_cut(struct entry_answer *answer)
{
	answer->ended = true;
	mg_disable_connection_keep_alive(answer->request->conn);
}

/*
 * Spread the time to come back at random, so that callers refused together
 * don't come back together. The header counts in whole seconds.
 */
static uint64_t
retry_after_s(uint32_t retry_after_ms, struct rng *rng)
{
	uint64_t ms = retry_after_ms +
	    rng_below(rng, (uint64_t)retry_after_ms * RETRY_SPREAD + MS_PER_S);

	return MAX((ms + MS_PER_S - 1) / MS_PER_S, 1);
}

/*
 * Answer with an error of the system's own. A body that was not read to its
 * end can't be told from the next request, so the connection closes then.
 */
void
entry_answer_error(struct entry_answer *answer,
    const struct answer_error *error, struct rng *rng)
{
	GString *out = g_string_new(NULL);
	char *body = g_strdup_printf("{\"error\":\"%s\",\"detail\":\"%s\"}\n",
	    answer_error_name(error), answer_error_detail(error));
	struct call_headers none = { .count = 0 };

	answer->begun = true;
	answer->ended = true;
	answer->status = answer_error_status(error);
	answer->close = answer->close || !answer->request->body_ended;
	if (answer->close)
		mg_disable_connection_keep_alive(answer->request->conn);
	append_head(answer, out, &none);
	g_string_append_printf(out, "Trefoilhill-Outcome: %s\r\n",
	    error->not_run ? "not-run" : "unknown");
	if (error->retry_after_ms > 0)
		g_string_append_printf(out, "Retry-After: %" PRIu64 "\r\n",
		    retry_after_s(error->retry_after_ms, rng));
	g_string_append_printf(out,
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
	    strlen(body));
	if (!answer->request->is_head)
		g_string_append(out, body);
	write_all(answer, out->str, out->len);
	g_string_free(out, TRUE);
	g_free(body);
}
