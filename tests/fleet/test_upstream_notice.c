#include "fleet/upstream_notice.h"
#include "harness.h"

static void
test_limit_holds_while_it_is_named(void)
{
	struct upstream_notice known = { 0 }, latest = { 0 };

	CU_ASSERT_FALSE(upstream_notice_update(&known, &latest));
	latest.has_rate_limit = true;
	latest.rate_limit_per_ks = 1500;
	CU_ASSERT_TRUE(upstream_notice_update(&known, &latest));
	CU_ASSERT_FALSE(upstream_notice_update(&known, &latest));
	CU_ASSERT_EQUAL(known.rate_limit_per_ks, 1500);
	latest = (struct upstream_notice){ 0 };
	CU_ASSERT_TRUE(upstream_notice_update(&known, &latest));
	CU_ASSERT_FALSE(known.has_rate_limit);
}

static void
test_unreadable_limit_keeps_the_last(void)
{
	struct upstream_notice known = { .has_rate_limit = true,
		.rate_limit_per_ks = 1500 };
	struct upstream_notice latest = { .rate_limit_invalid = true };

	CU_ASSERT_TRUE(upstream_notice_update(&known, &latest));
	CU_ASSERT_FALSE(upstream_notice_update(&known, &latest));
	CU_ASSERT_TRUE(known.has_rate_limit);
	CU_ASSERT_EQUAL(known.rate_limit_per_ks, 1500);
}

static void
test_leaving_is_final(void)
{
	struct upstream_notice known = { 0 };
	struct upstream_notice latest = { .leaving = true };

	CU_ASSERT_TRUE(upstream_notice_update(&known, &latest));
	latest.leaving = false;
	CU_ASSERT_FALSE(upstream_notice_update(&known, &latest));
	CU_ASSERT_TRUE(known.leaving);
}

static const struct test_case cases[] = {
	{ "a limit holds while it is named",
	    test_limit_holds_while_it_is_named },
	{ "an unreadable limit keeps the last one",
	    test_unreadable_limit_keeps_the_last },
	{ "leaving is final", test_leaving_is_final },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("upstream notice", cases);
}
