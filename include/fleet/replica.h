#ifndef TREFOILHILL_FLEET_REPLICA_H
#define TREFOILHILL_FLEET_REPLICA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "fleet/store_position.h"

/*
 * A copy of the platform's items, updated from the platform or from peers. The
 * platform numbers all changes with one revision counter for each era, so the
 * state of a replica is given by the position up to which it is complete, and
 * the newer of two replicas of one era includes every change of the older one.
 * A new era is entered with a snapshot. Does no I/O.
 */
struct replica;

struct replica_item {
	char *key;
	GBytes *value;      /* NULL: deleted at this revision */
	GBytes *compressed; /* cached compressed value, or NULL */
	uint64_t revision;  /* of the last change */
};

struct replica_ops {
	/*
	 * An item was set, or deleted when its value is NULL. from_backup: by
	 * the snapshot with which an era was entered, so that the item may be
	 * older than the one known before.
	 */
	void (*handle_change)(
	    void *arg, const struct replica_item *item, bool from_backup);
	void *arg;
};

struct replica *replica_new(struct replica_ops ops);
void replica_free(struct replica *replica);
/* Revision up to which the replica is complete; 0 before the first read. */
uint64_t replica_revision(const struct replica *replica);
/* The same with its era. */
struct store_position replica_position(const struct replica *replica);
/* Deletions of items that were created and deleted while it was behind. */
uint64_t replica_unseen_deletions(const struct replica *replica);
/* Apply one change; ignored if the key's known revision is not older. */
void replica_put(
    struct replica *replica, struct str key, GBytes *value, uint64_t revision);
/* As replica_put, but keeps the item's compressed value too. */
void replica_put_item(struct replica *replica, const struct replica_item *item);
/* Record that all changes up to this revision have been put. */
void replica_advance(struct replica *replica, uint64_t revision);
/*
 * Load a full snapshot of a position: put every item between begin and end.
 * Items that are not put are deleted at the end. A later era than the replica's
 * is entered; an earlier one must not be passed. One that is older than the
 * replica brings back nothing that was deleted since.
 */
void replica_snapshot_begin(
    struct replica *replica, struct store_position position);
void replica_snapshot_end(struct replica *replica);
/*
 * Return the changes after a revision, deletions included, as an array of
 * borrowed items in revision order that the calling code frees. NULL if the
 * deletion history does not reach back that far; a full snapshot is then
 * needed.
 */
GPtrArray *replica_changes_since(struct replica *replica, uint64_t revision);
/* Return all items in revision order, in an array as above. */
GPtrArray *replica_snapshot(struct replica *replica);

#endif
