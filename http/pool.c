#include <string.h>

#include "http/pool.h"

enum {
	SWEEP_INTERVAL_MS = 500,    /* between checks for expired connections */
	KEEPALIVE_MARGIN_MS = 1000, /* close before the peer's own timeout */
	DRAIN_TIMEOUT_MS = 500,     /* for the rest of a response to arrive */
	DRAIN_MAX_BYTES = 256 * 1024, /* more costs as much as a connection */
};

struct idle_stream {
	struct http_stream *stream;
	uint64_t idle_since_ms;
	uint64_t expires_at_ms;
	bool draining; /* reading the rest of a response */
};

struct http_pool {
	uint32_t refs; /* of its owner, and of all its open connections */
	bool closed;   /* the owner has freed it */
	uv_loop_t *loop;
	struct http_connections *connections;
	struct http_pool_settings settings;
	GArray *idle; /* struct idle_stream, oldest first */
	uv_timer_t *sweep_timer;
};

static void handle_idle_end(
    struct http_stream *stream, enum http_end_reason reason);

static void
handle_idle_bytes(struct http_stream *stream)
{
	handle_idle_end(stream, HTTP_END_MALFORMED);
}

static void
handle_idle_body(struct http_stream *stream, struct str bytes)
{
	handle_idle_end(stream, HTTP_END_MALFORMED);
}

static bool
is_idle_working(const struct http_stream *stream)
{
	return false;
}

/* No bytes are expected on an idle connection: any byte closes it. */
static const struct http_stream_ops idle_ops = {
	.handle_head = handle_idle_bytes,
	.handle_body = handle_idle_body,
	.handle_message = handle_idle_bytes,
	.handle_end = handle_idle_end,
	.handle_first_byte = handle_idle_bytes,
	.is_working = is_idle_working,
};

static void
pool_remove(struct http_pool *pool, const struct http_stream *stream)
{
	for (guint i = 0; i < pool->idle->len; i++) {
		if (g_array_index(pool->idle, struct idle_stream, i).stream ==
		    stream) {
			g_array_remove_index(pool->idle, i);
			return;
		}
	}
}

static void
handle_idle_end(struct http_stream *stream, enum http_end_reason reason)
{
	pool_remove(stream->owner, stream);
	http_stream_abort(stream);
}

static void
handle_drain_head(struct http_stream *stream)
{
}

static void
handle_drain_body(struct http_stream *stream, struct str bytes)
{
	if (stream->body_bytes > DRAIN_MAX_BYTES)
		handle_idle_end(stream, HTTP_END_TOO_LARGE);
}

static void
handle_drain_message(struct http_stream *stream)
{
	pool_remove(stream->owner, stream);
	http_pool_release(stream);
}

static const struct http_stream_ops drain_ops = {
	.handle_head = handle_drain_head,
	.handle_body = handle_drain_body,
	.handle_message = handle_drain_message,
	.handle_end = handle_idle_end,
	.is_working = is_idle_working,
};

static void
handle_sweep(uv_timer_t *timer)
{
	struct http_pool *pool = timer->data;
	uint64_t now = uv_now(pool->loop);

	for (guint i = 0; i < pool->idle->len;) {
		struct idle_stream *idle =
		    &g_array_index(pool->idle, struct idle_stream, i);

		if (idle->expires_at_ms > now) {
			i++;
			continue;
		}
		if (idle->draining)
			http_stream_abort(idle->stream);
		else
			http_stream_close(idle->stream);
		g_array_remove_index(pool->idle, i);
	}
	if (pool->idle->len == 0)
		uv_timer_stop(timer);
}

/*
 * Return a pool without connections. The caller frees it with http_pool_free.
 */
struct http_pool *
http_pool_new(struct http_connections *connections,
    const struct http_pool_settings *settings)
{
	uv_loop_t *loop = http_connections_loop(connections);
	struct http_pool *pool = g_new0(struct http_pool, 1);

	pool->refs = 1;
	pool->loop = loop;
	pool->connections = connections;
	pool->settings = *settings;
	pool->idle = g_array_new(FALSE, FALSE, sizeof(struct idle_stream));
	pool->sweep_timer = g_new0(uv_timer_t, 1);
	uv_timer_init(loop, pool->sweep_timer);
	pool->sweep_timer->data = pool;
	return pool;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void
pool_unref(void *arg)
{
	struct http_pool *pool = arg;

	if (--pool->refs > 0)
		return;
	g_array_free(pool->idle, TRUE);
	g_free(pool);
}

/*
 * Free a pool and close its idle connections. Those in use are closed when they
 * are returned. NULL is allowed.
 */
void
http_pool_free(struct http_pool *pool)
{
	if (pool == NULL)
		return;
	pool->closed = true;
	http_pool_close_idle(pool);
	uv_close((uv_handle_t *)pool->sweep_timer, handle_timer_closed);
	pool_unref(pool);
}

/*
 * Close all idle connections.
 */
void
http_pool_close_idle(struct http_pool *pool)
{
	for (guint i = 0; i < pool->idle->len; i++)
		http_stream_abort(
		    g_array_index(pool->idle, struct idle_stream, i).stream);
	g_array_set_size(pool->idle, 0);
}

/*
 * Take the connection that was idle for the shortest time; NULL if that is
 * longer than idle_ms.
 */
struct http_stream *
http_pool_acquire(struct http_pool *pool, const struct http_stream_ops *ops,
    void *owner, uint32_t idle_ms)
{
	uint64_t now = uv_now(pool->loop);

	for (guint i = pool->idle->len; i > 0; i--) {
		struct idle_stream *newest =
		    &g_array_index(pool->idle, struct idle_stream, i - 1);
		struct http_stream *stream = newest->stream;

		if (newest->draining)
			continue;
		if (newest->expires_at_ms <= now ||
		    now - newest->idle_since_ms > idle_ms)
			return NULL;
		g_array_remove_index(pool->idle, i - 1);
		stream->ops = ops;
		stream->owner = owner;
		return stream;
	}
	return NULL;
}

/*
 * Open a new connection; NULL if no socket is available.
 */
struct http_stream *
http_pool_connect(
    struct http_pool *pool, const struct http_stream_ops *ops, void *owner)
{
	struct http_stream *stream;

	if (!http_connections_admit(pool->connections, pool->settings.class))
		return NULL;
	stream = http_stream_new(pool->connections, pool->settings.class,
	    HTTP_SIDE_CLIENT, ops, owner);

	pool->refs++;
	stream->release = pool_unref;
	stream->release_arg = pool;
	if (pool->settings.unacknowledged_ms > 0)
		stream->unacknowledged_ms = pool->settings.unacknowledged_ms;
	if (!http_stream_connect(stream, &pool->settings.address)) {
		http_stream_abort(stream);
		return NULL;
	}
	return stream;
}

/*
 * How long a connection may stay idle: the peer's Keep-Alive timeout less a
 * margin, or idle_default_ms if the peer sent none.
 */
static uint32_t
keepalive_timeout_ms(
    const struct http_pool *pool, const struct http_stream *stream)
{
	static const char key[] = "timeout=";
	struct str field = http_head_find(stream->head, str_from("keep-alive"));
	const char *found = field.len == 0
	    ? NULL
	    : g_strstr_len(field.ptr, (gssize)field.len, key);
	uint64_t ms;

	if (found == NULL)
		return pool->settings.idle_default_ms;
	ms = g_ascii_strtoull(found + strlen(key), NULL, 10) * 1000;
	ms = ms > KEEPALIVE_MARGIN_MS ? ms - KEEPALIVE_MARGIN_MS : 0;
	return (uint32_t)MIN(ms, pool->settings.idle_max_ms);
}

/*
 * Return a stream after a complete response. It is closed if the peer doesn't
 * keep it open, if it has unsent or unread bytes or a write has failed, or if
 * the pool is full or freed.
 */
void
http_pool_release(struct http_stream *stream)
{
	struct http_pool *pool = stream->release_arg;
	uint32_t idle_ms = keepalive_timeout_ms(pool, stream);
	struct idle_stream idle = {
		.stream = stream,
		.idle_since_ms = uv_now(pool->loop),
		.expires_at_ms = uv_now(pool->loop) + idle_ms,
	};

	if (stream->closing)
		return;
	if (pool->closed || !stream->keep_alive || stream->eof ||
	    stream->write_error != 0 || http_stream_has_pending(stream) ||
	    idle_ms == 0 || http_stream_queued_bytes(stream) > 0 ||
	    pool->idle->len >= pool->settings.idle_max) {
		http_stream_close(stream);
		return;
	}
	http_stream_reset_payer(stream);
	stream->ops = &idle_ops;
	stream->owner = pool;
	g_array_append_val(pool->idle, idle);
	http_stream_next(stream);
	if (!uv_is_active((uv_handle_t *)pool->sweep_timer))
		uv_timer_start(pool->sweep_timer, handle_sweep,
		    SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS);
}

/*
 * Return a stream in the middle of an unwanted response. It is reused if the
 * rest arrives within DRAIN_TIMEOUT_MS, and closed otherwise.
 */
void
http_pool_drain(struct http_stream *stream)
{
	struct http_pool *pool = stream->release_arg;
	struct idle_stream idle = {
		.stream = stream,
		.idle_since_ms = uv_now(pool->loop),
		.expires_at_ms = uv_now(pool->loop) + DRAIN_TIMEOUT_MS,
		.draining = true,
	};

	if (stream->closing)
		return;
	if (pool->closed) {
		http_stream_abort(stream);
		return;
	}
	http_stream_reset_payer(stream);
	stream->ops = &drain_ops;
	stream->owner = pool;
	g_array_append_val(pool->idle, idle);
	if (!uv_is_active((uv_handle_t *)pool->sweep_timer))
		uv_timer_start(pool->sweep_timer, handle_sweep,
		    SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS);
}

/*
 * Return the number of idle connections, including those being drained.
 */
size_t
http_pool_idle_count(const struct http_pool *pool)
{
	return pool->idle->len;
}

/*
 * Return the address that the pool connects to.
 */
const struct sockaddr_in *
http_pool_address(const struct http_pool *pool)
{
	return &pool->settings.address;
}

/*
 * Return the event loop that the pool's connections run on.
 */
uv_loop_t *
http_pool_loop(const struct http_pool *pool)
{
	return pool->loop;
}
