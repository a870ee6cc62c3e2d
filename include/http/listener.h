#ifndef TREFOILHILL_HTTP_LISTENER_H
#define TREFOILHILL_HTTP_LISTENER_H

#include "http/stream.h"

#define HTTP_LISTEN_ERROR (http_listen_error_quark())

enum http_listen_error {
	HTTP_LISTEN_ERROR_ADDRESS, /* not IP:PORT */
	HTTP_LISTEN_ERROR_BIND,
};

/* A listening socket that accepts HTTP connections. */
struct http_listener;

/* The receiver owns stream, sets its ops and calls http_stream_start. */
typedef void (*http_accept_fn)(void *arg, struct http_stream *stream);

GQuark http_listen_error_quark(void);
bool http_address_parse(struct str text, struct sockaddr_in *address);
struct http_listener *http_listener_new(struct http_connections *connections,
    enum connection_class class, struct str address, http_accept_fn accept,
    void *arg, GError **error);
/* Stop accepting and free the listener. NULL is allowed. */
void http_listener_close(struct http_listener *listener);

#endif
