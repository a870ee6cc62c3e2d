#ifndef TREFOILHILL_FLEET_STORE_POSITION_H
#define TREFOILHILL_FLEET_STORE_POSITION_H

#include <stdint.h>

/*
 * A position in the history of the platform's store. Each restore of the store
 * from a backup starts a new era. It loses the latest changes, and their
 * revisions are given to other changes, so revisions order changes only within
 * one era.
 */
struct store_position {
	uint64_t era;
	uint64_t revision;
};

/* Negative if a is before b, 0 if they are equal, positive otherwise. */
int store_position_compare(struct store_position a, struct store_position b);

#endif
