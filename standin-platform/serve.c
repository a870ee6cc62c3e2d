#include "standin-platform/http.h"
#include "standin-platform/serve.h"

enum {
	PUBLICATION_BYTES_MAX = 1024 * 1024,
	HOSTS_BYTES_MAX = 8 * 1024 * 1024,
	FAULTS_BYTES_MAX = 2 * 1024 * 1024,
};

static bool
is_array_or_missing(json_t *value)
{
	return value == NULL || json_is_array(value);
}

static int
serve_publish(struct mg_connection *conn, struct platform *platform)
{
	json_t *body, *set, *removals;
	uint64_t revision;

	if (mg_get_request_info(conn)->content_length > PUBLICATION_BYTES_MAX)
		return standin_http_reply_error(conn, 413, "too_large");
	body = standin_http_read_json(conn, PUBLICATION_BYTES_MAX);
	set = json_object_get(body, "set");
	removals = json_object_get(body, "remove");
	if (body == NULL || !is_array_or_missing(set) ||
	    !is_array_or_missing(removals)) {
		json_decref(body);
		return standin_http_reply_error(conn, 400, "bad_publication");
	}
	pthread_mutex_lock(&platform->lock);
	revision = change_log_append(platform->log, set, removals);
	pthread_cond_broadcast(&platform->changed);
	pthread_mutex_unlock(&platform->lock);
	json_decref(body);
	return standin_http_reply_json(
	    conn, 200, json_pack("{s:I}", "revision", (json_int_t)revision));
}

static int
serve_set_hosts(struct mg_connection *conn, struct platform *platform)
{
	json_t *body = standin_http_read_json(conn, HOSTS_BYTES_MAX);
	json_t *hosts = json_object_get(body, "hosts");

	if (!json_is_array(hosts)) {
		json_decref(body);
		return standin_http_reply_error(conn, 400, "bad_hosts");
	}
	pthread_mutex_lock(&platform->lock);
	json_decref(platform->hosts);
	platform->hosts = json_incref(hosts);
	pthread_mutex_unlock(&platform->lock);
	json_decref(body);
	return standin_http_reply_json(conn, 200, json_object());
}

static int
serve_set_faults(struct mg_connection *conn, struct platform *platform)
{
	json_t *body = standin_http_read_json(conn, FAULTS_BYTES_MAX);
	bool done;

	pthread_mutex_lock(&platform->lock);
	done = body != NULL && faults_update(&platform->faults, body);
	change_log_set_limit(platform->log, platform->faults.log_limit);
	pthread_cond_broadcast(&platform->changed);
	pthread_mutex_unlock(&platform->lock);
	json_decref(body);
	if (!done)
		return standin_http_reply_error(conn, 400, "bad_faults");
	return standin_http_reply_json(conn, 200, json_object());
}

static int
serve_counts(struct mg_connection *conn, struct platform *platform)
{
	json_t *counts;

	pthread_mutex_lock(&platform->lock);
	counts = read_counts_to_json(
	    &platform->counts, clock_wall(platform->clock).tv_sec);
	pthread_mutex_unlock(&platform->lock);
	return standin_http_reply_json(conn, 200, counts);
}

/*
 * Answer one request.
 */
int
serve_request(struct mg_connection *conn, void *arg)
{
	struct platform *platform = arg;

	if (standin_http_is_request(conn, "GET", "/v1/changes"))
		return serve_changes(conn, platform);
	if (standin_http_is_request(conn, "GET", "/v1/records"))
		return serve_records(conn, platform);
	if (standin_http_is_request(conn, "GET", "/v1/hosts"))
		return serve_hosts(conn, platform);
	if (standin_http_is_request(conn, "POST", "/v1/publish"))
		return serve_publish(conn, platform);
	if (standin_http_is_request(conn, "PUT", "/standin/hosts"))
		return serve_set_hosts(conn, platform);
	if (standin_http_is_request(conn, "PUT", "/standin/faults"))
		return serve_set_faults(conn, platform);
	if (standin_http_is_request(conn, "GET", "/standin/counts"))
		return serve_counts(conn, platform);
	return standin_http_reply_error(conn, 404, "no_such_page");
}
