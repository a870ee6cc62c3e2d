#ifndef TREFOILHILL_PLATFORM_HEADERS_H
#define TREFOILHILL_PLATFORM_HEADERS_H

#include "http/head.h"

/* What a caller's request says of itself. Views into its head. */
struct request_marks {
	struct str id;       /* one for each try of a caller; empty: none */
	int64_t deadline_ms; /* how long the caller waits; -1: not told */
};

/* What an upstream's answer says of itself. Views into its head. */
struct answer_marks {
	struct str id;
	bool is_signed;      /* an upstream made it, nobody on the way */
	bool not_run;        /* the upstream did not begin the request */
	struct str instance; /* the upstream's id, where it tells it */
	int64_t cold_ms;     /* how much longer it is cold; -1: not told */
};

/* Fields that the system itself sets on the way to an upstream. */
struct forward_marks {
	int64_t deadline_ms; /* what is left; -1: leave it out */
	struct str instance; /* the upstream that is meant */
	struct str caller;   /* service at whose host the request began */
};

void platform_read_request(
    const struct http_head *head, struct request_marks *marks);
void platform_read_answer(
    const struct http_head *head, struct answer_marks *marks);
/* Is the field replaced by those of platform_write_forward? */
bool platform_field_is_ours(struct str name);
void platform_write_forward(GString *text, const struct forward_marks *marks);
/* Fields of an answer of the system's own. */
void platform_write_own_answer(GString *text, struct str request_id);

/* Readiness is asked for at this target. */
bool platform_is_readiness(struct str target);

#endif
