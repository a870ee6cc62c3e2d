#include "trefoilhill-load/outcome.h"

static const char *const outcome_names[OUTCOME_COUNT] = {
	[OUTCOME_OK] = "ok",
	[OUTCOME_NOT_RUN] = "not_run",
	[OUTCOME_UNKNOWN] = "unknown",
	[OUTCOME_CUT] = "cut",
	[OUTCOME_WRONG] = "wrong",
	[OUTCOME_ERROR] = "error",
	[OUTCOME_NO_ANSWER] = "no_answer",
};

/*
 * Returns the name of an outcome as printed in reports.
 */
const char *
outcome_name(enum outcome outcome)
{
	return outcome_names[outcome];
}
