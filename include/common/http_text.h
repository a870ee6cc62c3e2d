#ifndef TREFOILHILL_COMMON_HTTP_TEXT_H
#define TREFOILHILL_COMMON_HTTP_TEXT_H

#include "common/str.h"

/* Characters of HTTP messages (RFC 9110, 5.5 and 5.6.2). */

/* Of a token, such as a field's name. */
bool http_is_token_char(char c);
/* Visible, or beyond ASCII, which a recipient doesn't judge. */
bool http_is_text_char(char c);
/* Of a field's value: the same, blanks and tabs. */
bool http_is_value_char(char c);

/* Not empty, and all characters are of a token. */
bool http_is_token(struct str text);
/* All characters are of a field's value; it may be empty. */
bool http_is_value(struct str text);

#endif
