#include "guard/guard.h"

static const char *const reason_names[REFUSAL_COUNT] = {
	[REFUSAL_NONE] = "none",
	[REFUSAL_LIMIT] = "limit",
	[REFUSAL_QUEUE_WAIT] = "queue_wait",
	[REFUSAL_DRAINING] = "draining",
	[REFUSAL_OUT_OF_SERVICE] = "out",
	[REFUSAL_FENCED] = "fenced",
	[REFUSAL_DEADLINE] = "deadline",
	[REFUSAL_NOT_READY] = "not_ready",
	[REFUSAL_DUPLICATE] = "duplicate",
	[REFUSAL_UNREACHABLE] = "unreachable",
	[REFUSAL_UNKNOWN_UPSTREAM] = "unknown_upstream",
	[REFUSAL_SHED] = "shed",
	[REFUSAL_TOO_LARGE] = "too_large",
	[REFUSAL_CANCELLED] = "cancelled",
	[REFUSAL_RECORD_FULL] = "record_full",
};

/*
 * Return the name of a reason in responses to callers and in metrics.
 */
const char *
refusal_reason_name(enum refusal_reason reason)
{
	return reason < REFUSAL_COUNT ? reason_names[reason] : "unknown";
}

/*
 * Tell whether a refusal guarantees that the request did not run. A duplicate
 * is refused because an earlier copy is running or has run, so the outcome of
 * the request has to be reported as unknown.
 */
bool
refusal_is_not_run(enum refusal_reason reason)
{
	return reason != REFUSAL_DUPLICATE;
}
