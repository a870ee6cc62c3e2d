#include "harness.h"
#include "route/run_times.h"

enum {
	DEADLINE_MS = 3000,
	SPREAD_MS = 450, /* callers' first deadlines are so much shorter */
	RETRY_MS = 1200, /* after which a refused caller comes back */
	REQUESTS = 2000,
	STEP = 7919, /* walks through the spread */
};

static int64_t
first_deadline(int i)
{
	return DEADLINE_MS - (int64_t)i * STEP % SPREAD_MS;
}

/* Deadlines that differ by the callers' habits are no sign of a second try. */
static void
test_spread_of_deadlines_is_not_spent(void)
{
	struct run_times *times = run_times_new();
	int misjudged = 0;

	for (int i = 0; i < REQUESTS; i++)
		misjudged += run_times_spent_ms(times, "a", first_deadline(i)) >
		    SPREAD_MS / 4;
	CU_ASSERT_TRUE(misjudged < REQUESTS / 100);
	run_times_free(times);
}

static void
test_second_tries_are_seen(void)
{
	struct run_times *times = run_times_new();
	int64_t spent;

	for (int i = 0; i < REQUESTS; i++) {
		run_times_spent_ms(times, "a", first_deadline(i));
		if (i < REQUESTS / 2 || i % 20 != 0)
			continue;
		spent = run_times_spent_ms(
		    times, "a", first_deadline(i) - RETRY_MS);
		CU_ASSERT_TRUE(spent > RETRY_MS - SPREAD_MS);
		CU_ASSERT_TRUE(spent <= RETRY_MS + SPREAD_MS);
	}
	/* Routes have nothing to do with each other. */
	CU_ASSERT_EQUAL(run_times_spent_ms(times, "b", 100), 0);
	CU_ASSERT_EQUAL(run_times_spent_ms(times, "b", -1), 0);
	run_times_free(times);
}

static void
test_mean(void)
{
	struct run_times *times = run_times_new();

	CU_ASSERT_EQUAL(run_times_ms(times, "a", 77), 77);
	for (int i = 0; i < REQUESTS; i++)
		run_times_learn(times, "a", 100 + i % 2 * 100);
	CU_ASSERT_TRUE(run_times_ms(times, "a", 77) > 140);
	CU_ASSERT_TRUE(run_times_ms(times, "a", 77) < 160);
	run_times_free(times);
}

static const struct test_case cases[] = {
	{ "a spread of deadlines is not time spent",
	    test_spread_of_deadlines_is_not_spent },
	{ "second tries are seen", test_second_tries_are_seen },
	{ "mean", test_mean },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("run-times", cases);
}
