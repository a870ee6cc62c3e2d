#ifndef TREFOILHILL_MESH_READ_BUDGET_H
#define TREFOILHILL_MESH_READ_BUDGET_H

#include <stddef.h>
#include <stdint.h>

#include "common/rng.h"

enum {
	/*
	 * Reads of the whole fleet in a second; the platform sustains 2,000.
	 * Raw reads have a budget of this size of their own, so the total may
	 * reach twice this number.
	 */
	READ_BUDGET_PER_S = 700,
	/* Fleet size assumed while it is unknown. */
	READ_BUDGET_DEFAULT_FLEET_SIZE = 16384,
	READ_BUDGET_WINDOW_MIN_MS = 200,
	/* Platform requests that a full raw read may take. */
	READ_BUDGET_RAW_READ_COST = 16,
};

int64_t read_budget_window_ms(size_t fleet_size, size_t reads);
/* Delay before the first read, uniform over the window. */
int64_t read_budget_first_ms(struct rng *rng, size_t fleet_size, size_t reads);
/* Delay before each later read, about one window. */
int64_t read_budget_next_ms(struct rng *rng, size_t fleet_size, size_t reads);

#endif
