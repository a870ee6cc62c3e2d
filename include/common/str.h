#ifndef TREFOILHILL_COMMON_STR_H
#define TREFOILHILL_COMMON_STR_H

#include <stdbool.h>
#include <stddef.h>

/* A view of bytes owned elsewhere; not NUL-terminated. */
struct str {
	size_t len;
	const char *ptr;
};

/* printf arguments for the format "%.*s". */
#define STR_ARG(s) (int)(s).len, (s).ptr

struct str str_from(const char *cstr);
struct str str_make(const void *ptr, size_t len);
bool str_equal(struct str a, struct str b);
int str_compare(struct str a, struct str b);
bool str_has_prefix(struct str s, struct str prefix);
char *str_dup_cstr(struct str s);
struct str str_dup(struct str s);
void str_release(struct str *s);

#endif
