#ifndef TREFOILHILL_BENCH_SNAPSHOT_CACHE_H
#define TREFOILHILL_BENCH_SNAPSHOT_CACHE_H

#include "config/snapshot.h"

/*
 * Lets many nodes in one process share one snapshot object per version. The
 * linker (--wrap) replaces the functions that create snapshots by cached ones;
 * as they are pure, each result is computed once for all nodes. Supports only
 * logs that are read from their first publication.
 */
void snapshot_cache_clear(void);

#endif
