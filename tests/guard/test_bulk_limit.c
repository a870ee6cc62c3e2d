#include "guard/bulk_limit.h"
#include "harness.h"

/*
 * Responses of 90 KB that take 180 ms to run, over a link of 20 Mbit/s: 36 ms
 * each, so that six in 216 ms keep it busy, and 30% more are let through.
 */
static void
test_limit_keeps_the_link_busy(void)
{
	struct bulk_limit limit = { 0 };
	struct bulk_bounds bounds = { 0 };

	for (int i = 0; i < 300; i++)
		bounds = bulk_limit_record(&limit, 90000, 180, 20000);
	CU_ASSERT_EQUAL(bounds.transfer_ms, 35);
	CU_ASSERT_TRUE(bounds.concurrent >= 6 && bounds.concurrent <= 8);
}

static void
test_fast_link_needs_no_limit(void)
{
	struct bulk_limit limit = { 0 };
	struct bulk_bounds bounds =
	    bulk_limit_record(&limit, 90000, 180, 1000000);

	CU_ASSERT_EQUAL(bounds.concurrent, 0);
	CU_ASSERT_EQUAL(bounds.transfer_ms, 0);
}

static const struct test_case cases[] = {
	{ "the limit keeps the link busy", test_limit_keeps_the_link_busy },
	{ "a fast link needs no limit", test_fast_link_needs_no_limit },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("bulk limit", cases);
}
