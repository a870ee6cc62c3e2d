#ifndef TREFOILHILL_TREFOILHILLD_ENTRY_REQUEST_H
#define TREFOILHILL_TREFOILHILLD_ENTRY_REQUEST_H

#include <civetweb.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/rng.h"
#include "trefoilhilld/response_error.h"
#include "wire/call.h"

/* One request of a caller; strings are views into CivetWeb's memory. */
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
	GBytes *first_chunk; /* first bytes of the body; NULL: none */
	bool body_ended;     /* all of it is in first */
	uint64_t body_read;
	uint32_t timeout_ms; /* 0: the caller named none */
	uint32_t attempt;    /* of the caller itself */
	bool idempotent;
	bool is_head;
};

/* False with error filled in; to be ended with _clear in any case. */
bool entry_request_parse(struct entry_request *request,
    struct mg_connection *conn, struct rng *rng, struct response_error *error);
void entry_request_clear(struct entry_request *request);
/* First chunk of the body, before the call is opened. */
bool entry_request_read_first_chunk(
    struct entry_request *request, struct response_error *error);
/* Next chunk; NULL with body_ended at its end, NULL without when cut. */
GBytes *entry_request_read_next_chunk(struct entry_request *request);
uint64_t request_id_to_number(const char *id);

#endif
