#include <string.h>
#include <xxhash.h>

#include "quarantine/quarantine.h"
#include "trefoilhill-proxy/crash_watch.h"
#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/gate.h"
#include "trefoilhill-proxy/quarantine_news.h"

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
	GQueue held;               /* struct attempt, by their held_link */
	GArray *runs;              /* struct crash_run, all that were lost */
	struct upstream *upstream; /* that they ran at, a reference; or NULL */
	int64_t lost_ms;           /* when the first of them was lost */
	uint32_t rounds;           /* of waiting for other connections */
	struct http_stream *dial;  /* NULL: none in progress */
};

/*
 * Return a watch of the upstream behind a node's gate.
 */
struct crash_watch *
crash_watch_new(struct proxy *proxy)
{
	struct crash_watch *watch = g_new0(struct crash_watch, 1);

	watch->proxy = proxy;
	watch->runs = g_array_new(FALSE, FALSE, sizeof(struct crash_run));
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
	upstream_unref(watch->upstream);
	g_array_free(watch->runs, TRUE);
	g_free(watch);
}

static struct crash
make_crash(const struct crash_watch *watch)
{
	const struct upstream_entry *entry = &watch->upstream->entry;

	return (struct crash){
		/* One start of an upstream ends but once. */
		.id = XXH3_64bits_withSeed(
		    entry->id, strlen(entry->id), entry->started_ms),
		.service = (uint32_t)XXH3_64bits(
		    entry->service, strlen(entry->service)),
		.at_ms = watch->lost_ms,
		.whole = true,
	};
}

static void
log_crash(const struct crash_watch *watch)
{
	struct json_line *line = json_log_begin(
	    watch->proxy->log, LOG_CLASS_STATE, "upstream_crashed");

	json_line_cstr(line, "upstream", watch->upstream->entry.id);
	json_line_int(line, "in_progress", watch->runs->len);
	json_log_end(line);
	for (guint i = 0; i < watch->runs->len; i++) {
		const struct crash_run *run =
		    &g_array_index(watch->runs, struct crash_run, i);
		char key[REQUEST_KEY_TEXT_MAX];

		request_key_format(run->key, key);
		line = json_log_begin(
		    watch->proxy->log, LOG_CLASS_STATE, "ran_at_crash");
		json_line_cstr(line, "upstream", watch->upstream->entry.id);
		json_line_cstr(line, "key", key);
		json_line_bool(line, "has_run_well", run->has_run_well);
		json_log_end(line);
	}
}

static void
record_crash(struct crash_watch *watch)
{
	struct crash crash = make_crash(watch);

	proxy_count(&watch->proxy->stats, STAT_UPSTREAM_CRASHES);
	log_crash(watch);
	quarantine_add_crash(watch->proxy->quarantine, &crash,
	    (const struct crash_run *)watch->runs->data, watch->runs->len,
	    proxy_now_ms(watch->proxy));
	quarantine_news_spread(watch->proxy->quarantine_news);
}

/* It is known whether the upstream has crashed: let the held attempts fail. */
static void
settle(struct crash_watch *watch, bool crashed)
{
	uv_timer_stop(watch->timer);
	close_dial(watch);
	if (crashed)
		record_crash(watch);
	g_array_set_size(watch->runs, 0);
	upstream_unref(watch->upstream);
	watch->upstream = NULL;
	while (!g_queue_is_empty(&watch->held)) {
		struct attempt *attempt = g_queue_peek_head(&watch->held);

		crash_watch_release(watch, attempt);
		attempt_fail(attempt, ATTEMPT_FAILURE_UNKNOWN,
		    crashed ? ATTEMPT_REASON_CRASHED
			    : ATTEMPT_REASON_CONNECTION_LOST);
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
 * Note an attempt whose connection was lost. One that was sent later than the
 * first loss has found a dead connection in the pool, and didn't run.
 */
void
crash_watch_add(struct crash_watch *watch, const struct attempt *attempt)
{
	int64_t now_ms = proxy_now_ms(watch->proxy);
	struct crash_run run = { .key = attempt->exchange->key };

	if (watch->upstream == NULL) {
		watch->upstream = upstream_ref(attempt->upstream);
		watch->lost_ms = now_ms;
		watch->rounds = 0;
		uv_timer_start(watch->timer, handle_timer, SETTLE_MS, 0);
	}
	if (attempt->sent_ms > watch->lost_ms || !attempt->exchange->has_key)
		return;
	run.has_run_well = recent_runs_contain(
	    gate_recent_runs(watch->proxy->gate), run.key, now_ms);
	g_array_append_val(watch->runs, run);
}

/*
 * Hold an attempt until it is known whether the upstream has crashed.
 */
void
crash_watch_hold(struct crash_watch *watch, struct attempt *attempt)
{
	crash_watch_add(watch, attempt);
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
}
