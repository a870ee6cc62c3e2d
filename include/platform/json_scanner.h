#ifndef TREFOILHILL_PLATFORM_JSON_SCANNER_H
#define TREFOILHILL_PLATFORM_JSON_SCANNER_H

#include <stdbool.h>

#include "common/str.h"

/*
 * Finds the bounds of the members of a JSON object without decoding them, so
 * that what did not change since the last time need not be decoded again. It
 * checks only what it needs; the decoder checks the rest.
 */
struct json_scanner {
	struct str text;
	size_t at;
	bool begun; /* a member was found */
};

struct json_member {
	struct str name;  /* between the quotes, escapes as they are */
	struct str value; /* without space around it */
};

/* False: the text does not begin like an object. */
bool json_scanner_begin(struct json_scanner *cut, struct str text);
/* False at the end, and where the text is not well formed: see whole. */
bool json_scanner_next(struct json_scanner *cut, struct json_member *member);
/* After the last member: did the object end as it should? */
bool json_scanner_is_complete(const struct json_scanner *cut);

#endif
