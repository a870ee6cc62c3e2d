#ifndef TREFOILHILL_TREFOILHILLD_UPSTREAM_CLIENT_STATE_H
#define TREFOILHILL_TREFOILHILLD_UPSTREAM_CLIENT_STATE_H

#include <curl/curl.h>

#include "trefoilhilld/response_parser.h"
#include "trefoilhilld/upstream_client.h"

/* Internals of the client, private to its source files. */
struct upstream_client {
	struct locked_guard *guard;
	struct clock *clock;
	char *address;
	CURLM *multi;
	CURL *easy;
	struct curl_slist *headers;
	char *url;
	char *target;
	char *method;
	struct response_parser parser;
	GByteArray *pending; /* response bytes not yet forwarded */

	/* State of the running call. */
	struct service_call *call;
	struct upstream_result *result;
	struct timespec send_started;
	bool prereq_called; /* libcurl has asked for permission to send */
	bool read_paused;   /* waiting for more of the request body */
	bool head_sent;
	uint64_t sent;      /* response body bytes forwarded */
	uint64_t discarded; /* response body bytes of a shed */
	uint64_t body_read;
	uint64_t body_credit_granted;
};

/* Configure libcurl for one request; see upstream_request.c. */
void upstream_request_set(struct upstream_client *client,
    const struct call_open *open, int64_t remaining_ms);

#endif
