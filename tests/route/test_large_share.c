#include <glib.h>

#include "harness.h"
#include "route/large_share.h"

static void
add(struct large_share *share, const char *route, bool is_large, int count)
{
	for (int i = 0; i < count; i++)
		large_share_add(share, route, is_large);
}

/* Against requests that run behind a response which often is large. */
static void
test_frequent_large_responses(void)
{
	struct large_share *share = large_share_new();

	CU_ASSERT_FALSE(large_share_expects_large(share, "r-1"));
	add(share, "r-1", true, 3);
	CU_ASSERT_TRUE(large_share_expects_large(share, "r-1"));
	CU_ASSERT_FALSE(large_share_expects_large(share, "r-2"));
	/* One of four is large. */
	for (int i = 0; i < 100; i++) {
		add(share, "r-1", false, 3);
		CU_ASSERT_TRUE(large_share_expects_large(share, "r-1"));
		add(share, "r-1", true, 1);
	}
	large_share_free(share);
}

/* Against requests that wait for each other though nearly all are small. */
static void
test_rare_large_responses(void)
{
	struct large_share *share = large_share_new();

	add(share, "r-1", true, 2);
	CU_ASSERT_FALSE(large_share_expects_large(share, "r-1"));
	for (int i = 0; i < 100; i++) {
		add(share, "r-1", false, 30);
		add(share, "r-1", true, 1);
		CU_ASSERT_FALSE(large_share_expects_large(share, "r-1"));
	}
	large_share_free(share);
}

/* The answers of a route become small. */
static void
test_large_responses_are_forgotten(void)
{
	struct large_share *share = large_share_new();

	add(share, "r-1", true, 100);
	add(share, "r-1", false, 40);
	CU_ASSERT_FALSE(large_share_expects_large(share, "r-1"));
	add(share, "r-1", false, 1000);
	add(share, "r-1", true, 2);
	CU_ASSERT_FALSE(large_share_expects_large(share, "r-1"));
	large_share_free(share);
}

static const struct test_case cases[] = {
	{ "frequent large responses", test_frequent_large_responses },
	{ "rare large responses", test_rare_large_responses },
	{ "large responses are forgotten", test_large_responses_are_forgotten },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("large share", cases);
}
