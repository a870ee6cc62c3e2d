#ifndef TREFOILHILL_PLATFORM_HEADERS_H
#define TREFOILHILL_PLATFORM_HEADERS_H

#include "fleet/upstream_notice.h"
#include "http/head.h"

/* Platform headers of a caller's request; strings point into its head. */
struct platform_request_headers {
	struct str id; /* unique per attempt of the caller; may be empty */
	int64_t deadline_ms; /* how long the caller waits; -1: not given */
};

/* Platform headers of an upstream's response; strings point into its head. */
struct platform_response_headers {
	struct str id;
	bool is_signed;      /* made by an upstream, not by an intermediary */
	bool not_run;        /* the upstream did not start the request */
	struct str instance; /* the upstream's id; may be empty */
	int64_t cold_ms;     /* cold-start time left; -1: not given */
	struct upstream_notice notice;
};

/* Headers that the proxy sets on a request to an upstream. */
struct platform_forward_headers {
	int64_t deadline_ms; /* time left; -1: omit the header */
	struct str instance; /* id of the intended upstream; empty: omit */
	struct str caller; /* service on the host that the request came from */
	struct str workspace; /* that the request's key is of; empty: omit */
};

void platform_parse_request_headers(
    const struct http_head *head, struct platform_request_headers *headers);
/* Key of a workspace that a request carries; empty: none, or more than one. */
struct str platform_request_key(const struct http_head *head);
/* Id of the request that a response belongs to; empty: not given. */
struct str platform_response_id(const struct http_head *head);
void platform_parse_response_headers(
    const struct http_head *head, struct platform_response_headers *headers);
/* True if platform_write_forward_headers replaces this header. */
bool platform_header_is_managed(struct str name);
/* True for the headers of keys and of workspaces' names. */
bool platform_header_is_workspace(struct str name);
void platform_write_forward_headers(
    GString *text, const struct platform_forward_headers *headers);
/* Append the headers of a response that the proxy generates itself. */
void platform_write_local_response_headers(
    GString *text, struct str request_id);

/* True if this request target is the readiness check. */
bool platform_is_readiness_target(struct str target);

#endif
