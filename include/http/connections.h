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

/* What waits for a turn; embedded by a connection or a listener. */
struct http_turn {
	void (*take)(struct http_turn *turn);
	enum connection_class class;
	/* Private. */
	GList link;
	bool waits;
};

enum http_limit_event {
	HTTP_LIMIT_CLOSED,  /* a connection gave way */
	HTTP_LIMIT_EXPIRED, /* nothing has happened on one for too long */
	HTTP_LIMIT_REFUSED, /* a new one, as no other gave way */
};

struct http_connections_ops {
	/* A limit has acted. Must not use connections. */
	void (*handle_limit)(void *arg, enum connection_class class,
	    enum account_resource resource, enum http_limit_event event);
	void *arg;
};

struct http_connections *http_connections_new(uv_loop_t *loop,
    const struct account_settings *limits, struct http_connections_ops ops);
/* Replace the limits. */
void http_connections_configure(struct http_connections *connections,
    const struct account_settings *limits);
/* All connections must be closed. NULL is allowed. */
void http_connections_free(struct http_connections *connections);
/*
 * To be called regularly: counts what is unread in sockets, and closes
 * connections on which nothing happens.
 */
void http_connections_tick(struct http_connections *connections);
uv_loop_t *http_connections_loop(const struct http_connections *connections);
const struct account *http_connections_account(
    const struct http_connections *connections);
/* The most memory that was occupied since the last call, in bytes. */
uint64_t http_connections_take_memory_peak(
    struct http_connections *connections);

/* Private to http/. */

/*
 * May a connection be opened? If another has to give way for it, that one is
 * closed before this returns.
 */
bool http_connections_admit(
    struct http_connections *connections, enum connection_class class);
/* A connection was refused for want of a descriptor. */
void http_connections_refuse(
    struct http_connections *connections, enum connection_class class);
/* Count a new connection. */
struct account_holder *http_connections_add(struct http_stream *stream);
void http_connections_unref(struct http_connections *connections);

/* May the input of a connection be processed immediately? */
bool http_connections_has_turn(
    const struct http_connections *connections, enum connection_class class);
/* Take a turn; false if there is none. */
bool http_connections_take_turn(
    struct http_connections *connections, enum connection_class class);
/* So much input was processed in the turn. */
void http_connections_charge_turn(struct http_connections *connections,
    enum connection_class class, size_t bytes);
/*
 * May a connection read so many bytes? If not, room is made in this iteration.
 */
bool http_connections_has_memory(
    const struct http_stream *stream, size_t bytes);
/* Wait for a turn. Does nothing if it does already. */
void http_connections_wait(
    struct http_connections *connections, struct http_turn *turn);
/* Wait no more. */
void http_connections_cancel(
    struct http_connections *connections, struct http_turn *turn);

#endif
