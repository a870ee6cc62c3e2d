#ifndef TREFOILHILL_TREFOILHILL_PROXY_CALLER_H
#define TREFOILHILL_TREFOILHILL_PROXY_CALLER_H

#include "trefoilhill-proxy/proxy.h"

struct exchange;

enum caller_origin {
	CALLER_LOCAL, /* a caller on this host */
	CALLER_PEER,  /* another node */
};

/* An inbound connection, from a caller on this host or from another node. */
struct caller {
	uv_timer_t timer; /* of the current phase; must be the first member */
	struct proxy *proxy;
	enum caller_origin origin;
	struct http_stream *stream; /* NULL: closed */
	struct exchange *exchange;  /* in progress; NULL: none */
	bool request_complete;      /* the request body has been read */
	bool lingering; /* responded early; discards the request body */
	bool close_after_response; /* the next response is the last */
};

void caller_accept_local(void *proxy, struct http_stream *stream);
void caller_accept_peer(void *proxy, struct http_stream *stream);
/* The complete response has been written: end the exchange. */
void caller_finish_response(struct caller *caller);
/* Reset the connection, since the response can't be completed. */
void caller_abort(struct caller *caller);
/* Close the connection if no request is in progress. */
void caller_close_idle(struct caller *caller);

#endif
