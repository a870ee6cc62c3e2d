#include <string.h>

#include "config/field_reader.h"
#include "config/snapshot_private.h"

enum {
	KEY_BYTES_MAX = FIELD_AUTHORITY_MAX + FIELD_PREFIX_MAX + 2,
};

/*
 * Return the first route, by name, with exactly this authority and prefix.
 */
static const struct record *
find_exact(const struct table *routes, struct str authority, struct str prefix)
{
	char text[KEY_BYTES_MAX];
	struct str key = { .ptr = text };
	const struct entry *entry;

	memcpy(text, authority.ptr, authority.len);
	key.len = authority.len;
	text[key.len++] = '\n';
	memcpy(&text[key.len], prefix.ptr, prefix.len);
	key.len += prefix.len;
	text[key.len++] = '\n';
	entry = table_find_from(routes, key);
	if (entry == NULL || !str_has_prefix(entry->key, key))
		return NULL;
	return entry->record;
}

/*
 * Return the route of this authority with the longest prefix of the path. A
 * prefix matches whole segments: "/reels" matches "/reels" and "/reels/1" but
 * not "/reelsize"; "/reels/" matches only paths below it.
 */
static const struct record *
find_longest_prefix(
    const struct table *routes, struct str authority, struct str path)
{
	const struct record *route = NULL;
	size_t len = MIN(path.len, (size_t)FIELD_PREFIX_MAX + 1);

	for (; len > 0 && route == NULL; len--) {
		bool is_end = len == path.len || path.ptr[len] == '/';
		bool is_slash = path.ptr[len - 1] == '/';

		if (len <= FIELD_PREFIX_MAX && (is_end || is_slash))
			route = find_exact(
			    routes, authority, str_make(path.ptr, len));
	}
	if (route == NULL)
		route = find_exact(routes, authority, str_from(""));
	return route;
}

/*
 * Return the authority without its port, if it has one.
 */
static struct str
strip_port(struct str authority)
{
	for (size_t i = authority.len; i > 0; i--) {
		char c = authority.ptr[i - 1];

		if (c == ':')
			return str_make(authority.ptr, i - 1);
		if (!g_ascii_isdigit(c))
			break;
	}
	return authority;
}

/*
 * Return the path without its query.
 */
static struct str
strip_query(struct str path)
{
	const char *query =
	    path.len == 0 ? NULL : memchr(path.ptr, '?', path.len);

	return query == NULL ? path
			     : str_make(path.ptr, (size_t)(query - path.ptr));
}

/*
 * Return the route for a request, or NULL. A route for the request's exact
 * authority takes precedence over one for the authority without its port, and
 * both over one for any authority; among these the longest prefix wins, then
 * the lowest name. Authorities are compared case-insensitively.
 */
const struct record *
snapshot_match_route(
    const struct snapshot *snapshot, struct str authority, struct str path)
{
	const struct table *routes = snapshot_tables(snapshot)->routes;
	const struct record *route = NULL;
	char lower[FIELD_AUTHORITY_MAX];
	struct str portless;

	path = strip_query(path);
	if (authority.len > 0 && authority.len <= sizeof(lower)) {
		for (size_t i = 0; i < authority.len; i++)
			lower[i] = g_ascii_tolower(authority.ptr[i]);
		authority.ptr = lower;
		route = find_longest_prefix(routes, authority, path);
		portless = strip_port(authority);
		if (route == NULL && portless.len > 0 &&
		    portless.len < authority.len)
			route = find_longest_prefix(routes, portless, path);
	}
	return route == NULL ? find_longest_prefix(routes, str_from(""), path)
			     : route;
}
