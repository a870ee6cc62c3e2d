#ifndef TREFOILHILL_TREFOILHILL_PROXY_HOP_H
#define TREFOILHILL_TREFOILHILL_PROXY_HOP_H

#include "fleet/upstream.h"
#include "http/head.h"

/*
 * Header fields that nodes add to the requests and answers which they pass to
 * each other. They never leave the system: fields of these names that come
 * from callers or upstreams are dropped.
 */

/* What an entry asks of the node beside an upstream. */
struct hop_request {
	struct str instance;      /* id of the upstream that is meant */
	struct str caller;        /* service at whose host the request began */
	int64_t remaining_ms;     /* until nobody waits any more */
	int64_t queue_timeout_ms; /* that it may be queued at most */
	uint32_t priority;
	bool idempotent;
	bool bulk; /* the answer is large */
	bool late; /* the answer can't be within the objective any more */
};

enum hop_outcome {
	HOP_RESPONSE, /* an upstream's answer is passed on */
	HOP_NOT_RUN,  /* the request never ran there, and never will */
	HOP_FAILED,   /* it may have run */
};

struct hop_response {
	enum hop_outcome outcome;
	struct str reason;
	bool upstream_rejected; /* not run, but the upstream itself said so */
	bool has_load;
	struct load_report load;
	int64_t run_ms; /* that the upstream took until its answer began */
};

bool hop_field_is_internal(struct str name);
void hop_write_request(GString *text, const struct hop_request *request);
/* False: the message bears no such fields, or they can't be read. */
bool hop_read_request(
    const struct http_head *head, struct hop_request *request);
void hop_write_load(
    GString *text, const struct load_report *load, int64_t run_ms);
void hop_write_outcome(GString *text, enum hop_outcome outcome,
    const char *reason, bool upstream_rejected);
void hop_read_response(
    const struct http_head *head, struct hop_response *response);

#endif
