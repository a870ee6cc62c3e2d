#include <glib.h>

#include "harness.h"
#include "quarantine/recent_runs.h"

enum {
	NOW_MS = 100000,
};

static struct request_key
key_of(uint64_t low)
{
	return (struct request_key){ .high = 1, .low = low };
}

static void
test_recent(void)
{
	struct recent_runs *runs = g_new0(struct recent_runs, 1);

	CU_ASSERT_FALSE(recent_runs_contain(runs, key_of(5), NOW_MS));
	recent_runs_add(runs, key_of(5), NOW_MS);
	CU_ASSERT_TRUE(recent_runs_contain(runs, key_of(5), NOW_MS + 1000));
	CU_ASSERT_FALSE(recent_runs_contain(runs, key_of(6), NOW_MS));
	CU_ASSERT_FALSE(recent_runs_contain(runs, key_of(5), NOW_MS + 30001));
	g_free(runs);
}

/* Another request with the same slot isn't taken for it. */
static void
test_same_slot(void)
{
	struct recent_runs *runs = g_new0(struct recent_runs, 1);

	recent_runs_add(runs, key_of(5), NOW_MS);
	recent_runs_add(runs, key_of(5 + RECENT_RUNS_SLOTS), NOW_MS);
	CU_ASSERT_FALSE(recent_runs_contain(runs, key_of(5), NOW_MS));
	CU_ASSERT_TRUE(
	    recent_runs_contain(runs, key_of(5 + RECENT_RUNS_SLOTS), NOW_MS));
	g_free(runs);
}

static const struct test_case cases[] = {
	{ "recent runs are known", test_recent },
	{ "the same slot", test_same_slot },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("recent runs", cases);
}
