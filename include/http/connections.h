#ifndef TREFOILHILL_HTTP_CONNECTIONS_H
#define TREFOILHILL_HTTP_CONNECTIONS_H

#include <uv.h>

#include "account/account.h"

/*
 * All HTTP connections of a process on one event loop: applies the decisions of
 * account/ to them. Not thread-safe: use it only on the thread of its loop.
 */
struct http_connections;
struct http_stream;

struct http_connections *http_connections_new(uv_loop_t *loop);
/* The connections must have been closed before. NULL is allowed. */
void http_connections_free(struct http_connections *connections);
uv_loop_t *http_connections_loop(const struct http_connections *connections);

/* Private to http/stream*.c. */

/* May the input of a connection be processed immediately? */
bool http_connections_has_turn(
    const struct http_connections *connections, enum connection_class class);
/* Take a turn; false if there is none. */
bool http_connections_take_turn(
    struct http_connections *connections, enum connection_class class);
/* Wait for a turn, which stream_take_turn is. */
void http_connections_wait(struct http_stream *stream);
/* Wait no more. */
void http_connections_cancel(struct http_stream *stream);

#endif
