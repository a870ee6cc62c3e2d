#include <stdlib.h>
#include <string.h>

#include "platform/headers.h"
#include "trefoilhill-proxy/ops_listener.h"
#include "trefoilhill-proxy/status.h"

enum {
	/* Of responses that an operator doesn't read. */
	UNSENT_MAX_BYTES = 16 * 1024,
};

struct ops_listener {
	struct proxy *proxy;
	struct http_listener *listener;
	struct http_listener *metrics_listener;
};

static void
respond(struct http_stream *stream, const char *status, const char *body)
{
	struct proxy *proxy = stream->owner;
	char *text = g_strdup_printf("HTTP/1.1 %s\r\n"
				     "Content-Type: text/plain\r\n"
				     "Content-Length: %zu\r\n%s\r\n%s",
	    status, strlen(body),
	    proxy->stopping ? "Connection: close\r\n" : "", body);

	http_stream_write(stream, str_from(text));
	g_free(text);
}

static void
handle_head(struct http_stream *stream)
{
}

static void
handle_body(struct http_stream *stream, struct str bytes)
{
}

static void
handle_message(struct http_stream *stream)
{
	struct proxy *proxy = stream->owner;
	struct str target = http_head_span(stream->head, stream->head->target);
	GString *metrics;
	char *status;

	if (platform_is_readiness_target(target)) {
		bool ready = proxy_is_ready(proxy);

		respond(stream, ready ? "200 OK" : "503 Service Unavailable",
		    ready ? "ready\n" : "not ready\n");
	} else if (str_equal(target, str_from("/metrics"))) {
		metrics = g_string_new(NULL);
		proxy_render_metrics(proxy, metrics);
		respond(stream, "200 OK", metrics->str);
		g_string_free(metrics, TRUE);
	} else if (status_is_target(target)) {
		status = status_render(proxy);
		respond(stream, "200 OK", status);
		free(status);
	} else {
		respond(stream, "404 Not Found", "no such page\n");
	}
	if (proxy->stopping || !stream->keep_alive)
		http_stream_close(stream);
	else if (!stream->above_high_mark)
		http_stream_next(stream);
}

/* The responses so far are read: go on with the next request. */
static void
handle_drain(struct http_stream *stream)
{
	if (stream->message_done)
		http_stream_next(stream);
}

static void
handle_end(struct http_stream *stream, enum http_end_reason end)
{
	if (end == HTTP_END_REVOKED)
		http_stream_abort(stream);
	else
		http_stream_close(stream);
}

static const struct http_stream_ops ops = {
	.handle_head = handle_head,
	.handle_body = handle_body,
	.handle_message = handle_message,
	.handle_end = handle_end,
	.handle_drain = handle_drain,
};

static void
handle_accept(void *arg, struct http_stream *stream)
{
	stream->ops = &ops;
	stream->owner = arg;
	stream->write_high_bytes = UNSENT_MAX_BYTES;
	http_stream_start(stream);
}

/*
 * Listen for readiness and metrics requests. Returns NULL with error set if an
 * address can't be bound.
 */
struct ops_listener *
ops_listener_new(struct proxy *proxy, GError **error)
{
	struct ops_listener *listener = g_new0(struct ops_listener, 1);
	struct str metrics = proxy->settings->node.metrics_listen;

	listener->proxy = proxy;
	listener->listener = http_listener_new(proxy->connections,
	    CONNECTION_OPERATOR, proxy->settings->node.operator_listen,
	    handle_accept, proxy, error);
	if (listener->listener == NULL)
		goto fail;
	if (metrics.len == 0)
		return listener;
	listener->metrics_listener = http_listener_new(proxy->connections,
	    CONNECTION_METRICS, metrics, handle_accept, proxy, error);
	if (listener->metrics_listener != NULL)
		return listener;
fail:
	ops_listener_free(listener);
	return NULL;
}

/*
 * Stop listening. NULL is allowed.
 */
void
ops_listener_free(struct ops_listener *listener)
{
	if (listener == NULL)
		return;
	http_listener_close(listener->listener);
	http_listener_close(listener->metrics_listener);
	g_free(listener);
}
