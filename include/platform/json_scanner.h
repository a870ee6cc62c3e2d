#ifndef TREFOILHILL_PLATFORM_JSON_SCANNER_H
#define TREFOILHILL_PLATFORM_JSON_SCANNER_H

#include <stdbool.h>

#include "common/str.h"

/*
 * Finds the bounds of the members of a JSON object, or the elements of an
 * array, without decoding them, so that members whose text is unchanged need
 * not be decoded again. Checks only the structure it needs; decoding a member
 * checks the rest.
 */
struct json_scanner {
	struct str text;
	size_t offset;
	bool has_member; /* a member has been read */
	char close;      /* bracket that ends the object or array */
};

struct json_member {
	struct str name; /* without quotes; escapes not decoded; may be empty */
	struct str value; /* without surrounding white space */
};

/* False if the text does not start with an object. The text is borrowed. */
bool json_scanner_begin(struct json_scanner *scanner, struct str text);
/* The same for an array, whose elements have no names. */
bool json_scanner_begin_list(struct json_scanner *scanner, struct str text);
/*
 * False at the end of the object or at malformed text, which
 * json_scanner_is_complete tells apart.
 */
bool json_scanner_next(
    struct json_scanner *scanner, struct json_member *member);
/* After the last member: true if the object ended correctly. */
bool json_scanner_is_complete(const struct json_scanner *scanner);

#endif
