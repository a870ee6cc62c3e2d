#ifndef TREFOILHILL_LOAD_OUTCOME_H
#define TREFOILHILL_LOAD_OUTCOME_H

/* What a caller learned of its request. */
enum outcome {
	OUTCOME_OK,        /* its own whole answer */
	OUTCOME_NOT_RUN,   /* refused, with the promise that it did not run */
	OUTCOME_UNKNOWN,   /* a typed error: it may have run */
	OUTCOME_CUT,       /* the answer broke off, and showed it */
	OUTCOME_WRONG,     /* another's answer, or one part given as whole */
	OUTCOME_ERROR,     /* another status, without an outcome */
	OUTCOME_NO_ANSWER, /* connection refused or lost, or timeout */
	OUTCOME_COUNT,
};

const char *outcome_name(enum outcome outcome);

#endif
