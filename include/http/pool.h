#ifndef TREFOILHILL_HTTP_POOL_H
#define TREFOILHILL_HTTP_POOL_H

#include "http/stream.h"

/*
 * Kept connections to one address. A stream that is taken belongs to its
 * taker until it is given back or closed.
 */
struct http_pool;

struct http_pool_settings {
	struct sockaddr_in address;
	uint32_t idle_max;        /* connections kept at most */
	uint32_t idle_default_ms; /* kept so long when the peer says nothing */
	uint32_t idle_max_ms;     /* kept so long at most */
};

struct http_pool *http_pool_new(
    uv_loop_t *loop, const struct http_pool_settings *settings);
/* Closes what is idle; taken streams are not touched. NULL is allowed. */
void http_pool_free(struct http_pool *pool);
/*
 * An idle stream, ready to write to, or NULL. The newest first; none that has
 * been idle for longer than idle_ms.
 */
struct http_stream *http_pool_take(struct http_pool *pool,
    const struct http_stream_ops *ops, void *owner, uint32_t idle_ms);
/* Dial a new one: handle_connect or handle_end follows. NULL: no socket. */
struct http_stream *http_pool_dial(
    struct http_pool *pool, const struct http_stream_ops *ops, void *owner);
/* Give back a stream whose answer was read whole. */
void http_pool_give(struct http_pool *pool, struct http_stream *stream);
/* Give back a stream whose answer is of no use but may still be coming. */
void http_pool_drain(struct http_pool *pool, struct http_stream *stream);
/* Close all that is idle: the peer may have gone. */
void http_pool_flush(struct http_pool *pool);
size_t http_pool_idle(const struct http_pool *pool);
uv_loop_t *http_pool_loop(const struct http_pool *pool);
const struct sockaddr_in *http_pool_address(const struct http_pool *pool);

#endif
