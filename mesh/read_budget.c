#include <glib.h>

#include "mesh/read_budget.h"

enum {
	MS_PER_S = 1000,
	/*
	 * Later reads vary by this fraction of the window in either direction.
	 */
	JITTER_DIVISOR = 8,
};

/*
 * Return the window in milliseconds over which a fleet of that size (0:
 * unknown) spreads one round of requests, with that many reads per node, so
 * that the total stays within READ_BUDGET_PER_S.
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
 * Return the random delay in milliseconds before a node's first read: uniform
 * over the window, so that nodes that start together spread over it.
 */
int64_t
read_budget_first_ms(struct rng *rng, size_t fleet_size, size_t reads)
{
	int64_t window = read_budget_window_ms(fleet_size, reads);

	return (int64_t)rng_below(rng, (uint64_t)window);
}

/*
 * Return the random delay in milliseconds between two reads of a node: the
 * window plus or minus an eighth. First reads are spread evenly over the
 * window, so later ones are too.
 */
int64_t
read_budget_next_ms(struct rng *rng, size_t fleet_size, size_t reads)
{
	int64_t window = read_budget_window_ms(fleet_size, reads);

	return window - window / JITTER_DIVISOR +
	    (int64_t)rng_below(rng, (uint64_t)(2 * window / JITTER_DIVISOR));
}
