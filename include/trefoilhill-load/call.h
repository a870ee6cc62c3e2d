#ifndef TREFOILHILL_LOAD_CALL_H
#define TREFOILHILL_LOAD_CALL_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include "common/body_pattern.h"
#include "trefoilhill-load/options.h"
#include "trefoilhill-load/outcome.h"
#include "trefoilhill-load/plan.h"

/* A request in flight. Calls are reused for later requests. */
struct call {
	CURL *easy;
	struct curl_slist *headers;
	size_t index; /* in the plan */
	struct timespec due;
	char id[REQUEST_ID_DIGITS + 1];
	struct body_pattern expected;
	uint64_t received_bytes;
	bool has_mismatch; /* body or echoed id of another request */
	bool has_outcome;  /* the response has an outcome header */
	enum outcome outcome;
};

struct call *call_new(void);
void call_free(struct call *call);
void call_prepare(struct call *call, const struct load_options *options,
    const struct plan *plan, size_t index, struct timespec due);
enum outcome call_get_outcome(struct call *call, CURLcode code);

#endif
