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
 * Hosts to which a node sends a version next, in a tree over its zone that
 * is another one for each version. roots: also the tree's first hosts, for
 * a node that has the version from outside of its zone.
 */
size_t spread_tree_targets(const struct members *members, uint64_t version,
    size_t fanout, bool include_roots, const struct record **out);

#endif
