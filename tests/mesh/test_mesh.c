#include <string.h>

#include "harness.h"
#include "net.h"

static void
assert_invariants(const struct net *net)
{
	CU_ASSERT_EQUAL(net->version_regressions, 0);
	CU_ASSERT_EQUAL(net->dangling_states, 0);
	CU_ASSERT_EQUAL(net->refused_content, 0);
}

/* All nodes of a fleet start at once, so that no peer has a state to serve. */
static void
run_cold_start(enum spread_policy policy, size_t seeds, int64_t limit_ms)
{
	struct net_settings settings = {
		.nodes = 12, .seed = 1, .policy = policy, .seeds = seeds
	};
	struct net *net = g_new(struct net, 1);
	int64_t ms;

	net_init(net, &settings);
	net_publish_fleet(net, 0);
	net_publish_change(net);
	net_start_all(net);
	ms = net_run_until_converged(net, limit_ms);
	g_print("cold start policy %d seeds %zu: %d ms, %d reads\n", policy,
	    seeds, (int)ms, (int)net->platform.reads);
	CU_ASSERT(ms >= 0);
	assert_invariants(net);
	net_release(net);
	g_free(net);
}

static void
test_cold_start(void)
{
	run_cold_start(SPREAD_TREE, 3, 3000);
	run_cold_start(SPREAD_PUSH, 3, 3000);
	run_cold_start(SPREAD_POLL, 3, 3000);
	run_cold_start(SPREAD_TREE, 0, 3000);
}

static void
run_spread(enum spread_policy policy, int64_t limit_ms)
{
	struct net_settings settings = {
		.nodes = 48, .seed = 2, .policy = policy, .seeds = 3
	};
	struct net *net = g_new(struct net, 1);
	int64_t worst = 0;

	net_init(net, &settings);
	net_publish_fleet(net, 0);
	net_start_all(net);
	CU_ASSERT(net_run_until_converged(net, 5000) >= 0);
	net_run(net, 10000);
	for (size_t i = 0; i < 50; i++) {
		int64_t ms;

		if (i % 5 == 0)
			net_publish_refused(net);
		else
			net_publish_change(net);
		ms = net_run_until_converged(net, 5000);
		CU_ASSERT(ms >= 0);
		worst = MAX(worst, ms);
		net_run(net, 100);
	}
	g_print("spread policy %d: worst %d ms\n", policy, (int)worst);
	CU_ASSERT(worst <= limit_ms);
	assert_invariants(net);
	net_release(net);
	g_free(net);
}

static void
test_spread_latency(void)
{
	run_spread(SPREAD_TREE, 250);
	run_spread(SPREAD_PUSH, 250);
	run_spread(SPREAD_POLL, 3000);
}

/*
 * A joining node that no peer can reach must wait, since the platform's
 * responses may be stale.
 */
static void
test_joiner_without_responses_waits(void)
{
	struct net_settings settings = {
		.nodes = 12, .seed = 4, .policy = SPREAD_TREE, .seeds = 3
	};
	struct net *net = g_new(struct net, 1);

	net_init(net, &settings);
	net_publish_fleet(net, 0);
	net_start_all(net);
	CU_ASSERT(net_run_until_converged(net, 5000) >= 0);
	net_publish_change(net);
	CU_ASSERT(net_run_until_converged(net, 5000) >= 0);
	net->platform.stale_at = 1;
	net_kill(net, 7);
	net_cut_node(net, 7, true, true);
	net_start(net, 7);
	net_run(net, 60000);
	CU_ASSERT_EQUAL(mesh_state(net->nodes[7].mesh), MESH_JOINING);
	net_restore_links(net);
	CU_ASSERT(net_run_until_converged(net, 5000) >= 0);
	assert_invariants(net);
	net_release(net);
	g_free(net);
}

/*
 * Many nodes start at once after the platform's log was compacted. Several make
 * raw reads, at different revisions, and must still converge on one state.
 */
static void
test_cold_start_compacted(void)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct net_settings settings = {
			.nodes = 12, .seed = seed, .seeds = 3
		};
		struct net *net = g_new(struct net, 1);

		net_init(net, &settings);
		net->platform.log_limit = 1;
		net_publish_fleet(net, 0);
		net_publish_refused(net);
		net_publish_change(net);
		net_start_all(net);
		for (size_t i = 0; i < 100; i++) {
			net_run(net, 30);
			if (i % 10 == 9)
				net_publish_refused(net);
			else
				net_publish_change(net);
		}
		CU_ASSERT(net_run_until_converged(net, 5000) >= 0);
		assert_invariants(net);
		net_release(net);
		g_free(net);
	}
}

/*
 * When all nodes restart at once, the number of platform reads must not grow
 * with the fleet.
 */
static void
test_fleet_restart(void)
{
	for (size_t nodes = 15; nodes <= 60; nodes += 15) {
		struct net_settings settings = {
			.nodes = nodes, .seed = 6, .seeds = 3
		};
		struct net *net = g_new(struct net, 1);
		uint64_t reads;
		int64_t ms;

		net_init(net, &settings);
		net_publish_fleet(net, 0);
		net_start_all(net);
		CU_ASSERT(net_run_until_converged(net, 5000) >= 0);
		for (size_t i = 0; i < nodes; i++) {
			net_kill(net, i);
			net_start(net, i);
		}
		reads = net->platform.reads;
		ms = net_run_until_converged(net, 6000);
		reads = net->platform.reads - reads;
		g_print("restart of %zu nodes: ready after %d ms, %d reads\n",
		    nodes, (int)ms, (int)reads);
		CU_ASSERT(ms >= 0);
		CU_ASSERT(reads <= 40);
		assert_invariants(net);
		net_release(net);
		g_free(net);
	}
}

/*
 * Nodes that know no peers must not read the platform at once, since many may
 * start together.
 */
static void
test_fleet_start_without_seeds(void)
{
	struct net_settings settings = { .nodes = 60, .seed = 7 };
	struct net *net = g_new(struct net, 1);
	int64_t ms;

	net_init(net, &settings);
	net_publish_fleet(net, 0);
	net_start_all(net);
	net_run(net, 1000);
	g_print(
	    "start of 60 nodes without seeds: %d reads in the first second\n",
	    (int)net->platform.reads);
	CU_ASSERT(net->platform.reads <= 12);
	ms = net_run_until_converged(net, 10000);
	g_print("ready after %d ms more, %d reads\n", (int)ms,
	    (int)net->platform.reads);
	CU_ASSERT(ms >= 0);
	CU_ASSERT(net->platform.reads <= 40);
	assert_invariants(net);
	net_release(net);
	g_free(net);
}

/*
 * While the platform's list of hosts is empty, a joining node without peers
 * must stay within its read budget.
 */
static void
test_empty_list_of_hosts(void)
{
	struct net_settings settings = { .nodes = 12, .seed = 8, .seeds = 3 };
	struct net *net = g_new(struct net, 1);

	net_init(net, &settings);
	net->platform.no_hosts = true;
	net_start(net, 5);
	net_run(net, 60000);
	g_print("an empty list of hosts: %d reads\n", (int)net->platform.reads);
	CU_ASSERT(net->platform.reads >= 2);
	CU_ASSERT(net->platform.reads <= 6);
	assert_invariants(net);
	net_release(net);
	g_free(net);
}

static void
cut_link(struct net *net, size_t a, size_t b, bool cut)
{
	net->cut[a][b] = cut;
	net->cut[b][a] = cut;
}

static bool
reads_platform(const struct net *net, size_t index)
{
	return mesh_is_reader(net->nodes[index].mesh);
}

/*
 * A node must not serve a version below the one it served before a restart,
 * even if no tracker knows that version. The node is isolated, reads the
 * platform and serves a version that only the readers have besides, since they
 * are isolated too. It is then replaced and joins through peers that never
 * heard of that version.
 */
static void
join_below_own_version(size_t isolated)
{
	struct net_settings settings = { .nodes = 48, .seed = 9, .seeds = 3 };
	struct net *net = g_new(struct net, 1);
	bool reader[NET_NODES_MAX] = { false };

	net_init(net, &settings);
	net_publish_fleet(net, 0);
	net_start_all(net);
	CU_ASSERT(net_run_until_converged(net, 5000) >= 0);
	net_run(net, 10000);
	for (size_t i = 0; i < settings.nodes; i++)
		reader[i] = i != isolated && reads_platform(net, i);
	net_cut_node(net, isolated, true, true);
	net_run(net, 10000);
	for (size_t i = 0; i < settings.nodes; i++) {
		net->platform.cut[i] = !reader[i] && i != isolated;
		for (size_t j = 0; j < settings.nodes; j++)
			if (reader[i] != reader[j])
				cut_link(net, i, j, true);
	}
	net_publish_change(net);
	net_run(net, 30000);
	CU_ASSERT_EQUAL(
	    net_version(net, isolated), net_platform_head(&net->platform));
	net_kill(net, isolated);
	for (size_t i = 0; i < settings.nodes; i++)
		cut_link(net, isolated, i, false);
	net_start(net, isolated);
	net_run(net, 5000);
	net_restore_links(net);
	memset(net->platform.cut, 0, sizeof(net->platform.cut));
	CU_ASSERT(net_run_until_converged(net, 10000) >= 0);
	assert_invariants(net);
	net_release(net);
	g_free(net);
}

static void
test_floor_unknown_to_trackers(void)
{
	for (size_t isolated = NET_SEEDS; isolated < 30; isolated++)
		join_below_own_version(isolated);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "a whole fleet starts at once", test_cold_start },
		{ "a change spreads to all nodes in time",
		    test_spread_latency },
		{ "a joining node that no peer answers waits",
		    test_joiner_without_responses_waits },
		{ "raw reads converge on one state",
		    test_cold_start_compacted },
		{ "a fleet restart does not load the platform",
		    test_fleet_restart },
		{ "a fleet without seeds spreads its reads",
		    test_fleet_start_without_seeds },
		{ "an empty list of hosts is not read repeatedly",
		    test_empty_list_of_hosts },
		{ "a floor unknown to the trackers",
		    test_floor_unknown_to_trackers },
		{ NULL, NULL },
	};

	return harness_run("mesh", cases);
}
