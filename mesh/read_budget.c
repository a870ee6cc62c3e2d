#include <glib.h>

#include "mesh/read_budget.h"

enum {
	MS_PER_S = 1000,
	/* Part of the window by which later reads move either way. */
	JITTER_DIVISOR = 8,
};

/*
 * Return the time in milliseconds over which a fleet of that size (0:
 * unknown) spreads one draw of each node, a draw costing that many reads, so
 * that all together stay within READ_BUDGET_PER_S.
 */
int64_t
read_budget_window_ms(size_t fleet_size, size_t reads)
{
	size_t fleet =
	    fleet_size == 0 ? READ_BUDGET_DEFAULT_FLEET_SIZE : fleet_size;
	int64_t window =
	    (int64_t)(fleet * reads * MS_PER_S / READ_BUDGET_PER_S);

	return MAX(window, READ_BUDGET_WINDOW_MIN_MS);
}

/*
 * Draw the time in milliseconds until one node's first read: uniform over
 * the window, so that nodes that begin together spread over it.
 */
int64_t
read_budget_first_ms(struct rng *rng, size_t fleet_size, size_t reads)
{
	int64_t window = read_budget_window_ms(fleet_size, reads);

	return (int64_t)rng_below(rng, (uint64_t)window);
}

/*
 * Draw the time in milliseconds until one node's next read, after it has
 * read: a window, give or take an eighth. The first reads are spread evenly,
 * and so are the later ones.
 */
int64_t
read_budget_next_ms(struct rng *rng, size_t fleet_size, size_t reads)
{
	int64_t window = read_budget_window_ms(fleet_size, reads);

	return window - window / JITTER_DIVISOR +
	    (int64_t)rng_below(rng, (uint64_t)(2 * window / JITTER_DIVISOR));
}
