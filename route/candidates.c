#include "route/candidates.h"

/*
 * Offer one upstream: each pair of those offered is equally likely to be the
 * one that is kept.
 */
void
candidates_offer(struct candidates *candidates,
    const struct candidate *candidate, struct rng *rng)
{
	uint64_t place = candidates->seen++;

	if (place >= 2)
		place = rng_below(rng, candidates->seen);
	else if (place == 1 && rng_below(rng, 2) == 0)
		candidates->drawn[place--] = candidates->drawn[0];
	if (place < 2)
		candidates->drawn[place] = *candidate;
}

/*
 * Return the less loaded of the two that were drawn. Which of two equals
 * comes first is as random as the draw.
 */
const struct candidate *
candidates_best(const struct candidates *candidates)
{
	const struct candidate *drawn = candidates->drawn;

	if (candidates->seen == 0)
		return NULL;
	if (candidates->seen == 1)
		return &drawn[0];
	return load_is_lower(drawn[1].load, drawn[0].load) ? &drawn[1]
							   : &drawn[0];
}
