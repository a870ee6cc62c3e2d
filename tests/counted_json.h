#ifndef TREFOILHILL_TESTS_COUNTED_JSON_H
#define TREFOILHILL_TESTS_COUNTED_JSON_H

#include <stddef.h>

/* What jansson has allocated, with the allocator's overhead. */
extern size_t counted_json_bytes;
extern size_t counted_json_peak;

/* Count from now on; call it before anything is parsed. */
void counted_json_init(void);
/* Start a new peak at what is allocated now. */
void counted_json_reset_peak(void);

#endif
