#include <stdlib.h>

#include "common/clock.h"
#include "harness.h"
#include "mesh/election.h"
#include "mesh/read_budget.h"
#include "mesh/ring.h"
#include "mesh/spread_tree.h"

enum {
	FLEET_NODES = 15000,
	PLATFORM_READS_PER_S = 2000,
	HEARTBEAT_MS = 500,
	FRESH_MS = HEARTBEAT_MS * ELECTION_FRESH_HEARTBEATS,
	ZONE_HOSTS = 300,
};

/*
 * All nodes of a fleet need the platform at once, with two reads per round and
 * a raw read besides. The busiest second must stay below the platform's limit.
 */
static void
test_fleet_keeps_read_budget(void)
{
	struct rng *rng = rng_seeded_new(3);
	int64_t window = read_budget_window_ms(FLEET_NODES, 2);
	int64_t raw_window =
	    read_budget_window_ms(FLEET_NODES, READ_BUDGET_RAW_READ_COST);
	size_t seconds = (size_t)(4 * window / 1000);
	uint32_t *reads = g_new0(uint32_t, seconds);
	uint32_t worst = 0;

	for (size_t node = 0; node < FLEET_NODES; node++) {
		int64_t at = read_budget_first_ms(rng, FLEET_NODES, 2);
		int64_t raw = read_budget_first_ms(
		    rng, FLEET_NODES, READ_BUDGET_RAW_READ_COST);

		if (raw < raw_window && raw / 1000 < (int64_t)seconds)
			reads[raw / 1000] += READ_BUDGET_RAW_READ_COST;
		for (; at / 1000 < (int64_t)seconds;
		     at += read_budget_next_ms(rng, FLEET_NODES, 2))
			reads[at / 1000] += 2;
	}
	for (size_t i = 0; i < seconds; i++)
		worst = MAX(worst, reads[i]);
	g_print(
	    "fleet of %d: at most %u reads in a second\n", FLEET_NODES, worst);
	CU_ASSERT(worst < PLATFORM_READS_PER_S);
	g_free(reads);
	rng_free(rng);
}

static void
test_unknown_fleet_uses_default_size(void)
{
	CU_ASSERT_EQUAL(read_budget_window_ms(0, 1),
	    read_budget_window_ms(READ_BUDGET_DEFAULT_FLEET_SIZE, 1));
	CU_ASSERT_EQUAL(read_budget_window_ms(1, 1), READ_BUDGET_WINDOW_MIN_MS);
}

static struct publication *
make_publication(uint64_t version, size_t len)
{
	return publication_new(version, g_bytes_new_take(g_malloc0(len), len));
}

static void
push_publication(struct publication_ring *ring, uint64_t version, size_t len)
{
	struct publication *publication = make_publication(version, len);

	publication_ring_push(ring, publication);
	publication_unref(publication);
}

static void
test_ring_is_bounded(void)
{
	struct publication_ring ring;

	publication_ring_init(&ring, 4, 100);
	for (uint64_t v = 1; v <= 10; v++)
		push_publication(&ring, v, 10);
	CU_ASSERT_PTR_NULL(publication_ring_find(&ring, 6));
	CU_ASSERT_PTR_NOT_NULL(publication_ring_find(&ring, 7));
	CU_ASSERT_PTR_NULL(publication_ring_find(&ring, 11));
	push_publication(&ring, 11, 85);
	CU_ASSERT_PTR_NULL(publication_ring_find(&ring, 9));
	CU_ASSERT_PTR_NOT_NULL(publication_ring_find(&ring, 10));
	push_publication(&ring, 20, 500);
	CU_ASSERT_EQUAL(ring.count, 1);
	publication_ring_release(&ring);
}

static struct snapshot *
zone_snapshot_new(size_t hosts)
{
	GString *json = g_string_new("{\"set\":[{\"schema\":2,\"kind\":"
				     "\"zone\",\"name\":\"z\","
				     "\"state\":\"in\"}");
	struct snapshot *empty = snapshot_empty_new();
	struct publication *publication;
	struct snapshot *snapshot;
	struct verdict verdict;

	for (size_t i = 0; i < hosts; i++)
		g_string_append_printf(json,
		    ",{\"schema\":2,\"kind\":\"host\",\"name\":\"h%zu\","
		    "\"zone\":\"z\",\"node\":\"127.0.0.1:%zu\","
		    "\"state\":\"in\"}",
		    i, i + 1000);
	g_string_append(json, "]}");
	publication = publication_new(1, g_string_free_to_bytes(json));
	snapshot = snapshot_apply(empty, publication, &verdict);
	verdict_clear(&verdict);
	publication_unref(publication);
	snapshot_unref(empty);
	return snapshot;
}

/* Follow the tree from its roots: every host must be reached exactly once. */
static void
test_tree_reaches_each_host_once(void)
{
	struct snapshot *snapshot = zone_snapshot_new(ZONE_HOSTS);
	const struct record *targets[SPREAD_TARGETS_MAX];
	size_t reached[ZONE_HOSTS] = { 0 };

	for (size_t i = 0; i < ZONE_HOSTS; i++) {
		struct members members;
		char host[16];
		size_t count;

		g_snprintf(host, sizeof(host), "h%zu", i);
		members_init(&members, str_from(host), str_from("z"));
		members_refresh(&members, snapshot);
		count = spread_tree_targets(&members, 9, 3, false, targets);
		for (size_t t = 0; t < count; t++)
			reached[strtoul(targets[t]->name.ptr + 1, NULL, 10)]++;
	}
	{
		struct members members;
		size_t count;

		members_init(&members, str_from("elsewhere"), str_from("z"));
		members_refresh(&members, snapshot);
		count = spread_tree_targets(&members, 9, 3, true, targets);
		CU_ASSERT_EQUAL(count, 3);
		for (size_t t = 0; t < count; t++)
			reached[strtoul(targets[t]->name.ptr + 1, NULL, 10)]++;
	}
	for (size_t i = 0; i < ZONE_HOSTS; i++)
		CU_ASSERT_EQUAL(reached[i], 1);
	snapshot_unref(snapshot);
}

static void
learn_beat(struct election *election, const char *host, uint64_t beat,
    struct timespec now)
{
	struct reader_beat seen = { str_from(host), beat, 0 };

	election_learn(election, &seen, now);
}

/*
 * Return the host that is last in the order, so that all others are preferred.
 */
static const char *
last_in_order(const char *const *hosts, size_t count)
{
	size_t last = 0;

	for (size_t i = 1; i < count; i++)
		if (rendezvous_before(rendezvous_score(str_from("z"), 0,
					  str_from(hosts[last])),
			rendezvous_score(str_from("z"), 0, str_from(hosts[i]))))
			last = i;
	return hosts[last];
}

static void
test_next_rank_takes_over(void)
{
	static const char *const hosts[] = { "a", "b", "c" };
	struct timespec now = timespec_from_ms(1000);
	const char *own = last_in_order(hosts, G_N_ELEMENTS(hosts));
	struct election election;

	election_init(&election, str_from(own), str_from("z"), HEARTBEAT_MS, 2);
	for (size_t i = 0; i < G_N_ELEMENTS(hosts); i++)
		learn_beat(&election, hosts[i], 1, now);
	CU_ASSERT(!election_update(&election, 2, now));
	/* beats that do not rise go stale, and the rank's wait begins */
	now = timespec_plus_ms(now, FRESH_MS);
	for (size_t i = 0; i < G_N_ELEMENTS(hosts); i++)
		learn_beat(&election, hosts[i], 1, now);
	CU_ASSERT(!election_update(&election, 2, now));
	now = timespec_plus_ms(now, FRESH_MS);
	CU_ASSERT(election_update(&election, 2, now));
	for (size_t i = 0; i < G_N_ELEMENTS(hosts); i++)
		learn_beat(&election, hosts[i], 2, now);
	CU_ASSERT(!election_update(&election, 2, now));
	election_release(&election);
}

/*
 * Beats that are only relayed must age with the host that sent them: otherwise
 * they would keep a dead reader fresh.
 */
static void
test_relayed_beats_expire(void)
{
	struct timespec now = timespec_from_ms(1000);
	struct reader_beat old = { str_from("a"), 7,
		HEARTBEAT_MS * ELECTION_FRESH_HEARTBEATS };
	struct reader_beat out[2];
	struct election election;

	election_init(&election, str_from("b"), str_from("z"), HEARTBEAT_MS, 2);
	election_learn(&election, &old, now);
	CU_ASSERT_EQUAL(
	    election_list_readers(&election, false, now, out, 2), 0);
	old.age_ms = 100;
	election_learn(&election, &old, now);
	now = timespec_plus_ms(now, 50);
	CU_ASSERT_EQUAL(
	    election_list_readers(&election, false, now, out, 2), 1);
	CU_ASSERT_EQUAL(out[0].age_ms, 150);
	election_release(&election);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "a fleet keeps to the read budget",
		    test_fleet_keeps_read_budget },
		{ "an unknown fleet size uses the default",
		    test_unknown_fleet_uses_default_size },
		{ "the ring is bounded", test_ring_is_bounded },
		{ "the tree reaches each host once",
		    test_tree_reaches_each_host_once },
		{ "the next rank takes over", test_next_rank_takes_over },
		{ "relayed beats expire", test_relayed_beats_expire },
		{ NULL, NULL },
	};

	return harness_run("mesh-parts", cases);
}
