#ifndef TREFOILHILL_FLEET_COPY_LAG_H
#define TREFOILHILL_FLEET_COPY_LAG_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/store_position.h"

/*
 * For how long a copy of the store has lacked what others have told of: the
 * time since the first word of a later position until the copy reaches it.
 * Pure; times are milliseconds of a monotonic clock.
 */
struct copy_lag {
	struct store_position heard; /* the latest position, of any peer */
	int64_t heard_ms;            /* first word of that */
	int64_t since_ms; /* first word of it or of one before; 0: none */
	bool reported;    /* the caller was told that it is behind */
};

/*
 * Record a peer's position, and the copy's own. True once the copy has been
 * behind for long enough to tell the operator, until it has caught up.
 */
bool copy_lag_heard(struct copy_lag *lag, struct store_position heard,
    struct store_position own, int64_t now_ms);
/*
 * Record the copy's own position. Returns for how long it was behind if it has
 * caught up and the caller was told that it is behind; else -1.
 */
int64_t copy_lag_reached(
    struct copy_lag *lag, struct store_position own, int64_t now_ms);
/*
 * Record the store's own word, to a read that began at began_ms. True if what a
 * peer told of before that isn't known to the store: it is forgotten.
 */
bool copy_lag_disproved(
    struct copy_lag *lag, struct store_position stored, int64_t began_ms);
/* For how long the copy has been behind; 0: it isn't. */
int64_t copy_lag_ms(const struct copy_lag *lag, int64_t now_ms);

#endif
