#ifndef TREFOILHILL_TREFOILHILLD_UPSTREAM_CLIENT_H
#define TREFOILHILL_TREFOILHILLD_UPSTREAM_CLIENT_H

#include "guard/guard.h"
#include "trefoilhilld/locked_guard.h"
#include "trefoilhilld/service_call.h"

/* One worker's kept connection to the upstream. */
struct upstream_client;

/* How a call ended at the upstream. */
struct upstream_result {
	enum guard_outcome outcome;
	bool confirmed;    /* the guard let it go to the upstream */
	bool has_response; /* whole: the last bytes are in last_frame */
	bool not_run;
	enum refusal_reason reason;
	uint32_t retry_after_ms; /* 0: the upstream didn't say */
	uint32_t latency_us;     /* to the answer's head */
	/* Last frame of a whole answer, sent after the guard knows. */
	struct call_frame last_frame;
	GBytes *last_body; /* may be NULL */
};

struct upstream_client *upstream_client_new(
    const char *address, struct locked_guard *guard, struct clock *clock);
void upstream_client_free(struct upstream_client *client);
/* The result's views live until the client's next run. */
void upstream_client_run(struct upstream_client *client,
    struct service_call *call, struct upstream_result *result);

#endif
