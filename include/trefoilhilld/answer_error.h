#ifndef TREFOILHILL_TREFOILHILLD_ANSWER_ERROR_H
#define TREFOILHILL_TREFOILHILLD_ANSWER_ERROR_H

#include <stdbool.h>

#include "guard/guard.h"

/* Why an entry answers a caller itself. */
enum answer_error_kind {
	ANSWER_ERROR_REFUSED, /* by the guard, with its reason */
	ANSWER_ERROR_NO_ROUTE,
	ANSWER_ERROR_NOT_READY,
	ANSWER_ERROR_STOPPING,
	ANSWER_ERROR_NO_UPSTREAM,
	ANSWER_ERROR_BAD_REQUEST,
	ANSWER_ERROR_TOO_LARGE,
	ANSWER_ERROR_METHOD,
	ANSWER_ERROR_HTTP_VERSION,
	ANSWER_ERROR_UNREACHABLE, /* no byte reached the guard's node */
	ANSWER_ERROR_DEADLINE,
	ANSWER_ERROR_LOST,   /* no word from the guard's node any more */
	ANSWER_ERROR_BROKEN, /* the upstream's answer broke off */
	ANSWER_ERROR_BODY,   /* the caller's body ended early */
	ANSWER_ERROR_COUNT,
};

struct answer_error {
	enum answer_error_kind kind;
	enum refusal_reason reason; /* of ANSWER_ERROR_REFUSED */
	bool not_run;
	uint32_t retry_after_ms; /* 0: coming back doesn't help */
};

int answer_error_status(const struct answer_error *error);
const char *answer_error_name(const struct answer_error *error);
const char *answer_error_detail(const struct answer_error *error);

#endif
