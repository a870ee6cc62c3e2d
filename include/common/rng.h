#ifndef TREFOILHILL_COMMON_RNG_H
#define TREFOILHILL_COMMON_RNG_H

#include <stdint.h>

struct rng;

struct rng_ops {
	uint64_t (*next)(struct rng *);
	void (*free)(struct rng *);
};

struct rng {
	const struct rng_ops *ops;
};

/* Not thread-safe: each thread or state machine owns its generator. */
struct rng *rng_seeded_new(uint64_t seed);
struct rng *rng_system_new(void);
uint64_t rng_next(struct rng *rng);
uint64_t rng_below(struct rng *rng, uint64_t bound);
/* A number from 0 to below 1. */
double rng_unit(struct rng *rng);
void rng_free(struct rng *rng);

#endif
