#include "account/trim_policy.h"
#include "harness.h"

enum {
	MB = 1 << 20,
	TICK_MS = 100,
	HOUR_MS = 3600 * 1000,
	CROWDS_END_MS = 2 * HOUR_MS,
	CROWD_INTERVAL_MS = 10 * 1000,
};

/* Check with a peak that has lasted until now. */
static bool
check(struct trim_policy *policy, uint64_t used, int64_t now_ms)
{
	return trim_policy_check(policy, used, used, now_ms);
}

/* A load that changes by little never costs a trim. */
static void
test_calm(void)
{
	struct trim_policy policy = { 0 };
	size_t trims = 0;

	for (int64_t now_ms = 0; now_ms < HOUR_MS; now_ms += TICK_MS)
		trims += check(
		    &policy, (uint64_t)(now_ms / TICK_MS % 3) * MB, now_ms);
	CU_ASSERT_EQUAL(trims, 0);
}

/* A crowd comes and leaves, and then another. */
static void
test_crowds(void)
{
	struct trim_policy policy = { 0 };

	for (int64_t now_ms = HOUR_MS; now_ms < CROWDS_END_MS;
	     now_ms += CROWD_INTERVAL_MS) {
		CU_ASSERT_FALSE(check(&policy, (uint64_t)50 * MB, now_ms));
		CU_ASSERT_TRUE(check(&policy, MB, now_ms + 3000));
		CU_ASSERT_FALSE(check(&policy, MB, now_ms + 6000));
	}
}

/* One that leaves slowly costs few trims, and is given back to its end. */
static void
test_slow_leave(void)
{
	struct trim_policy policy = { 0 };
	size_t trims = 0;

	for (int64_t ms = 0; ms <= 10000; ms += TICK_MS)
		trims += check(&policy,
		    (uint64_t)(10000 - ms) * 100 * MB / 10000, HOUR_MS + ms);
	CU_ASSERT_TRUE(trims >= 1 && trims <= 6);
	CU_ASSERT_TRUE(policy.peak < (uint64_t)24 * MB);
}

/* A peak between two checks, of connections that were closed for it. */
static void
test_short_peak(void)
{
	struct trim_policy policy = { 0 };

	CU_ASSERT_FALSE(check(&policy, MB, HOUR_MS));
	CU_ASSERT_TRUE(trim_policy_check(
	    &policy, MB, (uint64_t)20 * MB, HOUR_MS + TICK_MS));
	CU_ASSERT_FALSE(check(&policy, MB, HOUR_MS + 10000));
}

static const struct test_case cases[] = {
	{ "a calm load costs nothing", test_calm },
	{ "after each crowd", test_crowds },
	{ "a crowd that leaves slowly", test_slow_leave },
	{ "a peak between two checks", test_short_peak },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("trim policy", cases);
}
