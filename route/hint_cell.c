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
 * Initialize a cell without a hint.
 */
void
hint_cell_init(struct hint_cell *cell)
{
	atomic_init(&cell->sequence, 0);
	atomic_init(&cell->incarnation, 0);
	atomic_init(&cell->tick, 0);
	atomic_init(&cell->limit_in_flight, 0);
	atomic_init(&cell->queued_latency, 0);
	atomic_init(&cell->received_ms, 0);
	atomic_init(&cell->accepting_own_calls, 0);
}

static struct hint_view
load_fields(struct hint_cell *cell)
{
	uint64_t limit_in_flight =
	    atomic_load_explicit(&cell->limit_in_flight, memory_order_acquire);
	uint64_t queued_latency =
	    atomic_load_explicit(&cell->queued_latency, memory_order_acquire);
	uint64_t accepting_own_calls = atomic_load_explicit(
	    &cell->accepting_own_calls, memory_order_acquire);
	struct hint_view view = {
	    .hint =
		{
		    .incarnation = atomic_load_explicit(
			&cell->incarnation, memory_order_acquire),
		    .tick = atomic_load_explicit(
			&cell->tick, memory_order_acquire),
		    .limit = high_half(limit_in_flight),
		    .in_flight = (uint32_t)limit_in_flight,
		    .queued = high_half(queued_latency),
		    .latency_us = (uint32_t)queued_latency,
		    .accepting = high_half(accepting_own_calls) != 0,
		},
	    .received_ms = (int64_t)atomic_load_explicit(
		&cell->received_ms, memory_order_acquire),
	    .own_calls = (uint32_t)accepting_own_calls,
	};

	return view;
}

/*
 * Return a consistent copy of the view. The fields are loaded with acquire
 * order, so the second load of the sequence cannot be reordered before them.
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
	uint_fast32_t sequence =
	    atomic_load_explicit(&cell->sequence, memory_order_relaxed);

	for (;;) {
		sequence -= sequence % 2;
		if (atomic_compare_exchange_weak_explicit(&cell->sequence,
			&sequence, sequence + 1, memory_order_acq_rel,
			memory_order_relaxed))
			return sequence;
		sched_yield();
	}
}

static void
end_write(struct hint_cell *cell, uint_fast32_t sequence)
{
	atomic_store_explicit(
	    &cell->sequence, sequence + 2, memory_order_release);
}

static void
store_fields(struct hint_cell *cell, const struct hint_view *view)
{
	const struct guard_hint *hint = &view->hint;

	atomic_store_explicit(
	    &cell->incarnation, hint->incarnation, memory_order_release);
	atomic_store_explicit(&cell->tick, hint->tick, memory_order_release);
	atomic_store_explicit(&cell->limit_in_flight,
	    pack(hint->limit, hint->in_flight), memory_order_release);
	atomic_store_explicit(&cell->queued_latency,
	    pack(hint->queued, hint->latency_us), memory_order_release);
	atomic_store_explicit(&cell->received_ms, (uint64_t)view->received_ms,
	    memory_order_release);
	atomic_store_explicit(&cell->accepting_own_calls,
	    pack(hint->accepting ? 1 : 0, view->own_calls),
	    memory_order_release);
}

/*
 * Replace the view, unless the cell holds a later hint of the same
 * incarnation: responses can arrive out of order.
 */
bool
hint_cell_write(struct hint_cell *cell, const struct hint_view *view)
{
	uint_fast32_t sequence = begin_write(cell);
	struct hint_view current = load_fields(cell);
	bool accepted = current.hint.incarnation != view->hint.incarnation ||
	    current.hint.tick <= view->hint.tick;

	if (accepted)
		store_fields(cell, view);
	end_write(cell, sequence);
	return accepted;
}

/*
 * Discard the hint after the node was lost: its next hint may come from a new
 * incarnation.
 */
void
hint_cell_clear(struct hint_cell *cell)
{
	uint_fast32_t sequence = begin_write(cell);
	struct hint_view empty = { .own_calls = 0 };

	store_fields(cell, &empty);
	end_write(cell, sequence);
}
