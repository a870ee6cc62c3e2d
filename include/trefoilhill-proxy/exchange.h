#ifndef TREFOILHILL_TREFOILHILL_PROXY_EXCHANGE_H
#define TREFOILHILL_TREFOILHILL_PROXY_EXCHANGE_H

#include "platform/headers.h"
#include "quarantine/request_key.h"
#include "trefoilhill-proxy/attempt.h"
#include "trefoilhill-proxy/caller.h"
#include "trefoilhill-proxy/hop.h"
#include "trefoilhill-proxy/shaper.h"

enum {
	EXCHANGE_ATTEMPTS_MAX = 5, /* for one request, including refused ones */
	EXCHANGE_ID_MAX = 128,
};

/* Reason of requests that are not run because they crash upstreams. */
#define EXCHANGE_REASON_QUARANTINED "quarantined"
/* Reason of requests that no upstream has a place for. */
#define EXCHANGE_REASON_NO_ROOM "no_room"
/* The process stops, or has no time left for the request. */
#define EXCHANGE_REASON_STOPPING "stopping"

/* A request and its response. */
struct exchange {
	uv_timer_t timer; /* deadline; must be the first member */
	uv_timer_t hedge; /* second attempt of a slow idempotent request */
	uint32_t open_timers;
	struct caller *caller; /* NULL: connection closed */
	struct proxy *proxy;
	enum caller_origin origin;
	struct account_holder *holder; /* whom it is counted for */
	int64_t started_ms;
	int64_t deadline_ms;
	/* The request. */
	struct http_head *head;
	struct str id;          /* points into head */
	struct request_key key; /* for a caller's request once has_key is set */
	struct account_buffer body; /* buffered part */
	uint64_t body_dropped;      /* bytes sent and no longer buffered */
	bool body_complete;
	bool caller_left; /* found before its close was read */
	bool has_key;
	bool suspect; /* one of its attempts met a crash */
	bool has_length;
	uint64_t length;
	bool is_head_method;
	bool http_1_0;
	bool keep_alive;   /* the caller may send another request after it */
	bool continue_due; /* "Expect: 100-continue", not its turn yet */
	/* The routing decision. */
	struct mesh_config *config;     /* holds a reference */
	const struct mesh_route *route; /* in config; NULL: a peer's request */
	const char *service;            /* in route */
	/* That of the caller's key, in config; NULL: none. */
	const struct workspace *workspace;
	int64_t quota_retry_ms; /* above 0: refused, when it may return */
	struct hop_request hop; /* for a peer's request; points into head */
	bool confirmed;         /* the peer has sent the whole request */
	bool quota_taken;       /* one request, and not returned */
	bool idempotent;
	bool bulk;        /* a large response is expected */
	bool late;        /* can't meet its latency objective any more */
	bool key_refused; /* its route needs a key, it has none that is known */
	int64_t spent_ms; /* by the caller's earlier tries of this request */
	int64_t hedge_from_ms; /* start of the attempt that is hedged */
	bool called_by_repeat; /* by a run that was itself a retry */
	uint32_t priority;
	uint32_t objective_ms;
	uint32_t work_ms; /* expected run time; 0: not known */
	/* Attempts, oldest first; finished ones are NULL. */
	struct attempt *attempts[EXCHANGE_ATTEMPTS_MAX];
	const struct upstream *tried[BALANCE_TRIED_MAX];
	struct upstream *tried_refs[BALANCE_TRIED_MAX]; /* holds references */
	size_t tried_count;
	uint32_t attempt_count;
	uint32_t runs;                /* ended attempts that may have run */
	uint32_t upstream_rejections; /* attempts an upstream declined to run */
	bool misdirected; /* addressed to another instance than the local one */
	bool rejected_with_room; /* the last one, by an idle upstream */
	bool hedged;
	bool may_have_run; /* in an attempt that failed */
	/* The response. */
	struct attempt *responding;  /* whose response is relayed; or NULL */
	int64_t response_started_ms; /* when its head arrived */
	int64_t response_run_ms;     /* the upstream's time until then */
	struct account_buffer response_head; /* status line and fields */
	struct account_buffer buffered_body; /* received, not passed on */
	struct shaper_flow flow;             /* for a large response */
	bool response_complete;              /* received; some may be unsent */
	bool has_turn; /* the responses before this one have been sent */
	bool held;     /* its response has come before its turn */
	bool waiting;  /* to be forwarded after other requests */
	bool has_local_response; /* held; reason is its body */
	bool committed;          /* the response head has been sent */
	bool chunked;
	bool large; /* too large to buffer */
	bool ended;
	unsigned status;
	char reason[64]; /* for the last refusal or failure */
};

enum {
	/* Of each request, with its head and an attempt. */
	EXCHANGE_BYTES = sizeof(struct exchange) + sizeof(struct http_head) +
	    sizeof(struct attempt),
};

void exchange_begin(struct caller *caller);
void exchange_append_body(struct exchange *exchange, struct str bytes);
/* Go on with what exchange_append_body has appended. */
void exchange_handle_body(struct exchange *exchange);
void exchange_end_body(struct exchange *exchange);
/* The caller has closed its connection. */
void exchange_abandon(struct exchange *exchange);
/* The caller's connection is writable again. */
void exchange_resume_response(struct exchange *exchange);

/* Private to exchange*.c, attempt*.c and caller.c. */
extern const struct attempt_ops exchange_attempt_ops;
void exchange_handle_deadline(uv_timer_t *timer);
/* The process ends: respond, or cut the response. */
void exchange_end_by_stop(struct exchange *exchange);
void exchange_push_body(struct exchange *exchange);
void exchange_dispatch(struct exchange *exchange);
/*
 * Start an attempt: a retry if an earlier one has reached an upstream, a hedge
 * if one is still in progress. Responds if there is no upstream for it, or if
 * the request can't be sent again.
 */
void exchange_start_next(struct exchange *exchange, bool retry, bool hedge);
void exchange_respond_no_upstream(struct exchange *exchange);
bool exchange_is_place_refusal(const char *reason);
bool exchange_take_retry_token(struct exchange *exchange);
bool exchange_is_retry_allowed(const struct exchange *exchange);
/*
 * Can another attempt send the whole request? Not once a part of its body is no
 * longer buffered.
 */
bool exchange_is_resendable(const struct exchange *exchange);
/* Ask the sender to confirm the request; false if that isn't needed. */
bool exchange_request_confirmation(struct exchange *exchange);
void exchange_respond(struct exchange *exchange, unsigned status,
    const char *reason, bool retryable);
void exchange_write_retry_after(struct exchange *exchange);
void exchange_finish(struct exchange *exchange);
void exchange_abort_response(struct exchange *exchange,
    const struct attempt *attempt, const char *reason);
void exchange_cancel_attempts(
    struct exchange *exchange, const struct attempt *except);
uint32_t exchange_active_attempts(const struct exchange *exchange);
int64_t exchange_remaining_ms(const struct exchange *exchange);
void exchange_log(struct exchange *exchange, enum log_class class,
    const char *event, const struct attempt *attempt, const char *reason);
/* Why the request must not be sent any more; NULL: it may. */
const char *exchange_unwanted_reason(struct exchange *exchange);
/* Refuse a request that the node's lag makes late; true if refused. */
bool exchange_refuse_by_lag(struct exchange *exchange, int64_t run_ms);
void exchange_set_key(struct exchange *exchange);
bool exchange_is_suspect(const struct exchange *exchange);
/* Append a field for a peer, if the request may crash upstreams. */
void exchange_write_suspect(const struct exchange *exchange, GString *text);
bool exchange_is_blocked(const struct exchange *exchange);
bool exchange_may_run(struct exchange *exchange);
/* The upstream on this host has run the request to its end. */
void exchange_record_success(struct exchange *exchange);
void exchange_respond_quarantined(struct exchange *exchange);
/*
 * Find the workspace of a caller's key. Returns false, having responded, if the
 * route needs a key and the request has none that is known.
 */
bool exchange_check_key(struct exchange *exchange);
/* Append the workspace to a log line, or the digest of a refused key. */
void exchange_log_key(const struct exchange *exchange, struct json_line *line);
/*
 * Whether header fields of keys and workspaces must not be passed on: the
 * configuration has workspaces.
 */
bool exchange_has_workspaces(const struct exchange *exchange);
/* Name of the workspace that the request's key is of; empty: none. */
struct str exchange_workspace_name(const struct exchange *exchange);
/*
 * Take the request out of the quota of its workspace. Returns false if it was
 * refused and responded to.
 */
bool exchange_take_quota(struct exchange *exchange);
/* The request has not reached an upstream and never will. */
void exchange_return_quota(struct exchange *exchange);
/* Add what led to a refusal by quota to a log line; NULL is allowed. */
void exchange_log_quota(
    const struct exchange *exchange, struct json_line *line);
void exchange_relay_head(struct exchange *exchange, struct attempt *attempt);
void exchange_relay_body(struct exchange *exchange, struct str bytes);
void exchange_relay_buffered(struct exchange *exchange);
void exchange_relay_end(struct exchange *exchange);
/* Begin the response head with the status, in place of what there is of it. */
void exchange_begin_head(struct exchange *exchange);
void exchange_append_head(struct exchange *exchange, struct str text);
void exchange_append_length(struct exchange *exchange, uint64_t length);
/* Tell a peer the load of the upstream here, and whether upstream leaves. */
void exchange_write_load(
    struct exchange *exchange, const struct upstream *upstream, int64_t run_ms);
void exchange_write_connection(struct exchange *exchange);
void exchange_commit(
    struct exchange *exchange, bool has_length, uint64_t length);
void exchange_send_complete(struct exchange *exchange);
/* Send a formatted response of the proxy's own. */
void exchange_send_local(struct exchange *exchange);
void exchange_hold_response(struct exchange *exchange);
/* Pause a response that is not sent yet and doesn't fit in the buffer. */
void exchange_pause_if_held(struct exchange *exchange, uint64_t more);
void exchange_take_turn(struct exchange *exchange);
void exchange_forward_waiting(struct exchange *exchange);

#endif
