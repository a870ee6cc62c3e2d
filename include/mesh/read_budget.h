#ifndef TREFOILHILL_MESH_READ_BUDGET_H
#define TREFOILHILL_MESH_READ_BUDGET_H

#include <stddef.h>
#include <stdint.h>

#include "common/rng.h"

enum {
	/* All draws of a fleet together; the platform bears 2,000. */
	READ_BUDGET_PER_S = 1000,
	/* Taken as the fleet's size while a node does not know it. */
	READ_BUDGET_FLEET_UNKNOWN = 16384,
	READ_BUDGET_WINDOW_MIN_MS = 200,
	/* Platform calls that a full raw read may take. */
	READ_BUDGET_RAW_READS = 16,
};

int64_t read_budget_window_ms(size_t fleet_size, size_t reads);
int64_t read_budget_draw_ms(struct rng *rng, size_t fleet_size, size_t reads);

#endif
