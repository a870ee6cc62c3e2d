#include <glib.h>
#include <string.h>

#include "common/str.h"

/*
 * Return a view of a NUL-terminated string; the empty view for NULL.
 */
struct str
str_from(const char *cstr)
{
	return str_make(cstr, cstr == NULL ? 0 : strlen(cstr));
}

/*
 * Return a view of len bytes at ptr; the caller keeps ownership of them.
 */
struct str
str_make(const void *ptr, size_t len)
{
	struct str s = { .len = len, .ptr = ptr };

	return s;
}

/*
 * Tell whether two views hold the same bytes.
 */
bool
str_equal(struct str a, struct str b)
{
	return a.len == b.len &&
	    (a.len == 0 || memcmp(a.ptr, b.ptr, a.len) == 0);
}

/*
 * Order two views bytewise, a shorter one before its extensions. The result
 * is negative, zero or positive as with memcmp(3).
 */
int
str_compare(struct str a, struct str b)
{
	size_t shared = a.len < b.len ? a.len : b.len;
	int order = shared == 0 ? 0 : memcmp(a.ptr, b.ptr, shared);

	if (order != 0)
		return order;
	return (a.len > b.len) - (a.len < b.len);
}

/*
 * Tell whether s starts with all bytes of prefix.
 */
bool
str_has_prefix(struct str s, struct str prefix)
{
	return s.len >= prefix.len &&
	    str_equal(str_make(s.ptr, prefix.len), prefix);
}

/*
 * Copy a view to a NUL-terminated string that the caller frees with g_free.
 */
char *
str_dup_cstr(struct str s)
{
	return g_strndup(s.ptr == NULL ? "" : s.ptr, s.len);
}

/*
 * Copy the bytes of a view. The caller frees the result with str_release. A NUL
 * byte follows the len bytes, for use with C APIs.
 */
struct str
str_dup(struct str s)
{
	return str_make(str_dup_cstr(s), s.len);
}

/*
 * Free a string made by str_dup and set it to the empty view.
 */
void
str_release(struct str *s)
{
	g_free((char *)s->ptr);
	*s = str_make(NULL, 0);
}
