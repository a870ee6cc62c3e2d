#include "harness.h"
#include "route/return_time.h"

enum {
	CALLERS = 2000,
	RETRIES = 2, /* of a caller */
	RUN_MS = 300,
	OBJECTIVE_MS = 500,
	DEADLINE_MS = 5000,
	REJECT_PERCENT = 50,
	REJECTION_MS = 5, /* until a caller has it */
	/* Of the overload. */
	CAPACITY_PER_S = 100,
	TURNED_AWAY = 200,
	BUCKET_MS = 100,
};

/*
 * Upstreams reject half of the requests although they have room. A caller that
 * returns twice is served in time unless it is rejected three times.
 */
static void
test_upstreams_that_reject_with_room(void)
{
	struct rng *rng = rng_seeded_new(3);
	int in_time = 0;

	for (int i = 0; i < CALLERS; i++) {
		int64_t spent_ms = 0;
		int attempt = 0;

		while (attempt <= RETRIES &&
		    rng_below(rng, 100) < REJECT_PERCENT) {
			struct return_situation situation = {
				.rejected_with_room = true,
				.remaining_ms = DEADLINE_MS - spent_ms,
			};

			spent_ms +=
			    REJECTION_MS + return_time_ms(&situation, rng);
			attempt++;
		}
		in_time +=
		    attempt <= RETRIES && spent_ms + RUN_MS <= OBJECTIVE_MS;
	}
	/* 7 of 8, less what chance explains. */
	CU_ASSERT_TRUE(in_time > CALLERS * 85 / 100);
	rng_free(rng);
}

/*
 * 200 callers are turned away in the same moment by a service that would need
 * 2 s for them. None returns before there is room for one, and never so many
 * together that the service is overloaded threefold again.
 */
static void
test_overload_is_not_repeated(void)
{
	struct rng *rng = rng_seeded_new(3);
	struct return_situation situation = {
		.expected_wait_ms = TURNED_AWAY * 1000 / CAPACITY_PER_S / 2,
		.remaining_ms = 10000,
	};
	int returning[100] = { 0 };

	for (int i = 0; i < TURNED_AWAY; i++) {
		int64_t ms = return_time_ms(&situation, rng);

		CU_ASSERT_TRUE_FATAL(ms >= situation.expected_wait_ms);
		returning[ms / BUCKET_MS]++;
	}
	for (int i = 0; i < 100; i++)
		CU_ASSERT_TRUE(
		    returning[i] <= 3 * CAPACITY_PER_S * BUCKET_MS / 1000);
	rng_free(rng);
}

static void
test_time_is_what_callers_honour(void)
{
	struct rng *rng = rng_seeded_new(3);
	struct return_situation situation = { .remaining_ms = 90 };

	for (int i = 0; i < CALLERS; i++)
		CU_ASSERT_TRUE(return_time_ms(&situation, rng) <= 30);
	situation.remaining_ms = -5;
	CU_ASSERT_EQUAL(return_time_ms(&situation, rng), 1);
	rng_free(rng);
}

static const struct test_case cases[] = {
	{ "upstreams that reject with room",
	    test_upstreams_that_reject_with_room },
	{ "an overload is not repeated", test_overload_is_not_repeated },
	{ "the time is what callers honour", test_time_is_what_callers_honour },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("return time", cases);
}
