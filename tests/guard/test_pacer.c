#include <glib.h>

#include "common/rng.h"
#include "guard/pacer.h"
#include "harness.h"

enum {
	BURST_US = 500 * 1000,
	WINDOW_MS = 4000,
	END_MS = 60000,
	STARTS_MAX = 100000,
};

/* Start whenever the pacer allows it; returns how many starts there were. */
static size_t
start_greedily(
    struct pacer *pacer, struct rng *rng, int64_t *starts, int64_t end_ms)
{
	size_t count = 0;

	for (int64_t now_ms = 0; now_ms < end_ms;) {
		if (pacer_next_ms(pacer) <= now_ms && count < STARTS_MAX) {
			pacer_record_start(pacer, now_ms);
			starts[count++] = now_ms;
			continue;
		}
		now_ms += 1 + (int64_t)rng_below(rng, 30);
		/* A pause, which earns a burst. */
		if (rng_below(rng, 500) == 0)
			now_ms += 3000;
	}
	return count;
}

static size_t
most_in_window(const int64_t *starts, size_t count)
{
	size_t most = 0, first = 0;

	for (size_t i = 0; i < count; i++) {
		while (starts[i] - starts[first] >= WINDOW_MS)
			first++;
		most = MAX(most, i - first + 1);
	}
	return most;
}

/*
 * In no four seconds are there more starts than the rate allows in these and
 * the half second of a burst; and a pacer that isn't idle makes use of the
 * rate.
 */
static void
test_rate_holds_in_every_window(void)
{
	static const uint32_t rates[] = { 500, 900, 1000, 2000, 14800, 200000 };
	int64_t *starts = g_new(int64_t, STARTS_MAX);

	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		struct rng *rng = rng_seeded_new(i);
		struct pacer pacer = { .burst_us = BURST_US };
		double per_s = rates[i] / 1000.0;
		size_t count;

		pacer_set_rate(&pacer, rates[i], 0);
		count = start_greedily(&pacer, rng, starts, END_MS);
		CU_ASSERT_TRUE(
		    most_in_window(starts, count) <= per_s * 4.5 + 1);
		CU_ASSERT_TRUE(count >= per_s * END_MS / 1000 / 2);
		rng_free(rng);
	}
	g_free(starts);
}

/* A rate of 0 still lets a request through now and then. */
static void
test_zero_rate_is_raised(void)
{
	struct pacer pacer = { .burst_us = BURST_US };

	pacer_set_rate(&pacer, 1, 0);
	CU_ASSERT_TRUE(pacer_next_ms(&pacer) <= 0);
	pacer_record_start(&pacer, 0);
	CU_ASSERT_EQUAL(pacer_next_ms(&pacer), 2000);
	CU_ASSERT_EQUAL(pacer_wait_ms(&pacer, 2, 500), 5500);
}

static void
test_no_rate(void)
{
	struct pacer pacer = { .burst_us = BURST_US };

	pacer_record_start(&pacer, 100);
	CU_ASSERT_TRUE(pacer_next_ms(&pacer) <= 100);
	CU_ASSERT_EQUAL(pacer_wait_ms(&pacer, 9, 100), 0);
	pacer_set_rate(&pacer, 1000, 100);
	pacer_record_start(&pacer, 100);
	CU_ASSERT_TRUE(pacer_next_ms(&pacer) > 100);
	pacer_set_rate(&pacer, 0, 100);
	CU_ASSERT_TRUE(pacer_next_ms(&pacer) <= 100);
}

/* Starts that waited for a low rate don't wait longer than a higher one asks.
 */
static void
test_higher_rate_shortens_the_wait(void)
{
	struct pacer pacer = { .burst_us = BURST_US };

	pacer_set_rate(&pacer, 500, 0);
	pacer_record_start(&pacer, 0);
	pacer_set_rate(&pacer, 10000, 10);
	CU_ASSERT_TRUE(pacer_next_ms(&pacer) <= 110);
}

static const struct test_case cases[] = {
	{ "the rate holds in every window", test_rate_holds_in_every_window },
	{ "a rate of zero is raised", test_zero_rate_is_raised },
	{ "without a rate", test_no_rate },
	{ "a higher rate shortens the wait",
	    test_higher_rate_shortens_the_wait },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("pacer", cases);
}
