#include <string.h>
#include <strings.h>

#include "trefoilhilld/header_filter.h"

/*
 * Hop-by-hop headers (RFC 9110, 7.6.1), and headers that each hop sets itself.
 */
static const char *const hop_by_hop_names[] = {
	"connection",
	"content-length",
	"expect",
	"host",
	"keep-alive",
	"proxy-authenticate",
	"proxy-authorization",
	"proxy-connection",
	"te",
	"trailer",
	"transfer-encoding",
	"trefoilhill-attempt",
	"trefoilhill-outcome",
	"trefoilhill-request",
	"trefoilhill-timeout-ms",
	"upgrade",
};

/*
 * Compare two strings, ignoring ASCII case.
 */
bool
header_name_equal(struct str a, struct str b)
{
	return a.len == b.len &&
	    (a.len == 0 || strncasecmp(a.ptr, b.ptr, a.len) == 0);
}

/*
 * Tell whether a header applies to one hop only and is not forwarded.
 */
bool
header_is_hop_by_hop(struct str name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop_names); i++)
		if (header_name_equal(name, str_from(hop_by_hop_names[i])))
			return true;
	return false;
}

static struct str
trim(struct str s)
{
	while (s.len > 0 && g_ascii_isspace(s.ptr[0]))
		s = str_make(s.ptr + 1, s.len - 1);
	while (s.len > 0 && g_ascii_isspace(s.ptr[s.len - 1]))
		s.len--;
	return s;
}

/*
 * Tell whether a comma-separated list, such as the value of Connection,
 * contains a token.
 */
bool
header_list_has_token(struct str list, struct str token)
{
	while (list.len > 0) {
		const char *comma = memchr(list.ptr, ',', list.len);
		size_t len =
		    comma == NULL ? list.len : (size_t)(comma - list.ptr);

		if (header_name_equal(trim(str_make(list.ptr, len)), token))
			return true;
		len = MIN(len + 1, list.len);
		list = str_make(list.ptr + len, list.len - len);
	}
	return false;
}

/*
 * Remove hop-by-hop headers and headers named by a Connection header in the
 * list. The order is kept.
 */
void
header_remove_hop_by_hop(struct call_headers *headers)
{
	struct str connection_tokens = { .len = 0 };
	size_t kept = 0;

	for (size_t i = 0; i < headers->count; i++)
		if (header_name_equal(
			headers->list[i].name, str_from("connection")))
			connection_tokens = headers->list[i].value;
	for (size_t i = 0; i < headers->count; i++) {
		struct call_header header = headers->list[i];

		if (!header_is_hop_by_hop(header.name) &&
		    !header_list_has_token(connection_tokens, header.name))
			headers->list[kept++] = header;
	}
	headers->count = kept;
}
