#ifndef TREFOILHILL_CONFIG_SNAPSHOT_PRIVATE_H
#define TREFOILHILL_CONFIG_SNAPSHOT_PRIVATE_H

#include "config/record_tables.h"
#include "config/snapshot.h"

/* For the modules that create snapshots or access their tables. */
struct snapshot *snapshot_new(
    uint64_t version, uint64_t base, struct record_tables *tables);
const struct record_tables *snapshot_tables(const struct snapshot *snapshot);

#endif
