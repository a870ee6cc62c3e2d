#ifndef TREFOILHILL_MESH_READ_BUDGET_H
#define TREFOILHILL_MESH_READ_BUDGET_H

#include <stddef.h>
#include <stdint.h>

#include "common/rng.h"

enum {
	/*
	 * Draws of a whole fleet; the platform bears 2,000 reads. Raw reads
	 * are drawn beside the others, so both together take twice this.
	 */
	READ_BUDGET_PER_S = 700,
	/* Taken as the fleet's size while a node does not know it. */
	READ_BUDGET_DEFAULT_FLEET_SIZE = 16384,
	READ_BUDGET_WINDOW_MIN_MS = 200,
	/* Platform calls that a full raw read may take. */
	READ_BUDGET_RAW_READ_COST = 16,
};

int64_t read_budget_window_ms(size_t fleet_size, size_t reads);
/* Wait before the first read, uniform over the window. */
int64_t read_budget_first_ms(struct rng *rng, size_t fleet_size, size_t reads);
/* Wait before each later one, about a window. */
int64_t read_budget_next_ms(struct rng *rng, size_t fleet_size, size_t reads);

#endif
