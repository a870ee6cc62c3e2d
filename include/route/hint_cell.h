#ifndef TREFOILHILL_ROUTE_HINT_CELL_H
#define TREFOILHILL_ROUTE_HINT_CELL_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "guard/guard.h"

/* One upstream's last hint and when it came, as a reader sees them. */
struct hint_view {
	struct guard_hint hint; /* incarnation 0: none yet */
	int64_t learned_ms;     /* on the monotonic clock */
	uint32_t own;           /* own calls in flight when it came */
};

/*
 * Holds one view for several writers and readers: a sequence lock. It is odd
 * while a writer is at work; a reader takes a copy and looks again.
 */
struct hint_cell {
	atomic_uint_fast32_t sequence;
	atomic_uint_fast64_t incarnation;
	atomic_uint_fast64_t tick;
	atomic_uint_fast64_t load;  /* limit and calls in flight */
	atomic_uint_fast64_t queue; /* calls queued and latency */
	atomic_uint_fast64_t learned_ms;
	atomic_uint_fast64_t own; /* own calls, and whether it accepts */
};

void hint_cell_init(struct hint_cell *cell);
struct hint_view hint_cell_read(struct hint_cell *cell);
/* False: the cell holds a later word of the same incarnation. */
bool hint_cell_write(struct hint_cell *cell, const struct hint_view *view);
/* Forget which incarnation it was. */
void hint_cell_clear(struct hint_cell *cell);

#endif
