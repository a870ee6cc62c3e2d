#include "http/call.h"
#include "platform/headers.h"
#include "trefoilhill-proxy/instance_probe.h"

enum {
	TIMEOUT_MS = 1000,    /* it may wait for a slot, as requests do */
	RETRY_DELAY_MS = 200, /* after a refused connection, during startup */
	ATTEMPTS_MAX = 8,
	RESPONSE_MAX_BYTES = 16 * 1024,
};

struct instance_probe {
	uv_timer_t *timer;
	struct proxy *proxy;
	struct http_pool *pool;
	struct instance_probe_ops ops;
	struct http_call *call; /* NULL: none in progress */
	char *path;
	uint32_t attempts_left;
};

/*
 * Return a probe of the upstream that a pool connects to.
 */
struct instance_probe *
instance_probe_new(struct proxy *proxy, struct http_pool *pool,
    const struct instance_probe_ops *ops)
{
	struct instance_probe *probe = g_new0(struct instance_probe, 1);

	probe->proxy = proxy;
	probe->pool = pool;
	probe->ops = *ops;
	probe->timer = g_new0(uv_timer_t, 1);
	uv_timer_init(proxy->loop, probe->timer);
	probe->timer->data = probe;
	return probe;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

/*
 * Free a probe. NULL is allowed.
 */
void
instance_probe_free(struct instance_probe *probe)
{
	if (probe == NULL)
		return;
	if (probe->call != NULL)
		http_call_cancel(probe->call);
	uv_close((uv_handle_t *)probe->timer, handle_timer_closed);
	g_free(probe->path);
	g_free(probe);
}

static void
log_result(struct instance_probe *probe, const struct http_call_result *result,
    struct str id, int64_t cold_ms)
{
	struct json_line *line =
	    json_log_begin(probe->proxy->log, LOG_CLASS_STATE, "probed");

	json_line_cstr(
	    line, "outcome", http_call_outcome_name(result->outcome));
	json_line_int(line, "status", result->status);
	json_line_text(line, "instance", id);
	json_line_int(line, "cold_ms", cold_ms);
	json_line_int(line, "tries_left", probe->attempts_left);
	json_log_end(line);
}

static void send_probe(struct instance_probe *probe);

static void
handle_timer(uv_timer_t *timer)
{
	send_probe(timer->data);
}

static void
handle_result(void *arg, const struct http_call_result *result)
{
	struct instance_probe *probe = arg;
	struct platform_response_headers headers = { .cold_ms = -1 };
	struct instance_info info;

	probe->call = NULL;
	if (result->outcome == HTTP_CALL_RESPONSE)
		platform_parse_response_headers(result->head, &headers);
	log_result(probe, result, headers.instance, headers.cold_ms);
	if (result->outcome == HTTP_CALL_CONNECT_FAILED &&
	    probe->attempts_left > 0) {
		uv_timer_start(probe->timer, handle_timer, RETRY_DELAY_MS, 0);
		return;
	}
	probe->attempts_left = 0;
	if (headers.instance.len == 0)
		return;
	info.id = headers.instance;
	info.cold_ms = MAX(headers.cold_ms, 0);
	info.notice = headers.notice;
	probe->ops.handle_instance(probe->ops.arg, &info);
}

static void
send_probe(struct instance_probe *probe)
{
	char *request = g_strdup_printf(
	    "GET %s HTTP/1.1\r\nHost: upstream\r\n\r\n", probe->path);
	struct http_call_settings settings = {
		.request = str_from(request),
		.timeout_ms = TIMEOUT_MS,
		.body_max = RESPONSE_MAX_BYTES,
		.new_connection = true,
		.handle_result = handle_result,
		.arg = probe,
	};

	probe->attempts_left--;
	probe->call = http_call_start(probe->pool, &settings);
	g_free(request);
}

/*
 * Start probing the health path, unless a probe is in progress.
 */
void
instance_probe_start(struct instance_probe *probe, const char *path)
{
	if (probe->attempts_left > 0 || probe->call != NULL)
		return;
	g_free(probe->path);
	probe->path = g_strdup(path);
	probe->attempts_left = ATTEMPTS_MAX;
	send_probe(probe);
}
