#ifndef TREFOILHILL_TREFOILHILLD_UPSTREAM_CLIENT_H
#define TREFOILHILL_TREFOILHILLD_UPSTREAM_CLIENT_H

#include "guard/guard.h"
#include "trefoilhilld/locked_guard.h"
#include "trefoilhilld/service_call.h"

/* A worker's persistent connection to the upstream. */
struct upstream_client;

/* The result of running a call on the upstream. */
struct upstream_result {
	enum guard_outcome outcome;
	bool confirmed;    /* the guard allowed the call to be sent */
	bool has_response; /* complete; its last bytes are in last_frame */
	bool not_run;
	enum refusal_reason reason;
	uint32_t retry_after_ms; /* 0: not given by the upstream */
	uint32_t latency_us;     /* until the end of the response head */
	/*
	 * Last frame of a complete response. It is sent after the guard has
	 * been told of the end of the call.
	 */
	struct call_frame last_frame;
	GBytes *last_body; /* may be NULL */
};

struct upstream_client *upstream_client_new(
    const char *address, struct locked_guard *guard, struct clock *clock);
void upstream_client_free(struct upstream_client *client);
/* Views in the result are valid until the client's next run. */
void upstream_client_run(struct upstream_client *client,
    struct service_call *call, struct upstream_result *result);

#endif
