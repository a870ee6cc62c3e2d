#include <glib.h>
#include <pthread.h>

#include "fake_snapshot.h"
#include "harness.h"
#include "route/choice.h"
#include "route/retry.h"

enum {
	THREADS = 4,
	ROUNDS = 4000,
	UPSTREAMS = 6,
	BUDGET_TOKENS = 100,
};

static const char *const zones[UPSTREAMS] = { "zone-a", "zone-a", "zone-b",
	"zone-b", "zone-c", "zone-c" };

struct worker {
	pthread_t thread;
	struct chooser *chooser;
	const struct snapshot *snapshot;
	struct retry_budget *budget;
	uint64_t seed;
	uint32_t withdrawn;
	uint32_t torn_hints;
};

/* Derive each field of a hint from its tick, so a torn read is detected. */
static struct guard_hint
make_hint(uint64_t tick)
{
	return (struct guard_hint){
		.incarnation = 7,
		.tick = tick,
		.limit = (uint32_t)tick,
		.in_flight = (uint32_t)tick / 2,
		.latency_us = (uint32_t)tick * 3,
		.accepting = true,
	};
}

static bool
is_consistent(const struct guard_hint *hint)
{
	struct guard_hint expected = make_hint(hint->tick);

	return hint->incarnation == 0 ||
	    (hint->limit == expected.limit &&
		hint->in_flight == expected.in_flight &&
		hint->latency_us == expected.latency_us);
}

static void *
run_worker(void *arg)
{
	struct worker *worker = arg;
	struct rng *rng = rng_seeded_new(worker->seed);
	struct choice_request request = {
		.snapshot = worker->snapshot,
		.service = str_from("vault"),
	};
	struct choice choice;
	uint32_t after_ms;

	for (uint32_t i = 1; i <= ROUNDS; i++) {
		struct guard_hint hint = make_hint(i);

		if (retry_budget_withdraw(worker->budget))
			worker->withdrawn++;
		if (!chooser_pick(
			worker->chooser, &request, rng, &choice, &after_ms))
			continue;
		worker->torn_hints += is_consistent(&choice.known) ? 0 : 1;
		chooser_begin_call(worker->chooser, choice.upstream->name);
		if (rng_below(rng, 64) == 0)
			chooser_mark_lost(
			    worker->chooser, choice.upstream->name);
		else
			chooser_update_hint(
			    worker->chooser, choice.upstream->name, &hint);
		chooser_end_call(worker->chooser, choice.upstream->name);
	}
	rng_free(rng);
	return NULL;
}

/* All calls have ended: each upstream accepts one call at a limit of 1. */
static void
check_counts(struct chooser *chooser, struct snapshot *snapshot)
{
	struct guard_hint hint = {
		.incarnation = 8, .tick = 1, .limit = 1, .accepting = true
	};
	struct choice_request request = { .snapshot = snapshot,
		.service = str_from("vault") };
	struct rng *rng = rng_seeded_new(1);
	struct choice choice;
	uint32_t after_ms;

	for (size_t i = 0; i < UPSTREAMS; i++) {
		for (size_t j = 0; j < UPSTREAMS; j++)
			snapshot->hosts[j].host.out = i != j;
		chooser_update_hint(
		    chooser, snapshot->upstreams[i].name, &hint);
		CU_ASSERT_TRUE(
		    chooser_pick(chooser, &request, rng, &choice, &after_ms));
	}
	rng_free(rng);
}

static void
test_chooser_with_threads(void)
{
	struct choice_settings settings = {
		.zone = str_from("zone-a"),
		.policy = CHOICE_HINTED,
		.hint_fresh_ms = 1000,
	};
	struct worker workers[THREADS];
	struct snapshot snapshot;
	struct chooser *chooser = chooser_new(&settings, clock_system());
	struct retry_budget *budget = retry_budget_new(10, BUDGET_TOKENS);
	uint32_t withdrawn = 0;

	fake_snapshot_init(&snapshot, zones, UPSTREAMS);
	snapshot.removed[0] = true; /* pruned and added again repeatedly */
	for (int i = 0; i < THREADS; i++) {
		workers[i] = (struct worker){
			.chooser = chooser,
			.snapshot = &snapshot,
			.budget = budget,
			.seed = (uint64_t)i + 1,
		};
		pthread_create(
		    &workers[i].thread, NULL, run_worker, &workers[i]);
	}
	for (int i = 0; i < 50; i++)
		chooser_prune(chooser, &snapshot);
	for (int i = 0; i < THREADS; i++) {
		pthread_join(workers[i].thread, NULL);
		withdrawn += workers[i].withdrawn;
		CU_ASSERT_EQUAL(workers[i].torn_hints, 0);
	}
	CU_ASSERT_EQUAL(withdrawn, BUDGET_TOKENS);
	check_counts(chooser, &snapshot);
	retry_budget_free(budget);
	chooser_free(chooser);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "chooser with concurrent threads",
		    test_chooser_with_threads },
		{ NULL, NULL },
	};

	return harness_run("route threads", cases);
}
