#ifndef TREFOILHILL_HTTP_CALL_H
#define TREFOILHILL_HTTP_CALL_H

#include "http/pool.h"

/* A request whose response is collected in memory as a whole. */
struct http_call;

enum http_call_outcome {
	HTTP_CALL_RESPONSE,
	HTTP_CALL_CONNECT_FAILED,  /* the peer has not seen the request */
	HTTP_CALL_CONNECTION_LOST, /* closed, or the response is malformed */
	HTTP_CALL_TIMEOUT,
	HTTP_CALL_TOO_LARGE,
};

struct http_call_result {
	enum http_call_outcome outcome;
	/* Only with HTTP_CALL_RESPONSE; valid during handle_result. */
	unsigned status;
	const struct http_head *head;
	/* What was received of the body; valid during handle_result. */
	struct str body;
};

struct http_call_settings {
	struct str request; /* complete message, head and body; copied */
	uint32_t timeout_ms;
	size_t body_max;     /* limit on the response body, in bytes */
	bool new_connection; /* use a new connection, not a pooled one */
	void (*handle_result)(void *arg, const struct http_call_result *result);
	void *arg;
};

/*
 * handle_result is called exactly once, after this function has returned,
 * unless the call is cancelled.
 */
struct http_call *http_call_start(
    struct http_pool *pool, const struct http_call_settings *settings);
void http_call_cancel(struct http_call *call);

const char *http_call_outcome_name(enum http_call_outcome outcome);

#endif
