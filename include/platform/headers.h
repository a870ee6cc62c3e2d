#ifndef TREFOILHILL_PLATFORM_HEADERS_H
#define TREFOILHILL_PLATFORM_HEADERS_H

#include "http/head.h"

/* Platform headers of a caller's request; strings point into its head. */
struct request_marks {
	struct str id; /* unique per attempt of the caller; may be empty */
	int64_t deadline_ms; /* how long the caller waits; -1: not given */
};

/* Platform headers of an upstream's response; strings point into its head. */
struct answer_marks {
	struct str id;
	bool is_signed;      /* made by an upstream, not by an intermediary */
	bool not_run;        /* the upstream did not start the request */
	struct str instance; /* the upstream's id; may be empty */
	int64_t cold_ms;     /* cold-start time left; -1: not given */
};

/* Headers that the proxy sets on a request to an upstream. */
struct forward_marks {
	int64_t deadline_ms; /* time left; -1: omit the header */
	struct str instance; /* id of the intended upstream; empty: omit */
	struct str caller; /* service on the host that the request came from */
};

void platform_read_request(
    const struct http_head *head, struct request_marks *headers);
void platform_read_answer(
    const struct http_head *head, struct answer_marks *headers);
/* True if platform_write_forward replaces this header. */
bool platform_field_is_ours(struct str name);
void platform_write_forward(GString *text, const struct forward_marks *headers);
/* Append the headers of a response that the proxy generates itself. */
void platform_write_own_answer(GString *text, struct str request_id);

/* True if this request target is the readiness check. */
bool platform_is_readiness(struct str target);

#endif
