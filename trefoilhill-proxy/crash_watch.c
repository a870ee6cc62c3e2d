#include "trefoilhill-proxy/crash_watch.h"
#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/gate.h"

enum {
	/* For the other connections of a crashed upstream to end as well. */
	SETTLE_MS = 2,
	SETTLE_ROUNDS = 3,
	/* A crashed upstream refuses connections at once. */
	DIAL_MAX_MS = 50,
};

struct crash_watch {
	uv_timer_t *timer;
	struct proxy *proxy;
	GQueue held;     /* struct attempt, by their member held_link */
	int64_t lost_ms; /* when the first of them lost its answer */
	uint32_t rounds; /* of waiting for other connections */
	struct http_stream *dial; /* NULL: none in progress */
};

/*
 * Return a watch of the upstream behind a node's gate.
 */
struct crash_watch *
crash_watch_new(struct proxy *proxy)
{
	struct crash_watch *watch = g_new0(struct crash_watch, 1);

	watch->proxy = proxy;
	watch->timer = g_new0(uv_timer_t, 1);
	uv_timer_init(proxy->loop, watch->timer);
	watch->timer->data = watch;
	return watch;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void
close_dial(struct crash_watch *watch)
{
	if (watch->dial != NULL)
		http_stream_abort(watch->dial);
	watch->dial = NULL;
}

/*
 * Free a watch. NULL is allowed.
 */
void
crash_watch_free(struct crash_watch *watch)
{
	if (watch == NULL)
		return;
	close_dial(watch);
	uv_close((uv_handle_t *)watch->timer, handle_timer_closed);
	g_free(watch);
}

static void
log_suspect(const struct crash_watch *watch, const struct attempt *attempt)
{
	char key[REQUEST_KEY_TEXT_MAX];
	struct json_line *line =
	    json_log_begin(watch->proxy->log, LOG_CLASS_STATE, "ran_at_crash");

	request_key_format(attempt->exchange->key, key);
	json_line_cstr(line, "upstream", attempt->upstream->entry.id);
	json_line_text(line, "request", attempt->exchange->id);
	json_line_cstr(line, "key", key);
	json_line_int(line, "ran_ms", watch->lost_ms - attempt->sent_ms);
	json_log_end(line);
}

static void
record_crash(struct crash_watch *watch)
{
	const struct attempt *first = g_queue_peek_head(&watch->held);
	struct json_line *line;

	if (first == NULL)
		return;
	proxy_count(&watch->proxy->stats, STAT_UPSTREAM_CRASHES);
	line = json_log_begin(
	    watch->proxy->log, LOG_CLASS_STATE, "upstream_crashed");
	json_line_cstr(line, "upstream", first->upstream->entry.id);
	json_line_int(line, "in_progress", g_queue_get_length(&watch->held));
	json_log_end(line);
	for (GList *link = watch->held.head; link != NULL; link = link->next)
		log_suspect(watch, link->data);
}

/* Let the held attempts fail. */
static void
settle(struct crash_watch *watch, bool crashed)
{
	uv_timer_stop(watch->timer);
	close_dial(watch);
	if (crashed)
		record_crash(watch);
	while (!g_queue_is_empty(&watch->held)) {
		struct attempt *attempt = g_queue_peek_head(&watch->held);

		crash_watch_release(watch, attempt);
		attempt_fail(attempt, ATTEMPT_FAILURE_UNKNOWN,
		    crashed ? ATTEMPT_REASON_CRASHED : "connection_lost");
	}
}

static void
handle_dial_connect(struct http_stream *stream)
{
	settle(stream->owner, false);
}

static void
handle_dial_end(struct http_stream *stream, enum http_end_reason reason)
{
	settle(stream->owner, reason == HTTP_END_CONNECT);
}

static void
handle_dial_bytes(struct http_stream *stream)
{
	settle(stream->owner, false);
}

static void
handle_dial_body(struct http_stream *stream, struct str bytes)
{
	settle(stream->owner, false);
}

static const struct http_stream_ops dial_ops = {
	.handle_head = handle_dial_bytes,
	.handle_body = handle_dial_body,
	.handle_message = handle_dial_bytes,
	.handle_end = handle_dial_end,
	.handle_connect = handle_dial_connect,
};

/* Is a request that was sent before the loss still in progress? */
static bool
is_any_connected(const struct crash_watch *watch)
{
	const struct run_list *runs = gate_runs(watch->proxy->gate);

	for (GList *link = runs->runs.head; link != NULL; link = link->next) {
		const struct attempt *attempt =
		    (const struct attempt *)((const char *)link->data -
			offsetof(struct attempt, run));

		if (attempt->stream != NULL &&
		    attempt->sent_ms <= watch->lost_ms)
			return true;
	}
	return false;
}

static void
handle_timer(uv_timer_t *timer)
{
	struct crash_watch *watch = timer->data;

	if (watch->dial != NULL) {
		settle(watch, false);
		return;
	}
	if (is_any_connected(watch)) {
		if (++watch->rounds < SETTLE_ROUNDS)
			uv_timer_start(timer, handle_timer, SETTLE_MS, 0);
		else
			settle(watch, false);
		return;
	}
	watch->dial =
	    http_pool_connect(gate_pool(watch->proxy->gate), &dial_ops, watch);
	if (watch->dial == NULL)
		settle(watch, false);
	else
		uv_timer_start(timer, handle_timer, DIAL_MAX_MS, 0);
}

/*
 * Hold an attempt until it is known whether the upstream has crashed.
 */
void
crash_watch_hold(struct crash_watch *watch, struct attempt *attempt)
{
	if (g_queue_is_empty(&watch->held)) {
		watch->lost_ms = proxy_now_ms(watch->proxy);
		watch->rounds = 0;
		uv_timer_start(watch->timer, handle_timer, SETTLE_MS, 0);
	}
	attempt->held = true;
	attempt->held_link.data = attempt;
	g_queue_push_tail_link(&watch->held, &attempt->held_link);
}

/*
 * Forget an attempt that has ended otherwise.
 */
void
crash_watch_release(struct crash_watch *watch, struct attempt *attempt)
{
	if (!attempt->held)
		return;
	attempt->held = false;
	g_queue_unlink(&watch->held, &attempt->held_link);
	if (g_queue_is_empty(&watch->held)) {
		uv_timer_stop(watch->timer);
		close_dial(watch);
	}
}
