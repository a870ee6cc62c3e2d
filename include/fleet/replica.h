#ifndef TREFOILHILL_FLEET_REPLICA_H
#define TREFOILHILL_FLEET_REPLICA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/*
 * A copy of the platform's items, kept up from the platform or from peers.
 * The platform counts all changes by one revision, so a copy is described by
 * the revision up to which it is whole, and the newer of two copies holds all
 * that the older one does. Pure state, without I/O.
 */
struct replica;

struct replica_item {
	char *key;
	GBytes *value;     /* NULL: deleted at this revision */
	GBytes *packed;    /* the value compressed; NULL: not needed so far */
	uint64_t revision; /* of its last change */
};

struct replica_ops {
	/* An item was set, or deleted when its value is NULL. */
	void (*handle_change)(void *arg, const struct replica_item *item);
	void *arg;
};

struct replica *replica_new(struct replica_ops ops);
void replica_free(struct replica *replica);
/* 0: nothing has been read yet. */
uint64_t replica_revision(const struct replica *replica);
/* One change. Older than what is known of the key: nothing happens. */
void replica_put(
    struct replica *replica, struct str key, GBytes *value, uint64_t revision);
/* The same, with an item whose compressed value is kept too. */
void replica_put_item(struct replica *replica, const struct replica_item *item);
/* All changes up to this revision have been put. */
void replica_advance(struct replica *replica, uint64_t revision);
/*
 * Take a whole copy: between begin and end every item is put; those that were
 * not are deleted.
 */
void replica_whole_begin(struct replica *replica);
void replica_whole_end(struct replica *replica, uint64_t revision);
/*
 * All that changed after a revision, deletions included, as borrowed items
 * by revision; the caller frees the array. NULL: the history does not reach
 * back so far and a whole copy is needed.
 */
GPtrArray *replica_since(struct replica *replica, uint64_t revision);
GPtrArray *replica_whole(struct replica *replica);

#endif
