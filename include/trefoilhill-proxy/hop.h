#ifndef TREFOILHILL_TREFOILHILL_PROXY_HOP_H
#define TREFOILHILL_TREFOILHILL_PROXY_HOP_H

#include "fleet/upstream.h"
#include "http/head.h"
#include "quarantine/request_key.h"

/*
 * Header fields on requests and responses between nodes. They are internal:
 * fields of these names from callers or upstreams are dropped.
 */

enum {
	HOP_TIME_MAX_MS = 3600 * 1000, /* longer times are malformed */
};

/* What the node that accepted a request asks of the upstream's node. */
struct hop_request {
	struct str instance;      /* id of the intended upstream */
	struct str caller;        /* service on the host of origin */
	struct str workspace;     /* that the key is of; empty: none */
	int64_t remaining_ms;     /* until the deadline */
	int64_t queue_timeout_ms; /* longest time in the gate's queue */
	uint32_t priority;
	bool idempotent;
	bool bulk; /* a large response is expected */
	bool late; /* can't meet its latency objective any more */
	/* An earlier attempt has reached an upstream, or its caller's has. */
	bool repeat;
	/*
	 * The request must not run before the sender has confirmed it, which
	 * it does with the body once the upstream's node asks to continue. It
	 * is of body_length bytes, and sent in chunks.
	 */
	bool confirm;
	int64_t body_length;
	/* Limit that the instance has named, as in struct load_report. */
	uint32_t rate_limit_per_ks;
	struct request_key key; /* 0: from a node of an earlier version */
	bool suspect;     /* an upstream crashed while it ran the request */
	uint32_t work_ms; /* run time that the sender expects; 0: not known */
	/*
	 * Read only, hop_write_suspect writes it: what the sender knows of
	 * that, in the text form of struct suspect; or empty.
	 */
	struct str suspect_text;
	/*
	 * Read only, hop_write_quota writes it: reports on the usage of
	 * workspaces, encoded; or empty.
	 */
	struct str quota_text;
};

enum hop_outcome {
	HOP_RESPONSE, /* the response is the upstream's own */
	HOP_NOT_RUN,  /* the request did not and will not run there */
	HOP_FAILED,   /* the request may have run */
};

struct hop_response {
	enum hop_outcome outcome;
	struct str reason;
	bool upstream_rejected; /* HOP_NOT_RUN by the upstream's own decision */
	bool has_load;
	struct load_report load;
	int64_t run_ms; /* the upstream's time until its response head */
	struct str suspect_text;     /* as in struct hop_request */
	struct str quota_text;       /* as in struct hop_request */
	struct str leaving_instance; /* an upstream that leaves; or empty */
	uint64_t leaving_started_ms; /* when it started */
};

bool hop_field_is_internal(struct str name);
void hop_write_request(GString *text, const struct hop_request *request);
/* Returns false if the fields are missing or malformed. */
bool hop_read_request(
    const struct http_head *head, struct hop_request *request);
void hop_write_load(
    GString *text, const struct load_report *load, int64_t run_ms);
/* The lag in milliseconds, in the heads of heartbeats. */
void hop_write_lag(GString *text, uint32_t lag_ms);
uint32_t hop_read_lag(const struct http_head *head);
/*
 * Of a heartbeat's head: so many nodes, the receiver first, are asked one after
 * another to read the store in the sender's place; 0: none.
 */
void hop_write_read_ttl(GString *text, uint32_t ttl);
uint32_t hop_read_read_ttl(const struct http_head *head);
/* Tell that the upstream of this id and start leaves. */
void hop_write_leaving(GString *text, struct str instance, uint64_t started_ms);
/* Append the text form of what is known of a request that may crash. */
void hop_write_suspect(GString *text, struct str suspect);
/* Append encoded reports on the usage of workspaces. */
void hop_write_quota(GString *text, struct str reports);
void hop_write_outcome(GString *text, enum hop_outcome outcome,
    const char *reason, bool upstream_rejected);
void hop_read_response(
    const struct http_head *head, struct hop_response *response);

#endif
