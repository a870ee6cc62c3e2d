#ifndef TREFOILHILL_HTTP_POOL_H
#define TREFOILHILL_HTTP_POOL_H

#include "http/stream.h"

/*
 * Pool of persistent connections to one address. A stream taken from the pool
 * is owned by the caller until it is returned or closed.
 */
struct http_pool;

struct http_pool_settings {
	enum connection_class class;
	struct sockaddr_in address;
	uint32_t idle_max;        /* limit on idle connections */
	uint32_t idle_default_ms; /* without a Keep-Alive timeout of the peer */
	uint32_t idle_max_ms;     /* limit on a Keep-Alive timeout */
	uint32_t unacknowledged_ms; /* as in struct http_stream; 0: default */
};

struct http_pool *http_pool_new(struct http_connections *connections,
    const struct http_pool_settings *settings);
/*
 * Closes idle connections; streams in use stay open, and may still be returned.
 * NULL is allowed.
 */
void http_pool_free(struct http_pool *pool);
/*
 * Take the most recently used idle stream; NULL if there is none that was idle
 * for at most idle_ms.
 */
struct http_stream *http_pool_acquire(struct http_pool *pool,
    const struct http_stream_ops *ops, void *owner, uint32_t idle_ms);
/*
 * Open a new connection; handle_connect or handle_end follows. NULL if no
 * socket is available.
 */
struct http_stream *http_pool_connect(
    struct http_pool *pool, const struct http_stream_ops *ops, void *owner);
/* Return a stream to its pool whose response was read completely. */
void http_pool_release(struct http_stream *stream);
/* Return a stream to its pool whose response is unwanted, maybe incomplete. */
void http_pool_drain(struct http_stream *stream);
/* Close all idle connections, e.g. when the peer may have gone. */
void http_pool_close_idle(struct http_pool *pool);
size_t http_pool_idle_count(const struct http_pool *pool);
uv_loop_t *http_pool_loop(const struct http_pool *pool);
const struct sockaddr_in *http_pool_address(const struct http_pool *pool);

#endif
