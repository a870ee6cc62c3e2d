#include <string.h>

#include "standin-platform/http.h"
#include "standin-upstream/serve.h"

enum {
	STATE_BODY_MAX = 64 * 1024,
};

static int
serve_health(struct mg_connection *conn, struct upstream *upstream)
{
	struct status_report report = upstream_reported_status(upstream);
	const char *status = "ok";

	if (report.failed)
		status = "failing";
	else if (report.draining)
		status = "draining";
	else if (report.cold)
		status = "cold";
	return standin_http_reply_json(conn,
	    report.failed || report.draining ? 503 : 200,
	    json_pack("{s:s}", "status", status));
}

static int
serve_load(struct mg_connection *conn, struct upstream *upstream)
{
	struct status_report report = upstream_reported_status(upstream);

	return standin_http_reply_json(conn, 200,
	    json_pack("{s:I,s:I,s:I}", "busy", (json_int_t)report.busy,
		"queued", (json_int_t)report.queued, "limit",
		(json_int_t)report.limit));
}

static int
serve_state(struct mg_connection *conn, struct upstream *upstream)
{
	json_t *state = standin_http_read_json(conn, STATE_BODY_MAX);
	bool done = state != NULL && upstream_set_state(upstream, state);

	json_decref(state);
	if (!done)
		return standin_http_reply_error(conn, 400, "bad_state");
	return standin_http_reply_json(conn, 200, json_object());
}

/*
 * Answer one request: a health, load or control path, or else work.
 */
int
serve_request(struct mg_connection *conn, void *arg)
{
	struct upstream *upstream = arg;

	if (standin_http_is_request(conn, "GET", "/health"))
		return serve_health(conn, upstream);
	if (standin_http_is_request(conn, "GET", "/load"))
		return serve_load(conn, upstream);
	if (standin_http_is_request(conn, "GET", "/standin/runs"))
		return standin_http_reply_json(
		    conn, 200, run_log_to_json(upstream->runs));
	if (standin_http_is_request(conn, "GET", "/standin/counts"))
		return standin_http_reply_json(
		    conn, 200, upstream_counts(upstream));
	if (standin_http_is_request(conn, "PUT", "/standin/state"))
		return serve_state(conn, upstream);
	return serve_work(conn, upstream);
}
