#include <glib.h>
#include <sys/random.h>

#include "common/rng.h"

enum {
	HALF_WORD_BITS = 32,
	UNIT_BITS = 53, /* that a double holds exactly */
	UNIT_SHIFT = 64 - UNIT_BITS,
};

struct glib_rng {
	struct rng base;
	GRand *rand;
};

static uint64_t
glib_rng_next(struct rng *rng)
{
	GRand *rand = ((struct glib_rng *)rng)->rand;
	uint64_t high = g_rand_int(rand);

	return high << HALF_WORD_BITS | g_rand_int(rand);
}

static void
glib_rng_free(struct rng *rng)
{
	g_rand_free(((struct glib_rng *)rng)->rand);
	g_free(rng);
}

static const struct rng_ops glib_rng_ops = {
	.next = glib_rng_next,
	.free = glib_rng_free,
};

/*
 * Return a generator whose sequence depends only on the seed. The caller frees
 * it with rng_free.
 */
struct rng *
rng_seeded_new(uint64_t seed)
{
	struct glib_rng *rng = g_new0(struct glib_rng, 1);
	guint32 words[] = { (guint32)seed, (guint32)(seed >> HALF_WORD_BITS) };

	rng->base.ops = &glib_rng_ops;
	rng->rand = g_rand_new_with_seed_array(words, G_N_ELEMENTS(words));
	return &rng->base;
}

/*
 * Return a generator seeded by the operating system. The caller frees it with
 * rng_free.
 */
struct rng *
rng_system_new(void)
{
	uint64_t seed = (uint64_t)g_get_monotonic_time();

	if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed))
		g_debug("getrandom failed, seeding from the clock");
	return rng_seeded_new(seed);
}

/*
 * Return the next 64 random bits.
 */
uint64_t
rng_next(struct rng *rng)
{
	return rng->ops->next(rng);
}

/*
 * Return a random number from 0 to bound - 1; 0 when bound is 0.
 */
uint64_t
rng_below(struct rng *rng, uint64_t bound)
{
	return bound == 0 ? 0 : rng_next(rng) % bound;
}

/*
 * Return a random number from 0 to below 1.
 */
double
rng_unit(struct rng *rng)
{
	return (double)(rng_next(rng) >> UNIT_SHIFT) / (1ULL << UNIT_BITS);
}

/*
 * Free a generator. NULL is allowed.
 */
void
rng_free(struct rng *rng)
{
	if (rng != NULL)
		rng->ops->free(rng);
}
