#ifndef TREFOILHILL_TREFOILHILL_PROXY_EXCHANGE_H
#define TREFOILHILL_TREFOILHILL_PROXY_EXCHANGE_H

#include "platform/headers.h"
#include "trefoilhill-proxy/attempt.h"
#include "trefoilhill-proxy/caller.h"
#include "trefoilhill-proxy/hop.h"
#include "trefoilhill-proxy/shaper.h"

enum {
	EXCHANGE_ATTEMPTS_MAX = 5, /* sends of one request, refused ones too */
	EXCHANGE_ID_MAX = 128,
};

/* One request from its head to the end of its answer. */
struct exchange {
	uv_timer_t timer;      /* first; ends the exchange at its deadline */
	uv_timer_t hedge;      /* a second send of a slow repeatable request */
	struct caller *caller; /* NULL: gone */
	struct proxy *proxy;
	enum caller_origin origin;
	int64_t started_ms;
	int64_t deadline_ms;
	/* The request. */
	struct http_head *head;
	struct str id;         /* view into head */
	GByteArray *body;      /* what is kept of it */
	uint64_t body_dropped; /* bytes sent and no longer kept */
	bool body_complete;
	bool has_length;
	uint64_t length;
	bool is_head_method;
	bool http_1_0;
	/* What was decided. */
	struct mesh_config *config;     /* counted */
	const struct mesh_route *route; /* of the config; NULL from peers */
	const char *service;            /* of the route */
	struct hop_request hop;         /* from peers; views into head */
	bool idempotent;
	bool bulk;        /* the answer is large */
	bool late;        /* it can't be on time any more */
	int64_t spent_ms; /* by the caller's tries before this one */
	uint32_t priority;
	uint32_t objective_ms;
	/* Attempts, oldest first; ended ones are NULL. */
	struct attempt *attempts[EXCHANGE_ATTEMPTS_MAX];
	const struct upstream *tried[BALANCE_TRIED_MAX];
	struct upstream *tried_refs[BALANCE_TRIED_MAX]; /* counted */
	size_t tried_count;
	uint32_t attempt_count;
	uint32_t runs;                /* attempts that may have run */
	uint32_t upstream_rejections; /* sends that an upstream saw */
	bool misdirected; /* meant for another instance than is here */
	bool hedged;
	bool may_have_run; /* by an attempt that has failed */
	/* The answer. */
	struct attempt *responding;
	int64_t response_started_ms; /* when its head came */
	int64_t response_run_ms;     /* that the upstream took until then */
	GString *response_head;      /* rendered, not yet sent */
	GByteArray *buffered_body;   /* body bytes that are not yet sent */
	struct shaper_flow flow;     /* of a large answer */
	bool response_complete;      /* the answer is whole, some of it waits */
	bool committed;              /* the caller has seen the answer's head */
	bool chunked;
	bool ended;
	unsigned status;
	char reason[64]; /* of the last refusal or failure */
};

void exchange_begin(struct caller *caller);
void exchange_append_body(struct exchange *exchange, struct str bytes);
void exchange_end_body(struct exchange *exchange);
/* The caller has gone. */
void exchange_abandon(struct exchange *exchange);
/* The caller's connection has room again. */
void exchange_resume_response(struct exchange *exchange);

/* Shared by its sources alone. */
extern const struct attempt_ops exchange_attempt_ops;
void exchange_handle_deadline(uv_timer_t *timer);
void exchange_push_body(struct exchange *exchange);
void exchange_dispatch(struct exchange *exchange);
void exchange_respond(struct exchange *exchange, unsigned status,
    const char *reason, bool retryable);
void exchange_finish(struct exchange *exchange);
void exchange_abort_response(struct exchange *exchange,
    const struct attempt *attempt, const char *reason);
void exchange_cancel_attempts(
    struct exchange *exchange, const struct attempt *except);
uint32_t exchange_active_attempts(const struct exchange *exchange);
int64_t exchange_remaining_ms(const struct exchange *exchange);
void exchange_log(struct exchange *exchange, enum log_class class,
    const char *event, const struct attempt *attempt, const char *reason);
void exchange_relay_head(struct exchange *exchange, struct attempt *attempt);
void exchange_relay_body(struct exchange *exchange, struct str bytes);
void exchange_relay_end(struct exchange *exchange);

#endif
