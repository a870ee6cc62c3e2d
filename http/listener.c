#include <string.h>

#include "http/listener.h"

enum {
	/* When the backlog is full, SYNs are dropped and resent after 1 s. */
	BACKLOG = 511,
	ADDRESS_TEXT_MAX = 64,
};

struct http_listener {
	uv_tcp_t tcp; /* first */
	struct http_connections *connections;
	enum connection_class class;
	struct http_turn turn; /* to accept a connection */
	http_accept_fn accept;
	void *arg;
};

G_DEFINE_QUARK(trefoilhill - http - listen - error, http_listen_error)

/*
 * Parse "IP:PORT" with an IPv4 address; false if text is anything else.
 */
bool
http_address_parse(struct str text, struct sockaddr_in *address)
{
	char copy[ADDRESS_TEXT_MAX];
	guint64 port;
	char *colon;

	if (text.len == 0 || text.len >= sizeof(copy))
		return false;
	memcpy(copy, text.ptr, text.len);
	copy[text.len] = '\0';
	colon = strrchr(copy, ':');
	if (colon == NULL)
		return false;
	*colon = '\0';
	if (!g_ascii_string_to_unsigned(
		colon + 1, 10, 1, G_MAXUINT16, &port, NULL))
		return false;
	return uv_ip4_addr(copy, (int)port, address) == 0;
}

/* Accept the connection that libuv holds, which then waits for the next one. */
static void
accept_one(struct http_listener *listener)
{
	bool admitted =
	    http_connections_admit(listener->connections, listener->class);
	struct http_stream *stream = http_stream_new(listener->connections,
	    listener->class, HTTP_SIDE_SERVER, NULL, NULL);

	if (uv_accept((uv_stream_t *)&listener->tcp,
		(uv_stream_t *)&stream->tcp) != 0 ||
	    !admitted) {
		http_stream_abort(stream);
		return;
	}
	listener->accept(listener->arg, stream);
}

static void
handle_turn(struct http_turn *turn)
{
	accept_one((struct http_listener *)((char *)turn -
	    offsetof(struct http_listener, turn)));
}

/*
 * A connection has been established. Without a turn, libuv holds it and accepts
 * no other: it would go on for as long as connections arrive.
 */
static void
handle_connection(uv_stream_t *server, int status)
{
	struct http_listener *listener = (struct http_listener *)server;

	/* libuv has closed the connection for want of a descriptor. */
	if (status != 0)
		http_connections_refuse(listener->connections, listener->class);
	else if (http_connections_take_turn(
		     listener->connections, listener->class))
		accept_one(listener);
	else
		http_connections_wait(listener->connections, &listener->turn);
}

/*
 * Listen on an address. Accepted streams are passed to accept, which sets their
 * ops and starts them. NULL with error set if the address is invalid or can't
 * be bound.
 */
struct http_listener *
http_listener_new(struct http_connections *connections,
    enum connection_class class, struct str address, http_accept_fn accept,
    void *arg, GError **error)
{
	struct http_listener *listener;
	struct sockaddr_in bind_to;
	int status;

	if (!http_address_parse(address, &bind_to)) {
		g_set_error(error, HTTP_LISTEN_ERROR, HTTP_LISTEN_ERROR_ADDRESS,
		    "%.*s: not IP:PORT", STR_ARG(address));
		return NULL;
	}
	listener = g_new0(struct http_listener, 1);
	listener->connections = connections;
	listener->class = class;
	listener->turn = (struct http_turn){
		.take = handle_turn,
		.class = class,
	};
	listener->accept = accept;
	listener->arg = arg;
	uv_tcp_init(http_connections_loop(connections), &listener->tcp);
	status =
	    uv_tcp_bind(&listener->tcp, (const struct sockaddr *)&bind_to, 0);
	if (status == 0)
		status = uv_listen(
		    (uv_stream_t *)&listener->tcp, BACKLOG, handle_connection);
	if (status != 0) {
		g_set_error(error, HTTP_LISTEN_ERROR, HTTP_LISTEN_ERROR_BIND,
		    "%.*s: %s", STR_ARG(address), uv_strerror(status));
		http_listener_close(listener);
		return NULL;
	}
	return listener;
}

static void
handle_closed(uv_handle_t *handle)
{
	g_free(handle);
}

/*
 * Stop accepting and free the listener. NULL is allowed.
 */
void
http_listener_close(struct http_listener *listener)
{
	if (listener == NULL)
		return;
	http_connections_cancel(listener->connections, &listener->turn);
	uv_close((uv_handle_t *)&listener->tcp, handle_closed);
}
