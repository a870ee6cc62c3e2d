#ifndef TREFOILHILL_TREFOILHILLD_ENTRY_RESPONSE_H
#define TREFOILHILL_TREFOILHILLD_ENTRY_RESPONSE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/rng.h"
#include "trefoilhilld/response_error.h"
#include "trefoilhilld/entry_request.h"
#include "wire/call.h"

/* The answer to one request, written as it comes. */
struct entry_response {
	struct entry_request *request;
	bool close; /* the connection ends with the answer */
	bool begun;
	bool ended;
	bool chunked;
	bool failed;     /* the caller's connection is gone */
	uint64_t length; /* announced, or CALL_LENGTH_UNKNOWN */
	uint64_t written;
	int status;
};

void entry_response_init(
    struct entry_response *response, struct entry_request *request, bool close);
/* Head and the body bytes that came with it; false: the caller is gone. */
bool entry_response_begin(struct entry_response *response,
    const struct call_head *head, struct str body);
bool entry_response_write(struct entry_response *response, struct str body);
/* False when the answer is shorter than was announced: it is cut then. */
bool entry_response_end(struct entry_response *response);
/* Close the connection without ending the answer. */
void entry_response_abort(struct entry_response *response);
void entry_response_send_error(struct entry_response *response,
    const struct response_error *error, struct rng *rng);

#endif
