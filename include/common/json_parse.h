#ifndef TREFOILHILL_COMMON_JSON_PARSE_H
#define TREFOILHILL_COMMON_JSON_PARSE_H

#include <jansson.h>

#include "common/str.h"

enum {
	/* Memory that a parsed text may take, as a multiple of its length. */
	JSON_MEMORY_RATIO = 32,
	/* Memory that a text of any length may take. */
	JSON_MEMORY_FREE_BYTES = 64 * 1024,
};

/*
 * Parse JSON text from outside, as json_loadb does. Text that would take more
 * than the memory above is refused before any of it is built. All parsing goes
 * through this function. error may be NULL.
 */
json_t *json_parse(struct str text, size_t flags, json_error_t *error);

/* Upper bound of the bytes that jansson allocates to parse a text. */
size_t json_memory_bytes(struct str text);

#endif
