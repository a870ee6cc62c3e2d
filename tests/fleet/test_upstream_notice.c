#include "fleet/upstream.h"
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

/* A restarted guard has not heard of the limit yet, and doesn't deny it. */
static void
test_restarted_guard_keeps_the_limit(void)
{
	struct upstream_entry entry = { .id = g_strdup("i-1"),
		.started_ms = 1 };
	struct fleet_zone *zone = fleet_zone_new("a");
	struct fleet_peer *peer = fleet_peer_new((struct in_addr){ 7 }, zone);
	struct upstream *upstream = upstream_new(&entry, peer);
	struct load_report load = { .rate_limit_known = true,
		.rate_limit_per_ks = 1500 };

	upstream_set_load(upstream, &load, 10);
	upstream_set_load(upstream, &(struct load_report){ 0 }, 20);
	CU_ASSERT_EQUAL(upstream->load.rate_limit_per_ks, 1500);
	load.rate_limit_per_ks = 0;
	upstream_set_load(upstream, &load, 30);
	CU_ASSERT_EQUAL(upstream->load.rate_limit_per_ks, 0);
	/* A later start under the same id knows nothing of before. */
	load.rate_limit_per_ks = 1500;
	upstream_set_load(upstream, &load, 40);
	entry =
	    (struct upstream_entry){ .id = g_strdup("i-1"), .started_ms = 2 };
	upstream->notice.leaving = true;
	upstream_update(upstream, &entry, 50);
	CU_ASSERT_EQUAL(upstream->load.rate_limit_per_ks, 0);
	CU_ASSERT_FALSE(upstream->notice.leaving);
	upstream_unref(upstream);
	fleet_peer_unref(peer);
	fleet_zone_unref(zone);
}

static const struct test_case cases[] = {
	{ "a limit holds while it is named",
	    test_limit_holds_while_it_is_named },
	{ "an unreadable limit keeps the last one",
	    test_unreadable_limit_keeps_the_last },
	{ "leaving is final", test_leaving_is_final },
	{ "a restarted guard keeps the limit",
	    test_restarted_guard_keeps_the_limit },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("upstream notice", cases);
}
