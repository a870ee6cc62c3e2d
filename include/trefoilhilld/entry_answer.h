#ifndef TREFOILHILL_TREFOILHILLD_ENTRY_ANSWER_H
#define TREFOILHILL_TREFOILHILLD_ENTRY_ANSWER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/rng.h"
#include "trefoilhilld/answer_error.h"
#include "trefoilhilld/entry_request.h"
#include "wire/call.h"

/* The answer to one request, written as it comes. */
struct entry_answer {
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

void entry_answer_init(
    struct entry_answer *answer, struct entry_request *request, bool close);
/* Head and the body bytes that came with it; false: the caller is gone. */
bool entry_answer_begin(
    struct entry_answer *answer, const struct call_head *head, struct str body);
bool entry_answer_write(struct entry_answer *answer, struct str body);
/* False when the answer is shorter than was announced: it is cut then. */
bool entry_answer_end(struct entry_answer *answer);
/* Close the connection without ending the answer. */
void entry_answer_cut(struct entry_answer *answer);
void entry_answer_error(struct entry_answer *answer,
    const struct answer_error *error, struct rng *rng);

#endif
