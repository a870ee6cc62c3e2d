#ifndef TREFOILHILL_TREFOILHILL_PROXY_ATTEMPT_H
#define TREFOILHILL_TREFOILHILL_PROXY_ATTEMPT_H

#include "guard/admission.h"
#include "http/pool.h"
#include "route/balance.h"
#include "trefoilhill-proxy/proxy.h"

struct attempt;
struct exchange;

enum attempt_failure {
	ATTEMPT_FAILURE_NOT_RUN, /* it never ran, and never will */
	ATTEMPT_FAILURE_UNKNOWN, /* it may have run */
};

struct attempt_ops {
	/* The answer's head is in the attempt's stream. */
	void (*handle_head)(struct attempt *attempt);
	/* Bytes are borrowed. */
	void (*handle_body)(struct attempt *attempt, struct str bytes);
	/* The answer is whole; the attempt is gone when this returns. */
	void (*handle_end)(struct attempt *attempt);
	/* There is no answer; the attempt is gone when this returns. */
	void (*handle_failed)(struct attempt *attempt,
	    enum attempt_failure failure, const char *reason);
};

/* One send of a request, to the upstream on this host or to a peer. */
struct attempt {
	uv_timer_t timer; /* first; bounds the connecting */
	const struct attempt_ops *ops;
	struct exchange *exchange;
	struct proxy *proxy;
	struct upstream *upstream; /* counted */
	uint32_t number;           /* of this request's, from 0 */
	bool local;                /* through the gate of this host */
	bool hedge;
	bool is_retry; /* of one that may have run */
	int64_t started_ms;
	int64_t sent_ms;          /* 0: not a byte has been sent */
	int64_t queue_timeout_ms; /* that the peer may queue it */
	struct admission_waiter waiter;
	bool admitted; /* holds a place at the gate */
	struct http_pool *pool;
	struct http_stream *stream; /* NULL: none */
	bool reused;                /* a kept connection */
	bool discarding;            /* another request's answer is passing */
	bool response_started;      /* the answer's head is in */
	bool upstream_rejected;     /* the upstream itself said "not run" */
	bool misdirected;           /* another instance is at the address */
	bool ended;
	unsigned status;
	int64_t run_ms;     /* from sending to the answer's head */
	uint64_t body_sent; /* of the request's body */
	bool body_end_sent;
	uint64_t response_bytes;
};

struct attempt *attempt_new(struct exchange *exchange,
    struct upstream *upstream, const struct attempt_ops *ops);
/* May fail, and so free the attempt, before it returns. */
void attempt_start(struct attempt *attempt);
/* More of the request's body is there. */
void attempt_push_body(struct attempt *attempt);
/* Nobody wants the answer; no more callbacks. */
void attempt_cancel(struct attempt *attempt);

/* The answer that has begun is of no use; no more callbacks. */
void attempt_discard(struct attempt *attempt);

/* Shared by its sources alone. */
void attempt_fail(
    struct attempt *attempt, enum attempt_failure failure, const char *reason);
void attempt_handle_head(struct http_stream *stream);
void attempt_handle_body(struct http_stream *stream, struct str bytes);
void attempt_handle_message(struct http_stream *stream);
void attempt_connect(struct attempt *attempt);
void attempt_release(struct attempt *attempt, enum admission_outcome outcome);
extern const struct http_stream_ops attempt_stream_ops;
void attempt_write_request(struct attempt *attempt);

#endif
