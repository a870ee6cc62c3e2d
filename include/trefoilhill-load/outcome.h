#ifndef TREFOILHILL_LOAD_OUTCOME_H
#define TREFOILHILL_LOAD_OUTCOME_H

/* Result of a request as seen by the caller. */
enum outcome {
	OUTCOME_OK,        /* complete response to this request */
	OUTCOME_NOT_RUN,   /* refused, reported as not executed */
	OUTCOME_UNKNOWN,   /* error with an outcome: may have been executed */
	OUTCOME_CUT,       /* response truncated, with a transfer error */
	OUTCOME_WRONG,     /* wrong content, or truncated without an error */
	OUTCOME_ERROR,     /* status other than 2xx, without an outcome */
	OUTCOME_NO_ANSWER, /* connection refused or lost, or timeout */
	OUTCOME_COUNT,
};

const char *outcome_name(enum outcome outcome);

#endif
