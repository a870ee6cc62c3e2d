#include <glib.h>

#include "route/large_share.h"

enum {
	SCALE = 1024,
	WEIGHT = 16, /* of a new response in the share: 1/16 */
	/*
	 * A single large response of a route doesn't make those behind the
	 * next ones wait; three in a row do.
	 */
	EXPECTED_SHARE = SCALE / 8,
	ROUTES_MAX = 8192, /* forgotten all at once above it */
};

struct large_share {
	GHashTable *routes; /* name to its share, in units of 1 / SCALE */
};

/*
 * Return the shares of routes that have had no response yet.
 */
struct large_share *
large_share_new(void)
{
	struct large_share *share = g_new0(struct large_share, 1);

	share->routes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return share;
}

/*
 * Free shares. NULL is allowed.
 */
void
large_share_free(struct large_share *share)
{
	if (share == NULL)
		return;
	g_hash_table_destroy(share->routes);
	g_free(share);
}

static unsigned
share_of(const struct large_share *share, const char *route)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(share->routes, route));
}

/*
 * Record whether a response of a route was large. Routes without large ones
 * take no memory.
 */
void
large_share_add(struct large_share *share, const char *route, bool is_large)
{
	unsigned old = share_of(share, route);
	unsigned updated = old - old / WEIGHT + (is_large ? SCALE / WEIGHT : 0);

	if (updated == old)
		return;
	/* The rest of a division by WEIGHT would stay for ever. */
	if (updated < WEIGHT) {
		g_hash_table_remove(share->routes, route);
		return;
	}
	if (g_hash_table_size(share->routes) >= ROUTES_MAX)
		g_hash_table_remove_all(share->routes);
	g_hash_table_replace(
	    share->routes, g_strdup(route), GUINT_TO_POINTER(updated));
}

/*
 * Tell whether large responses of a route are frequent.
 */
bool
large_share_expects_large(const struct large_share *share, const char *route)
{
	return share_of(share, route) >= EXPECTED_SHARE;
}
