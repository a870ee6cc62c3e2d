#include "guard/run_list.h"
#include "harness.h"

/*
 * A repeated run with 500 ms left, and runs of first attempts with 100 ms and
 * 2,000 ms left. A call expires no later than its run.
 */
static void
test_calls_belong_to_runs_that_outlast_them(void)
{
	struct run_list list = { 0 };
	struct run ending = { 0 }, repeated = { 0 }, first = { 0 };
	struct run_counts counts;

	run_list_add(&list, &ending, 1100, false);
	run_list_add(&list, &repeated, 1500, true);
	run_list_add(&list, &first, 3000, false);
	counts = run_list_count_callers(&list, 1050);
	CU_ASSERT_EQUAL(counts.all, 3);
	CU_ASSERT_EQUAL(counts.repeats, 1);
	counts = run_list_count_callers(&list, 1500);
	CU_ASSERT_EQUAL(counts.all, 2);
	CU_ASSERT_EQUAL(counts.repeats, 1);
	/* A request that outlasts the repeated run isn't its call. */
	counts = run_list_count_callers(&list, 2000);
	CU_ASSERT_EQUAL(counts.all, 1);
	CU_ASSERT_EQUAL(counts.repeats, 0);
	run_list_remove(&list, &repeated);
	run_list_remove(&list, &repeated);
	counts = run_list_count_callers(&list, 1050);
	CU_ASSERT_EQUAL(counts.all, 2);
	CU_ASSERT_EQUAL(counts.repeats, 0);
}

static const struct test_case cases[] = {
	{ "calls belong to runs that outlast them",
	    test_calls_belong_to_runs_that_outlast_them },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("run list", cases);
}
