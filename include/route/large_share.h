#ifndef TREFOILHILL_ROUTE_LARGE_SHARE_H
#define TREFOILHILL_ROUTE_LARGE_SHARE_H

#include <stdbool.h>

/*
 * The share of a route's recent responses that were too large to buffer. Load
 * pattern: callers that pipeline requests behind those for large responses. One
 * that breaks off while it is sent ends the connection, and with it what is
 * behind it.
 */
struct large_share;

struct large_share *large_share_new(void);
void large_share_free(struct large_share *share);
/* Record a response of a route. */
void large_share_add(
    struct large_share *share, const char *route, bool is_large);
/* Is the next response of a route likely enough to be large? */
bool large_share_expects_large(
    const struct large_share *share, const char *route);

#endif
