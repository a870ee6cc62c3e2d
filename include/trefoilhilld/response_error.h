#ifndef TREFOILHILL_TREFOILHILLD_RESPONSE_ERROR_H
#define TREFOILHILL_TREFOILHILLD_RESPONSE_ERROR_H

#include <stdbool.h>

#include "guard/guard.h"

/* Reasons for which an entry generates an error response itself. */
enum response_error_kind {
	RESPONSE_ERROR_REFUSED, /* by the guard; see response_error.reason */
	RESPONSE_ERROR_NO_ROUTE,
	RESPONSE_ERROR_NOT_READY,
	RESPONSE_ERROR_STOPPING,
	RESPONSE_ERROR_NO_UPSTREAM,
	RESPONSE_ERROR_BAD_REQUEST,
	RESPONSE_ERROR_TOO_LARGE,
	RESPONSE_ERROR_METHOD,
	RESPONSE_ERROR_HTTP_VERSION,
	RESPONSE_ERROR_UNREACHABLE, /* no byte was sent to the guard's node */
	RESPONSE_ERROR_DEADLINE,
	RESPONSE_ERROR_LOST, /* the guard's node stopped responding */
	RESPONSE_ERROR_INCOMPLETE_RESPONSE, /* of the upstream */
	RESPONSE_ERROR_INCOMPLETE_BODY,     /* of the caller's request */
	RESPONSE_ERROR_COUNT,
};

struct response_error {
	enum response_error_kind kind;
	enum refusal_reason reason; /* for RESPONSE_ERROR_REFUSED */
	bool not_run;
	uint32_t retry_after_ms; /* 0: retrying later does not help */
};

int response_error_status(const struct response_error *error);
const char *response_error_name(const struct response_error *error);
const char *response_error_detail(const struct response_error *error);

#endif
