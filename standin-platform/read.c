#include <string.h>
#include <time.h>

#include "standin-platform/http.h"
#include "standin-platform/serve.h"

enum {
	WAIT_MS_MAX = 60000,
	PAGE_DEFAULT = 1000,
	PAGE_MAX = 5000,
	KEY_MAX = 256,
};

static const char json_headers[] = "Content-Type: application/json\r\n";

static const char *
requesting_node(const struct mg_connection *conn)
{
	const char *node = mg_get_header(conn, "Trefoilhill-Node");

	return node == NULL ? "" : node;
}

/*
 * Count a read and apply the injected delay. Returns with the lock held: true
 * if the node can reach the platform, false if it must get no answer.
 */
static bool
begin_read(struct mg_connection *conn, struct platform *platform)
{
	const char *node = requesting_node(conn);
	struct timespec delay;

	pthread_mutex_lock(&platform->lock);
	read_counts_add(
	    &platform->counts, node, clock_wall(platform->clock).tv_sec);
	delay = timespec_from_ms(platform->faults.delay_ms);
	pthread_mutex_unlock(&platform->lock);
	if (delay.tv_sec > 0 || delay.tv_nsec > 0)
		nanosleep(&delay, NULL);
	pthread_mutex_lock(&platform->lock);
	return !faults_is_unreachable(&platform->faults, node);
}

static int
reply_compacted(struct mg_connection *conn, uint64_t oldest)
{
	return standin_http_reply_json(conn, 410,
	    json_pack("{s:s,s:I}", "error", "compacted", "oldest",
		(json_int_t)oldest));
}

/*
 * Answer with the publications after a revision, waiting for one if wait_ms is
 * given.
 */
int
serve_changes(struct mg_connection *conn, struct platform *platform)
{
	uint64_t after = standin_http_query_number(conn, "after", 0);
	uint32_t wait_ms =
	    (uint32_t)MIN(standin_http_query_number(conn, "wait_ms", 0),
		(uint64_t)WAIT_MS_MAX);
	uint64_t oldest;
	size_t len = 0;
	char *text;
	bool reachable = begin_read(conn, platform);

	if (reachable && wait_ms > 0)
		reachable = platform_wait_for_change(
		    platform, conn, requesting_node(conn), after, wait_ms);
	if (!reachable) {
		pthread_mutex_unlock(&platform->lock);
		return standin_http_close(conn);
	}
	text = change_log_changes(
	    platform->log, after, platform_visible_revision(platform), &len);
	oldest = platform->log->oldest;
	pthread_mutex_unlock(&platform->lock);
	if (text == NULL)
		return reply_compacted(conn, oldest);
	standin_http_reply(conn, 200, json_headers, text, len);
	g_free(text);
	return 200;
}

/*
 * Answer with a page of the records, current or as of a revision.
 */
int
serve_records(struct mg_connection *conn, struct platform *platform)
{
	const char *query = mg_get_request_info(conn)->query_string;
	uint64_t limit = standin_http_query_number(conn, "limit", PAGE_DEFAULT);
	uint64_t at = standin_http_query_number(conn, "at", 0);
	char after[KEY_MAX] = "";
	uint64_t oldest;
	json_t *page;

	if (query != NULL)
		mg_get_var(query, strlen(query), "after", after, KEY_MAX);
	if (!begin_read(conn, platform)) {
		pthread_mutex_unlock(&platform->lock);
		return standin_http_close(conn);
	}
	if (at == 0)
		at = platform_visible_revision(platform);
	page = change_log_records(
	    platform->log, after, CLAMP(limit, 1, PAGE_MAX), at);
	oldest = platform->log->oldest;
	pthread_mutex_unlock(&platform->lock);
	if (page == NULL)
		return reply_compacted(conn, oldest);
	return standin_http_reply_json(conn, 200, page);
}

/*
 * Answer with the list of live and leaving hosts, as last set by
 * PUT /standin/hosts.
 */
int
serve_hosts(struct mg_connection *conn, struct platform *platform)
{
	bool reachable = begin_read(conn, platform);
	json_t *hosts = json_pack("{s:O}", "hosts", platform->hosts);

	pthread_mutex_unlock(&platform->lock);
	if (!reachable) {
		json_decref(hosts);
		return standin_http_close(conn);
	}
	return standin_http_reply_json(conn, 200, hosts);
}
