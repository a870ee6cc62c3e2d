#ifndef TREFOILHILL_CONFIG_SNAPSHOT_NEW_H
#define TREFOILHILL_CONFIG_SNAPSHOT_NEW_H

#include "config/draft.h"
#include "config/snapshot.h"

/* For the modules that make snapshots or look into them. */
struct snapshot *snapshot_new(
    uint64_t version, uint64_t base, struct draft *content);
const struct draft *snapshot_content(const struct snapshot *snapshot);

#endif
