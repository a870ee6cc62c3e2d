#include "fleet/fleet_zone.h"
#include "harness.h"

enum {
	REQUEST_INTERVAL_MS = 5,
	CONNECT_TIMEOUT_MS = 150,
	CUT_MS = 5000,
};

static void
test_one_host_is_no_evidence(void)
{
	struct fleet_zone *zone = fleet_zone_new("a");

	CU_ASSERT_FALSE(fleet_zone_mark_failed(zone, 0));
	CU_ASSERT_FALSE(fleet_zone_mark_failed(zone, 10));
	CU_ASSERT_FALSE(fleet_zone_mark_alive(zone, 20));
	CU_ASSERT_FALSE(fleet_zone_mark_failed(zone, 30));
	CU_ASSERT_FALSE(fleet_zone_is_suspected(zone, 30));
	fleet_zone_unref(zone);
}

/*
 * A zone of many hosts is cut off for 5 s; each request tries another host.
 * Only those sent before the third failure wait for a connection, then one a
 * second.
 */
static void
test_cut_zone_costs_few_requests(void)
{
	struct fleet_zone *zone = fleet_zone_new("a");
	int waiting[CUT_MS + CONNECT_TIMEOUT_MS + 1] = { 0 };
	int tried = 0;

	for (int64_t ms = 0; ms < CUT_MS; ms++) {
		for (int i = 0; i < waiting[ms]; i++)
			fleet_zone_mark_failed(zone, ms);
		if (ms % REQUEST_INTERVAL_MS != 0 ||
		    fleet_zone_is_suspected(zone, ms))
			continue;
		fleet_zone_begin_request(zone, ms);
		waiting[ms + CONNECT_TIMEOUT_MS]++;
		tried++;
	}
	/* Those sent before the third timeout, then one a second at most. */
	CU_ASSERT_TRUE(tried <=
	    CONNECT_TIMEOUT_MS / REQUEST_INTERVAL_MS + 3 + CUT_MS / 1000);
	CU_ASSERT_TRUE(fleet_zone_mark_alive(zone, CUT_MS));
	CU_ASSERT_FALSE(fleet_zone_is_suspected(zone, CUT_MS));
	fleet_zone_unref(zone);
}

static const struct test_case cases[] = {
	{ "one host is no evidence", test_one_host_is_no_evidence },
	{ "a zone that is cut off costs few requests",
	    test_cut_zone_costs_few_requests },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("fleet zone", cases);
}
