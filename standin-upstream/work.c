#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "common/body_pattern.h"
#include "standin-platform/http.h"
#include "standin-upstream/serve.h"

enum {
	CHUNK_BYTES = 64 * 1024,
	DISCARD_BYTES = 4096,
	HEADERS_MAX = 256,
	REQUEST_ID_MAX = 128,
	PEER_POLL_MS = 100,
	DEFAULT_TIMEOUT_MS = 600000,
	DECIMAL = 10,
};

/* A request's work, parsed from its query and headers. */
struct work {
	char request[REQUEST_ID_MAX];
	uint64_t work_ms;
	uint64_t size;
	uint64_t chunk_ms;
	struct timespec deadline;
	uint64_t generation;
};

enum work_result {
	WORK_DONE,
	WORK_CANCELLED,
	WORK_DEADLINE,
	WORK_LOST,
};

static void
parse_work(
    struct mg_connection *conn, struct upstream *upstream, struct work *work)
{
	const char *id = mg_get_header(conn, "Trefoilhill-Request");
	const char *timeout = mg_get_header(conn, "Trefoilhill-Timeout-Ms");
	uint64_t timeout_ms = DEFAULT_TIMEOUT_MS;

	if (id != NULL)
		g_strlcpy(work->request, id, sizeof(work->request));
	else
		g_snprintf(work->request, sizeof(work->request),
		    "unnamed-%" PRIuFAST64,
		    atomic_fetch_add(&upstream->next_request, 1));
	if (timeout != NULL)
		timeout_ms =
		    MIN(timeout_ms, g_ascii_strtoull(timeout, NULL, DECIMAL));
	work->deadline =
	    timespec_plus_ms(clock_now(upstream->clock), (int64_t)timeout_ms);
	work->work_ms = MIN(standin_http_query_number(conn, "work_ms", 0),
	    (uint64_t)DEFAULT_TIMEOUT_MS);
	work->size = standin_http_query_number(conn, "size", 0);
	work->chunk_ms = MIN(standin_http_query_number(conn, "chunk_ms", 0),
	    (uint64_t)DEFAULT_TIMEOUT_MS);
}

static void
discard_body(struct mg_connection *conn)
{
	char buffer[DISCARD_BYTES];

	while (mg_read(conn, buffer, sizeof(buffer)) > 0)
		continue;
}

/* Block while the upstream is set to hang. */
static enum work_result
wait_while_hung(struct mg_connection *conn, struct upstream *upstream)
{
	while (atomic_load(&upstream->hung)) {
		if (atomic_load(&upstream->stopping) ||
		    standin_http_is_peer_closed(conn, PEER_POLL_MS))
			return WORK_CANCELLED;
	}
	return WORK_DONE;
}

/* Wait for the work time; a closed peer or the deadline ends it early. */
static enum work_result
simulate_work(struct mg_connection *conn, struct upstream *upstream,
    const struct work *work)
{
	uint64_t slowdown = upstream_is_cold(upstream)
	    ? atomic_load(&upstream->cold_slowdown)
	    : 1;
	struct timespec end = timespec_plus_ms(
	    clock_now(upstream->clock), (int64_t)(work->work_ms * slowdown));

	for (;;) {
		struct timespec now = clock_now(upstream->clock);
		int64_t left_ms = timespec_ms_between(now, end);

		if (upstream_has_failed_since(upstream, work->generation))
			return WORK_LOST;
		if (!timespec_before(now, end))
			return wait_while_hung(conn, upstream);
		if (!timespec_before(now, work->deadline))
			return WORK_DEADLINE;
		left_ms =
		    MIN(left_ms, timespec_ms_between(now, work->deadline));
		left_ms = CLAMP(left_ms, 1, PEER_POLL_MS);
		if (standin_http_is_peer_closed(conn, (int)left_ms) ||
		    atomic_load(&upstream->stopping))
			return WORK_CANCELLED;
	}
}

static void
format_headers(struct upstream *upstream, const struct work *work, char *out)
{
	g_snprintf(out, HEADERS_MAX,
	    "X-Standin-Name: %s\r\nX-Standin-Request: %s\r\n",
	    upstream->options->name, work->request);
}

/* Send a body in chunks, with only one chunk in memory. */
static enum work_result
stream_body(struct mg_connection *conn, struct upstream *upstream,
    const struct work *work, const struct body_pattern *pattern)
{
	char headers[HEADERS_MAX];
	char *chunk = g_malloc(CHUNK_BYTES);
	enum work_result end = WORK_CANCELLED;

	format_headers(upstream, work, headers);
	mg_printf(conn,
	    "HTTP/1.1 200 OK\r\nContent-Length: %" PRIu64 "\r\n%s\r\n",
	    work->size, headers);
	for (uint64_t at = 0; at < work->size; at += CHUNK_BYTES) {
		size_t len = MIN(work->size - at, (uint64_t)CHUNK_BYTES);

		if (at > 0 && work->chunk_ms > 0 &&
		    standin_http_is_peer_closed(conn, (int)work->chunk_ms))
			goto out;
		if (upstream_has_failed_since(upstream, work->generation)) {
			end = WORK_LOST;
			goto out;
		}
		body_pattern_fill(pattern, at, chunk, len);
		if (mg_write(conn, chunk, len) != (int)len ||
		    atomic_load(&upstream->stopping))
			goto out;
	}
	end = WORK_DONE;
out:
	g_free(chunk);
	return end;
}

/* Send the response. A failure after its headers closes the connection. */
static int
send_response(struct mg_connection *conn, struct upstream *upstream,
    const struct work *work)
{
	bool head =
	    strcmp(mg_get_request_info(conn)->request_method, "HEAD") == 0;
	struct body_pattern pattern;
	char headers[HEADERS_MAX];
	char *body;
	enum work_result end;
	int status;

	body_pattern_init(&pattern, str_from(work->request), work->size);
	if (work->size > CHUNK_BYTES && !head) {
		end = stream_body(conn, upstream, work, &pattern);
		if (upstream_finish_work(
			upstream, work->generation, end == WORK_DONE) &&
		    end == WORK_DONE)
			return 200;
		atomic_fetch_add(&upstream->cancelled, end == WORK_CANCELLED);
		return standin_http_close(conn);
	}
	/* Free the slot first: the caller's next request may follow at once. */
	if (!upstream_finish_work(upstream, work->generation, true))
		return standin_http_reply_error(conn, 500, "fallen_over");
	format_headers(upstream, work, headers);
	if (head)
		return standin_http_reply(conn, 200, headers, NULL, 0);
	body = g_malloc(work->size);
	body_pattern_fill(&pattern, 0, body, work->size);
	status = standin_http_reply(conn, 200, headers, body, work->size);
	g_free(body);
	return status;
}

static int
reply_not_begun(struct mg_connection *conn, struct upstream *upstream,
    enum begin_result result)
{
	static const char shed_body[] = "{\"error\":\"shed\"}";

	switch (result) {
	case BEGIN_FAILING:
		return standin_http_reply_error(conn, 500, "fallen_over");
	case BEGIN_CANCELLED:
		atomic_fetch_add(&upstream->cancelled, 1);
		return standin_http_close(conn);
	case BEGIN_DEADLINE:
		atomic_fetch_add(&upstream->deadline_passed, 1);
		break;
	default:
		break;
	}
	return standin_http_reply(conn, 503,
	    "Retry-After: 1\r\nX-Standin-Outcome: shed\r\n", shed_body,
	    strlen(shed_body));
}

/*
 * Simulate the work that a request asks for, in a slot, and count the run.
 */
int
serve_work(struct mg_connection *conn, struct upstream *upstream)
{
	struct work work;
	enum begin_result result;

	parse_work(conn, upstream, &work);
	discard_body(conn);
	result = upstream_begin_work(
	    upstream, conn, work.deadline, &work.generation);
	/* A 500 does not promise that the request did not run: count it. */
	if (result == BEGIN_OK || result == BEGIN_FAILING)
		run_log_add(upstream->runs, str_from(work.request));
	if (result != BEGIN_OK)
		return reply_not_begun(conn, upstream, result);
	switch (simulate_work(conn, upstream, &work)) {
	case WORK_DONE:
		return send_response(conn, upstream, &work);
	case WORK_LOST:
		return standin_http_reply_error(conn, 500, "fallen_over");
	case WORK_DEADLINE:
		upstream_finish_work(upstream, work.generation, false);
		atomic_fetch_add(&upstream->deadline_passed, 1);
		return standin_http_reply(
		    conn, 504, "X-Standin-Outcome: deadline\r\n", "", 0);
	case WORK_CANCELLED:
	default:
		upstream_finish_work(upstream, work.generation, false);
		atomic_fetch_add(&upstream->cancelled, 1);
		return standin_http_close(conn);
	}
}
