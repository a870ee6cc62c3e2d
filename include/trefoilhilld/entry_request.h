#ifndef TREFOILHILL_TREFOILHILLD_ENTRY_REQUEST_H
#define TREFOILHILL_TREFOILHILLD_ENTRY_REQUEST_H

#include <civetweb.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/rng.h"
#include "trefoilhilld/response_error.h"
#include "wire/call.h"

/* One request of a caller. Strings are views into CivetWeb's memory. */
struct entry_request {
	struct mg_connection *conn;
	const struct mg_request_info *info;
	char id[CALL_REQUEST_MAX + 1];
	struct str key;
	struct str method;
	struct str authority;
	struct str path;
	char *target; /* path and query */
	struct call_headers headers;
	uint64_t length;     /* of the body, or CALL_LENGTH_UNKNOWN */
	GBytes *first_chunk; /* start of the body; NULL: none */
	bool body_ended;     /* all of it is in first_chunk */
	uint64_t body_read;
	uint32_t timeout_ms; /* 0: not set by the caller */
	uint32_t attempt;    /* the caller's own attempt number */
	bool idempotent;
	bool is_head;
};

/* Returns false with error set. Call entry_request_clear in either case. */
bool entry_request_parse(struct entry_request *request,
    struct mg_connection *conn, struct rng *rng, struct response_error *error);
void entry_request_clear(struct entry_request *request);
/* Read the first chunk of the body, before the call is opened. */
bool entry_request_read_first_chunk(
    struct entry_request *request, struct response_error *error);
/*
 * Return the next chunk. NULL with body_ended set at the end of the body, NULL
 * without it if the body is truncated.
 */
GBytes *entry_request_read_next_chunk(struct entry_request *request);
uint64_t request_id_to_number(const char *id);

#endif
