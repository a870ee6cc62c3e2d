#ifndef TREFOILHILL_FLEET_DEPARTED_H
#define TREFOILHILL_FLEET_DEPARTED_H

#include "fleet/upstream.h"

/*
 * The upstreams that have left, with their last registrations. A registration
 * that is no newer than the last one of an upstream that has left, such as one
 * in a backup of the store or in the copy of a peer, doesn't bring it back.
 */
struct departed;

struct departed *departed_new(void);
void departed_free(struct departed *departed);
/* Remember an upstream; the oldest is dropped when there are too many. */
void departed_add(struct departed *departed, const struct upstream *upstream);
/* The same for an upstream that has announced that it leaves. */
void departed_add_leaving(
    struct departed *departed, const char *id, uint64_t started_ms);
/* Restore its notice and limit, if it is back with the same start. */
void departed_restore(
    const struct departed *departed, struct upstream *upstream);
/* Is the registration no newer than the one with which its upstream left? */
bool departed_covers(const struct departed *departed,
    const struct upstream_entry *entry, bool from_backup);

#endif
