#ifndef TREFOILHILL_BENCH_SHARED_STATES_H
#define TREFOILHILL_BENCH_SHARED_STATES_H

#include "config/snapshot.h"

/*
 * Many nodes in one process that hold one and the same snapshot object of a
 * version. The linker puts these in the place of the functions that make
 * snapshots: as they are pure, each is worked out once for all nodes. Only
 * for logs that are read from their first publication on.
 */
void shared_states_clear(void);

#endif
