#include <glib.h>
#include <string.h>

#include "common/http_text.h"

/*
 * Tell whether a character may be in a token.
 */
bool
http_is_token_char(char c)
{
	return g_ascii_isalnum(c) ||
	    (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

/*
 * Tell whether a character is visible or beyond ASCII.
 */
bool
http_is_text_char(char c)
{
	return (unsigned char)c > ' ' && c != '\x7f';
}

/*
 * Tell whether a character may be in a field's value.
 */
bool
http_is_value_char(char c)
{
	return http_is_text_char(c) || c == ' ' || c == '\t';
}

/*
 * Tell whether a text is a token.
 */
bool
http_is_token(struct str text)
{
	for (size_t i = 0; i < text.len; i++)
		if (!http_is_token_char(text.ptr[i]))
			return false;
	return text.len > 0;
}

/*
 * Tell whether a text may be a field's value.
 */
bool
http_is_value(struct str text)
{
	for (size_t i = 0; i < text.len; i++)
		if (!http_is_value_char(text.ptr[i]))
			return false;
	return true;
}
