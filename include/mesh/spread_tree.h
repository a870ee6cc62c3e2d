#ifndef TREFOILHILL_MESH_SPREAD_TREE_H
#define TREFOILHILL_MESH_SPREAD_TREE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mesh/members.h"

enum {
	SPREAD_FANOUT_MAX = 16,
	SPREAD_TARGETS_MAX = 2 * SPREAD_FANOUT_MAX,
};

/*
 * Hosts to which this node sends a version next, in a tree over its zone that
 * differs for each version. include_roots adds the first hosts of the tree, for
 * a node that got the version from outside its zone.
 */
size_t spread_tree_targets(const struct members *members, uint64_t version,
    size_t fanout, bool include_roots, const struct record **out);

#endif
