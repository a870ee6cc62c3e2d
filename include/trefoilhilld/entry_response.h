#ifndef TREFOILHILL_TREFOILHILLD_ENTRY_RESPONSE_H
#define TREFOILHILL_TREFOILHILLD_ENTRY_RESPONSE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/rng.h"
#include "trefoilhilld/response_error.h"
#include "trefoilhilld/entry_request.h"
#include "wire/call.h"

/* The response to one request, written as it arrives. */
struct entry_response {
	struct entry_request *request;
	bool close; /* close the connection after the response */
	bool begun;
	bool ended;
	bool chunked;
	bool failed;     /* the caller's connection is closed */
	uint64_t length; /* announced length, or CALL_LENGTH_UNKNOWN */
	uint64_t written;
	int status;
};

void entry_response_init(
    struct entry_response *response, struct entry_request *request, bool close);
/*
 * Write the head and the body bytes that came with it. Returns false if the
 * caller has disconnected.
 */
bool entry_response_begin(struct entry_response *response,
    const struct call_head *head, struct str body);
bool entry_response_write(struct entry_response *response, struct str body);
/*
 * Returns false if the body is shorter than announced; the response is aborted
 * then.
 */
bool entry_response_end(struct entry_response *response);
/* Close the connection without completing the response. */
void entry_response_abort(struct entry_response *response);
void entry_response_send_error(struct entry_response *response,
    const struct response_error *error, struct rng *rng);

#endif
