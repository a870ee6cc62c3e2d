#ifndef TREFOILHILL_TREFOILHILL_PROXY_ATTEMPT_H
#define TREFOILHILL_TREFOILHILL_PROXY_ATTEMPT_H

#include "guard/admission.h"
#include "guard/run_list.h"
#include "http/pool.h"
#include "route/balance.h"
#include "trefoilhill-proxy/proxy.h"

struct attempt;
struct exchange;

enum attempt_failure {
	ATTEMPT_FAILURE_NOT_RUN, /* the upstream did not and will not run it */
	ATTEMPT_FAILURE_UNKNOWN, /* the upstream may have run it */
};

/* Reason of an attempt that ran when the upstream crashed. */
#define ATTEMPT_REASON_CRASHED "upstream_crashed"

/* Reason of an attempt whose connection ended for any other cause. */
#define ATTEMPT_REASON_CONNECTION_LOST "connection_lost"

struct attempt_ops {
	/* The response head has arrived; it is in attempt->stream->head. */
	void (*handle_head)(struct attempt *attempt);
	/* A part of the response body; bytes are valid during the call. */
	void (*handle_body)(struct attempt *attempt, struct str bytes);
	/* The body bytes received at once have been passed on. */
	void (*handle_body_pause)(struct attempt *attempt);
	/* The response is complete. The attempt is released afterwards. */
	void (*handle_end)(struct attempt *attempt);
	/* No complete response. The attempt is released afterwards. */
	void (*handle_failed)(struct attempt *attempt,
	    enum attempt_failure failure, const char *reason);
};

/* One try of a request at the upstream on this host or through a peer. */
struct attempt {
	uv_timer_t timer; /* connect timeout; must be the first member */
	const struct attempt_ops *ops;
	struct exchange *exchange;
	struct proxy *proxy;
	struct upstream *upstream; /* holds a reference */
	/* Holds a reference: the upstream's registration may move on. */
	struct fleet_peer *peer;
	uint32_t number; /* within the exchange, from 0 */
	bool local;      /* through this host's gate, not a peer */
	bool hedge;
	bool is_retry; /* an earlier attempt has reached an upstream */
	int64_t started_ms;
	int64_t sent_ms; /* 0: nothing has been sent yet */
	/*
	 * Through a peer: the request is sent without its body first, and
	 * can't run before the peer has a place for it and is sent the body.
	 */
	bool needs_confirmation;
	bool awaits_confirmation; /* at the upstream's node: has a place */
	bool may_run;             /* the upstream may have received it */
	int64_t queue_timeout_ms; /* for the queue of the gate */
	struct admission_waiter waiter;
	bool blocked;  /* not sent: in quarantine, or not wanted any more */
	bool admitted; /* counts against the gate's limit */
	struct run run;
	struct http_pool *pool;
	struct http_stream *stream; /* NULL: no connection */
	bool reused;                /* a connection from the pool */
	bool discarding;            /* skips a response to another request */
	uint32_t discarded_count;   /* of such responses */
	uint64_t discarded_bytes;   /* of their bodies */
	bool response_started;      /* the response head has arrived */
	bool upstream_rejected;     /* it declined to run the request */
	bool misdirected; /* another instance is at the address (status 421) */
	GList held_link;
	bool held; /* by the crash watch: has lost its connection */
	bool ended;
	unsigned status;
	int64_t run_ms;     /* from sending to the response head */
	uint64_t body_sent; /* bytes of the request body */
	bool body_end_sent;
	uint64_t response_bytes;
};

struct attempt *attempt_new(struct exchange *exchange,
    struct upstream *upstream, const struct attempt_ops *ops);
/* May fail, and so release the attempt, before it returns. */
void attempt_start(struct attempt *attempt);
/* Send request body bytes that the exchange has received meanwhile. */
void attempt_push_body(struct attempt *attempt);
/* Abort the attempt without further callbacks. */
void attempt_cancel(struct attempt *attempt);
/* Drop a response that has started, without further callbacks. */
void attempt_discard(struct attempt *attempt);

/* The sender has confirmed the request: run it, if it waits for that. */
void attempt_confirm(struct attempt *attempt);

/* Private to attempt*.c. */
void attempt_fail(
    struct attempt *attempt, enum attempt_failure failure, const char *reason);
enum admission_outcome attempt_cancelled_outcome(
    const struct attempt *attempt, int64_t run_ms);
enum admission_outcome attempt_failure_outcome(const struct attempt *attempt,
    enum attempt_failure failure, const char *reason);
void attempt_handle_head(struct http_stream *stream);
void attempt_handle_body(struct http_stream *stream, struct str bytes);
void attempt_handle_body_pause(struct http_stream *stream);
void attempt_handle_message(struct http_stream *stream);
void attempt_connect(struct attempt *attempt);
bool attempt_is_unwanted(struct attempt *attempt);
void attempt_release(struct attempt *attempt, enum admission_outcome outcome);
extern const struct http_stream_ops attempt_stream_ops;
void attempt_write_request(struct attempt *attempt);
bool attempt_may_await_confirmation(const struct exchange *exchange);
void attempt_start_admitted(struct attempt *attempt);
void attempt_await_grant(struct attempt *attempt);
void attempt_end_request(struct attempt *attempt);
void attempt_handle_continue(struct http_stream *stream);

#endif
