#ifndef TREFOILHILL_TREFOILHILL_PROXY_CALLER_H
#define TREFOILHILL_TREFOILHILL_PROXY_CALLER_H

#include "trefoilhill-proxy/proxy.h"

struct exchange;

enum {
	CALLER_LINGER_MS = 1000, /* for the caller to read an early response */
};

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
	GQueue exchanges;           /* unanswered, in the order of arrival */
	struct exchange *receiving; /* the last one, while its body is read */
	bool request_complete;      /* no request is being read */
	/* Response to a request that can't be parsed, sent last; or NULL. */
	const char *final_status;
	bool lingering; /* responded; discards what is received */
	bool finishing; /* closed for sending; lingers for the caller to read */
	bool close_after_response; /* the next response is the last */
	bool pipelined;            /* has sent a request before a response */
	bool advancing;            /* see caller_advance */
	bool advance_again;
};

void caller_accept_local(void *proxy, struct http_stream *stream);
void caller_accept_peer(void *proxy, struct http_stream *stream);
/* The complete response has been written: end the exchange. */
void caller_finish_response(struct caller *caller);
/* Reset the connection, since the response can't be completed. */
void caller_abort(struct caller *caller);
/* End a response that can't be completed, and the connection. */
void caller_cut(struct caller *caller, bool is_delimited);
/* Close the connection if no request is in progress. */
void caller_close_idle(struct caller *caller);
/* Notice callers that have gone, though reading from them is paused. */
void callers_check_gone(struct proxy *proxy);
/* The process ends: respond to all requests in progress. */
void callers_end_by_stop(struct proxy *proxy);
/* Bytes that wait for their turn, of all callers. */
uint64_t callers_buffered_bytes(const struct proxy *proxy);
/* Bytes that wait for their turn; see PIPELINE_BUFFER_MAX_BYTES. */
size_t caller_buffered_bytes(const struct caller *caller);
/* May the request be sent to an upstream now? */
bool caller_may_forward(
    const struct caller *caller, const struct exchange *exchange);
/* May a shutdown close the connection after the response? */
bool caller_may_close(
    const struct caller *caller, const struct exchange *exchange);
/* May so many bytes of a response be held until its turn? */
bool caller_may_buffer(const struct caller *caller, size_t bytes);
/* How many bytes of a response are buffered until it is complete? */
size_t caller_response_buffer(
    const struct caller *caller, const struct exchange *exchange);
/* A request begins. */
void caller_add_exchange(struct caller *caller, struct exchange *exchange);
/* A request has ended. */
void caller_remove_exchange(struct caller *caller, struct exchange *exchange);
/*
 * Go on after a change: send responses whose turn has come, forward requests
 * that waited for others, and read the next one.
 */
void caller_advance(struct caller *caller);

/* Private to caller*.c. */
/* Close after the queued bytes have been sent. */
void caller_close(struct caller *caller);
/* Answer no more requests, and close once the caller has read the responses. */
void caller_finish(struct caller *caller);
/* Close immediately, as others need what the connection occupies. */
void caller_revoke(struct caller *caller);
void caller_abandon_exchanges(struct caller *caller);
void caller_wait(struct caller *caller);
void caller_reject_message(struct caller *caller, const char *status_line);
void caller_respond_unparsed(struct caller *caller, const char *status_line);

#endif
