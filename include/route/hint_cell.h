#ifndef TREFOILHILL_ROUTE_HINT_CELL_H
#define TREFOILHILL_ROUTE_HINT_CELL_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "guard/guard.h"

/* A consistent copy of one upstream's last hint. */
struct hint_view {
	struct guard_hint hint; /* incarnation 0: none yet */
	int64_t received_ms;    /* on the monotonic clock */
	uint32_t own_calls;     /* this entry's calls in flight at that time */
};

/*
 * One hint_view behind a sequence lock, for several writers and readers. The
 * sequence is odd during a write; a reader copies the fields and retries when
 * the sequence was odd or has changed. Each 64-bit field that holds two values
 * is named after its high and its low half.
 */
struct hint_cell {
	atomic_uint_fast32_t sequence;
	atomic_uint_fast64_t incarnation;
	atomic_uint_fast64_t tick;
	atomic_uint_fast64_t limit_in_flight;
	atomic_uint_fast64_t queued_latency;
	atomic_uint_fast64_t received_ms;
	atomic_uint_fast64_t accepting_own_calls;
};

void hint_cell_init(struct hint_cell *cell);
struct hint_view hint_cell_read(struct hint_cell *cell);
/* False: the cell holds a later hint of the same incarnation. */
bool hint_cell_write(struct hint_cell *cell, const struct hint_view *view);
/* Discard the hint, including the known incarnation. */
void hint_cell_clear(struct hint_cell *cell);

#endif
