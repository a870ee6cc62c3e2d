#ifndef TREFOILHILL_TREFOILHILL_PROXY_CALLER_H
#define TREFOILHILL_TREFOILHILL_PROXY_CALLER_H

#include "trefoilhill-proxy/proxy.h"

struct exchange;

enum caller_origin {
	CALLER_LOCAL, /* on this host */
	CALLER_PEER,  /* another node */
};

/* One connection that requests come by. */
struct caller {
	uv_timer_t timer; /* first; of the phase that the connection is in */
	struct proxy *proxy;
	enum caller_origin origin;
	struct http_stream *stream; /* NULL: closed */
	struct exchange *exchange;  /* in progress, or NULL */
	bool request_complete;      /* its body has been read to the end */
	bool lingering;             /* answered; the rest is read and dropped */
	bool close_after_response;  /* the next answer is the last */
};

void caller_accept_local(void *proxy, struct http_stream *stream);
void caller_accept_peer(void *proxy, struct http_stream *stream);
/* The exchange has given its whole answer. */
void caller_finish_response(struct caller *caller);
/* The exchange can't give a whole answer: the connection is cut. */
void caller_abort(struct caller *caller);
/* Close it if no request is in progress. */
void caller_close_idle(struct caller *caller);

#endif
