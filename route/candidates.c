#include "route/candidates.h"

/*
 * Add one upstream to the sample. Every pair of added upstreams is equally
 * likely to be kept.
 */
void
candidates_add(struct candidates *candidates, const struct candidate *candidate,
    struct rng *rng)
{
	uint64_t slot = candidates->count++;

	if (slot >= 2)
		slot = rng_below(rng, candidates->count);
	else if (slot == 1 && rng_below(rng, 2) == 0)
		candidates->sample[slot--] = candidates->sample[0];
	if (slot < 2)
		candidates->sample[slot] = *candidate;
}

/*
 * Return the less loaded upstream of the sample. The order of the sample is
 * random, so a tie is broken at random.
 */
const struct candidate *
candidates_best(const struct candidates *candidates)
{
	const struct candidate *sample = candidates->sample;

	if (candidates->count == 0)
		return NULL;
	if (candidates->count == 1)
		return &sample[0];
	return load_is_lower(sample[1].load, sample[0].load) ? &sample[1]
							     : &sample[0];
}
