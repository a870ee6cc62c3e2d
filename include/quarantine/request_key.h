#ifndef TREFOILHILL_QUARANTINE_REQUEST_KEY_H
#define TREFOILHILL_QUARANTINE_REQUEST_KEY_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

enum {
	/* Of a larger body only so much counts: the rest is streamed. */
	REQUEST_KEY_BODY_BYTES = 64 * 1024,
	REQUEST_KEY_TEXT_MAX = 33, /* with the terminating NUL */
};

/*
 * Identity of a request, the same each time that it comes again: a 128-bit hash
 * of its host, path, calling service and body.
 */
struct request_key {
	uint64_t high;
	uint64_t low;
};

/* What the identity is computed from. */
struct request_identity {
	struct str host;   /* letter case and a port don't matter */
	struct str target; /* of the request line; its query doesn't matter */
	struct str caller; /* service on the host where the request began */
	struct str body;   /* the first REQUEST_KEY_BODY_BYTES of it, or all */
};

struct request_key request_key_of(const struct request_identity *identity);
bool request_key_equal(struct request_key a, struct request_key b);
/* Write 32 hexadecimal digits. */
void request_key_format(
    struct request_key key, char text[REQUEST_KEY_TEXT_MAX]);

#endif
