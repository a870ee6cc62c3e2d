#ifndef TREFOILHILL_TREFOILHILLD_UPSTREAM_CLIENT_STATE_H
#define TREFOILHILL_TREFOILHILLD_UPSTREAM_CLIENT_STATE_H

#include <curl/curl.h>

#include "trefoilhilld/response_parser.h"
#include "trefoilhilld/upstream_client.h"

/* Insides of the client, shared by its sources alone. */
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
	GByteArray *pending; /* bytes of the answer not yet sent on */

	/* Of the call that runs. */
	struct service_call *call;
	struct upstream_result *result;
	struct timespec send_started;
	bool prereq_called; /* libcurl has asked for leave to send */
	bool read_paused;   /* waits for more of the request's body */
	bool head_sent;
	uint64_t sent; /* bytes of the answer's body */
	uint64_t body_read;
	uint64_t body_credit_granted;
};

/* Set libcurl up for one request; upstream_request.c. */
void upstream_request_set(struct upstream_client *client,
    const struct call_open *open, int64_t remaining_ms);

#endif
