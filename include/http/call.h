#ifndef TREFOILHILL_HTTP_CALL_H
#define TREFOILHILL_HTTP_CALL_H

#include "http/pool.h"

/* One small request whose answer is collected whole. */
struct http_call;

enum http_call_end {
	HTTP_CALL_ANSWERED,
	HTTP_CALL_UNCONNECTED, /* no connection: the peer has not seen it */
	HTTP_CALL_LOST,        /* the connection ended or gave no HTTP */
	HTTP_CALL_TIMEOUT,
	HTTP_CALL_TOO_LARGE,
};

struct http_call_result {
	enum http_call_end end;
	unsigned status;              /* of an answer */
	const struct http_head *head; /* of an answer; borrowed */
	struct str body;              /* borrowed */
};

struct http_call_settings {
	struct str request; /* whole message, head and body; copied */
	uint32_t timeout_ms;
	size_t body_max;
	bool fresh; /* on a connection of its own, not a kept one */
	void (*handle_result)(void *arg, const struct http_call_result *result);
	void *arg;
};

/* Always ends with handle_result, later and once, unless it is cancelled. */
struct http_call *http_call_start(
    struct http_pool *pool, const struct http_call_settings *settings);
void http_call_cancel(struct http_call *call);

const char *http_call_end_name(enum http_call_end end);

#endif
