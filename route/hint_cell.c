#include <sched.h>

#include "route/hint_cell.h"

enum {
	HALF_WORD_BITS = 32,
};

static uint64_t
pack(uint32_t high, uint32_t low)
{
	return (uint64_t)high << HALF_WORD_BITS | low;
}

static uint32_t
high_half(uint64_t word)
{
	return (uint32_t)(word >> HALF_WORD_BITS);
}

/*
 * Set up a cell without a hint.
 */
void
hint_cell_init(struct hint_cell *cell)
{
	atomic_init(&cell->sequence, 0);
	atomic_init(&cell->incarnation, 0);
	atomic_init(&cell->tick, 0);
	atomic_init(&cell->load, 0);
	atomic_init(&cell->queue, 0);
	atomic_init(&cell->learned_ms, 0);
	atomic_init(&cell->own, 0);
}

static struct hint_view
load_fields(struct hint_cell *cell)
{
	uint64_t load = atomic_load_explicit(&cell->load, memory_order_acquire);
	uint64_t queue =
	    atomic_load_explicit(&cell->queue, memory_order_acquire);
	uint64_t own = atomic_load_explicit(&cell->own, memory_order_acquire);
	struct hint_view view = {
	    .hint =
		{
		    .incarnation = atomic_load_explicit(
			&cell->incarnation, memory_order_acquire),
		    .tick = atomic_load_explicit(
			&cell->tick, memory_order_acquire),
		    .limit = high_half(load),
		    .in_flight = (uint32_t)load,
		    .queued = high_half(queue),
		    .latency_us = (uint32_t)queue,
		    .accepting = high_half(own) != 0,
		},
	    .learned_ms = (int64_t)atomic_load_explicit(
		&cell->learned_ms, memory_order_acquire),
	    .own = (uint32_t)own,
	};

	return view;
}

/*
 * Copy the view. The fields are loaded with acquire order, so the second look
 * at the sequence cannot come before them.
 */
struct hint_view
hint_cell_read(struct hint_cell *cell)
{
	struct hint_view view;
	uint_fast32_t before, after;

	for (;;) {
		before =
		    atomic_load_explicit(&cell->sequence, memory_order_acquire);
		view = load_fields(cell);
		after =
		    atomic_load_explicit(&cell->sequence, memory_order_relaxed);
		if (before == after && before % 2 == 0)
			return view;
		sched_yield();
	}
}

static uint_fast32_t
begin_write(struct hint_cell *cell)
{
	uint_fast32_t even =
	    atomic_load_explicit(&cell->sequence, memory_order_relaxed);

	for (;;) {
		even -= even % 2;
		if (atomic_compare_exchange_weak_explicit(&cell->sequence,
			&even, even + 1, memory_order_acq_rel,
			memory_order_relaxed))
			return even;
		sched_yield();
	}
}

static void
end_write(struct hint_cell *cell, uint_fast32_t even)
{
	atomic_store_explicit(&cell->sequence, even + 2, memory_order_release);
}

static void
store_fields(struct hint_cell *cell, const struct hint_view *view)
{
	const struct guard_hint *hint = &view->hint;

	atomic_store_explicit(
	    &cell->incarnation, hint->incarnation, memory_order_release);
	atomic_store_explicit(&cell->tick, hint->tick, memory_order_release);
	atomic_store_explicit(&cell->load, pack(hint->limit, hint->in_flight),
	    memory_order_release);
	atomic_store_explicit(&cell->queue,
	    pack(hint->queued, hint->latency_us), memory_order_release);
	atomic_store_explicit(&cell->learned_ms, (uint64_t)view->learned_ms,
	    memory_order_release);
	atomic_store_explicit(&cell->own,
	    pack(hint->accepting ? 1 : 0, view->own), memory_order_release);
}

/*
 * Put a view in place of the one before, unless that is a later word of the
 * same incarnation: answers cross on their way.
 */
bool
hint_cell_write(struct hint_cell *cell, const struct hint_view *view)
{
	uint_fast32_t even = begin_write(cell);
	struct hint_view held = load_fields(cell);
	bool newer = held.hint.incarnation != view->hint.incarnation ||
	    held.hint.tick <= view->hint.tick;

	if (newer)
		store_fields(cell, view);
	end_write(cell, even);
	return newer;
}

/*
 * Go back to knowing nothing, after the peer was lost: what it says next may
 * come from a new incarnation.
 */
void
hint_cell_clear(struct hint_cell *cell)
{
	uint_fast32_t even = begin_write(cell);
	struct hint_view none = { .own = 0 };

	store_fields(cell, &none);
	end_write(cell, even);
}
