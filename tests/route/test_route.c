#include <glib.h>

#include "fake_snapshot.h"
#include "harness.h"
#include "route/choice.h"
#include "route/choice_stats.h"
#include "route/retry.h"

enum {
	FRESH_MS = 2000,
	PICKS = 4000,
	UPSTREAMS = 6,
};

static const char *const zones[UPSTREAMS] = { "zone-a", "zone-a", "zone-b",
	"zone-b", "zone-c", "zone-c" };

struct fixture {
	struct fake_clock clock;
	struct snapshot snapshot;
	struct chooser *chooser;
	struct rng *rng;
	struct choice_request request;
	uint32_t picks[UPSTREAMS];
	uint32_t refused;
};

static void
fixture_init(struct fixture *f, enum choice_policy policy)
{
	struct choice_settings settings = {
		.host = str_from("host-a"),
		.zone = str_from("zone-a"),
		.policy = policy,
		.hint_fresh_ms = FRESH_MS,
	};

	*f = (struct fixture){ .rng = rng_seeded_new(11) };
	fake_clock_init(&f->clock);
	fake_snapshot_init(&f->snapshot, zones, UPSTREAMS);
	f->chooser = chooser_new(&settings, &f->clock.base);
	f->request.snapshot = &f->snapshot;
	f->request.service = str_from("vault");
}

static void
fixture_clear(struct fixture *f)
{
	chooser_free(f->chooser);
	rng_free(f->rng);
}

static void
learn(struct fixture *f, size_t index, uint32_t limit, uint32_t in_flight)
{
	struct guard_hint hint = {
		.incarnation = 7,
		.tick = 1,
		.limit = limit,
		.in_flight = in_flight,
		.accepting = true,
	};

	chooser_update_hint(
	    f->chooser, f->snapshot.upstreams[index].name, &hint);
}

static void
pick_many(struct fixture *f)
{
	struct choice choice;
	uint32_t after_ms;

	for (int i = 0; i < UPSTREAMS; i++)
		f->picks[i] = 0;
	f->refused = 0;
	for (int i = 0; i < PICKS; i++) {
		if (!chooser_pick(
			f->chooser, &f->request, f->rng, &choice, &after_ms)) {
			f->refused++;
			continue;
		}
		f->picks[choice.upstream - f->snapshot.upstreams]++;
	}
}

static void
test_local_zone_first(void)
{
	struct fixture f;

	fixture_init(&f, CHOICE_HINTED);
	for (size_t i = 0; i < UPSTREAMS; i++)
		learn(&f, i, 12, 3);
	pick_many(&f);
	CU_ASSERT_EQUAL(f.picks[0] + f.picks[1], PICKS);
	CU_ASSERT(f.picks[0] > PICKS / 3 && f.picks[1] > PICKS / 3);
	learn(&f, 0, 12, 11);
	pick_many(&f);
	CU_ASSERT_EQUAL(f.picks[1], PICKS);
	fixture_clear(&f);
}

static void
test_remote_zones_when_local_is_full(void)
{
	struct fixture f;

	fixture_init(&f, CHOICE_HINTED);
	learn(&f, 0, 12, 12);
	learn(&f, 1, 1, 1);
	for (size_t i = 2; i < UPSTREAMS; i++)
		learn(&f, i, 12, 3);
	f.snapshot.hosts[2].host.out = true;
	pick_many(&f);
	CU_ASSERT_EQUAL(f.picks[0] + f.picks[1] + f.picks[2], 0);
	CU_ASSERT_EQUAL(f.picks[3] + f.picks[4] + f.picks[5], PICKS);
	fixture_clear(&f);
}

static void
test_unknown_upstreams_are_probed(void)
{
	struct fixture f;

	fixture_init(&f, CHOICE_HINTED);
	learn(&f, 0, 12, 3);
	pick_many(&f);
	CU_ASSERT(f.picks[1] > PICKS / 16 && f.picks[1] < PICKS / 4);
	chooser_begin_call(f.chooser, f.snapshot.upstreams[1].name);
	pick_many(&f);
	CU_ASSERT_EQUAL(f.picks[0], PICKS);
	chooser_end_call(f.chooser, f.snapshot.upstreams[1].name);
	learn(&f, 1, 12, 3);
	pick_many(&f);
	CU_ASSERT(f.picks[1] > PICKS / 3);
	fake_clock_advance_ms(&f.clock, FRESH_MS);
	learn(&f, 0, 12, 3);
	pick_many(&f);
	CU_ASSERT(f.picks[1] < PICKS / 4);
	fixture_clear(&f);
}

static void
test_retry_does_not_probe(void)
{
	struct fixture f;
	struct choice choice;
	uint32_t after_ms;

	fixture_init(&f, CHOICE_HINTED);
	f.snapshot.view.upstream_count = 4;
	learn(&f, 2, 12, 12);
	learn(&f, 3, 12, 13);
	CU_ASSERT_TRUE(
	    chooser_pick(f.chooser, &f.request, f.rng, &choice, &after_ms));
	CU_ASSERT_TRUE(choice.probe);
	f.request.tried[0] = choice.upstream;
	f.request.tried_count = 1;
	CU_ASSERT_TRUE(
	    chooser_pick(f.chooser, &f.request, f.rng, &choice, &after_ms));
	CU_ASSERT_PTR_EQUAL(choice.upstream, &f.snapshot.upstreams[2]);
	CU_ASSERT_FALSE(choice.probe);
	f.request.tried[1] = &f.snapshot.upstreams[2];
	f.request.tried[2] = &f.snapshot.upstreams[3];
	f.request.tried_count = 3;
	CU_ASSERT_TRUE(
	    chooser_pick(f.chooser, &f.request, f.rng, &choice, &after_ms));
	CU_ASSERT_TRUE(choice.probe);
	fixture_clear(&f);
}

static void
test_shortest_queue_in_any_zone(void)
{
	struct fixture f;
	struct guard_hint hint = {
		.incarnation = 7, .tick = 1, .accepting = true
	};

	fixture_init(&f, CHOICE_HINTED);
	hint.latency_us = 200000;
	for (size_t i = 0; i < UPSTREAMS; i++) {
		/* All full: a cold upstream in the local zone, warm others. */
		hint.limit = i == 0 ? 1 : 12;
		hint.in_flight = hint.limit;
		hint.queued = i == 0 ? 0 : 2;
		chooser_update_hint(
		    f.chooser, f.snapshot.upstreams[i].name, &hint);
	}
	f.snapshot.hosts[1].host.out = true;
	pick_many(&f);
	CU_ASSERT_EQUAL(f.picks[0], 0);
	CU_ASSERT_EQUAL(f.refused, 0);
	fixture_clear(&f);
}

static void
test_out_and_lost_are_avoided(void)
{
	struct fixture f;

	fixture_init(&f, CHOICE_HINTED);
	for (size_t i = 0; i < UPSTREAMS; i++)
		learn(&f, i, 12, 0);
	chooser_mark_lost(f.chooser, f.snapshot.upstreams[0].name);
	pick_many(&f);
	CU_ASSERT_EQUAL(f.picks[1], PICKS);
	fake_clock_advance_ms(&f.clock, 300);
	pick_many(&f);
	CU_ASSERT(f.picks[0] > 0 && f.picks[0] < PICKS / 4);
	for (size_t i = 0; i < UPSTREAMS; i++)
		f.snapshot.hosts[i].host.out = true;
	pick_many(&f);
	CU_ASSERT_EQUAL(f.refused, PICKS);
	fixture_clear(&f);
}

static void
test_retry_delay_is_randomized(void)
{
	struct fixture f;
	struct choice choice;
	uint32_t after_ms, min_ms = UINT32_MAX, max_ms = 0;

	fixture_init(&f, CHOICE_HINTED);
	for (size_t i = 0; i < UPSTREAMS; i++)
		learn(&f, i, 4, 8);
	for (int i = 0; i < 100; i++) {
		CU_ASSERT_FALSE(chooser_pick(
		    f.chooser, &f.request, f.rng, &choice, &after_ms));
		min_ms = MIN(min_ms, after_ms);
		max_ms = MAX(max_ms, after_ms);
	}
	CU_ASSERT(max_ms - min_ms > 500);
	/* The calls of other entries decay, so an upstream is tried again. */
	fake_clock_advance_ms(&f.clock, FRESH_MS / 8);
	CU_ASSERT_TRUE(
	    chooser_pick(f.chooser, &f.request, f.rng, &choice, &after_ms));
	fixture_clear(&f);
}

static void
test_tried_upstreams_are_excluded(void)
{
	struct fixture f;

	for (int policy = 0; policy <= CHOICE_HINTED; policy++) {
		fixture_init(&f, (enum choice_policy)policy);
		f.request.tried[0] = &f.snapshot.upstreams[0];
		f.request.tried[1] = &f.snapshot.upstreams[4];
		f.request.tried_count = 2;
		f.snapshot.hosts[3].host.out = true;
		pick_many(&f);
		CU_ASSERT_EQUAL(f.picks[0] + f.picks[3] + f.picks[4], 0);
		CU_ASSERT_EQUAL(f.refused, 0);
		fixture_clear(&f);
	}
}

static void
test_outdated_hint_is_ignored(void)
{
	struct fixture f;
	struct choice choice;
	struct guard_hint hint = {
		.incarnation = 7, .tick = 9, .limit = 12, .accepting = true
	};
	struct str name;
	uint32_t after_ms;

	fixture_init(&f, CHOICE_HINTED);
	f.snapshot.view.upstream_count = 1;
	name = f.snapshot.upstreams[0].name;
	chooser_update_hint(f.chooser, name, &hint);
	hint.tick = 8;
	hint.accepting = false;
	chooser_update_hint(f.chooser, name, &hint);
	CU_ASSERT_TRUE(
	    chooser_pick(f.chooser, &f.request, f.rng, &choice, &after_ms));
	CU_ASSERT_EQUAL(choice.known.tick, 9);
	hint.incarnation = 8;
	hint.tick = 1;
	hint.accepting = true;
	chooser_update_hint(f.chooser, name, &hint);
	chooser_pick(f.chooser, &f.request, f.rng, &choice, &after_ms);
	CU_ASSERT_EQUAL(choice.known.incarnation, 8);
	chooser_mark_lost(f.chooser, name);
	fake_clock_advance_ms(&f.clock, 300);
	CU_ASSERT_TRUE(
	    chooser_pick(f.chooser, &f.request, f.rng, &choice, &after_ms));
	CU_ASSERT_EQUAL(choice.known.incarnation, 0);
	f.snapshot.removed[0] = true;
	chooser_prune(f.chooser, &f.snapshot);
	CU_ASSERT_EQUAL(
	    counter_get(chooser_counters(f.chooser), CHOICE_UPSTREAM_PRUNED),
	    1);
	fixture_clear(&f);
}

static void
test_retry_rules(void)
{
	struct retry_budget *budget = retry_budget_new(10, 2);
	struct retry_context context = {
		.result = ATTEMPT_NOT_RUN,
		.body_replayable = true,
		.attempts_max = 3,
		.remaining_ms = 1000,
	};

	CU_ASSERT_TRUE(retry_allowed(&context, budget));
	context.result = ATTEMPT_UNKNOWN;
	CU_ASSERT_FALSE(retry_allowed(&context, budget));
	context.idempotent = true;
	context.incoming_attempt = 1;
	CU_ASSERT_FALSE(retry_allowed(&context, budget));
	context.incoming_attempt = 0;
	context.attempt = 2;
	CU_ASSERT_FALSE(retry_allowed(&context, budget));
	context.attempt = 1;
	context.remaining_ms = 0;
	CU_ASSERT_FALSE(retry_allowed(&context, budget));
	context.remaining_ms = 1000;
	context.body_replayable = false;
	CU_ASSERT_FALSE(retry_allowed(&context, budget));
	context.body_replayable = true;
	CU_ASSERT_TRUE(retry_allowed(&context, budget));
	/* The budget is empty. */
	CU_ASSERT_FALSE(retry_allowed(&context, budget));
	context.result = ATTEMPT_NOT_RUN;
	context.probe = true;
	CU_ASSERT_TRUE(retry_allowed(&context, budget));
	context.attempt = NOT_RUN_ATTEMPTS_MAX - 1;
	CU_ASSERT_FALSE(retry_allowed(&context, budget));
	context.result = ATTEMPT_FENCED;
	CU_ASSERT_TRUE(retry_allowed(&context, budget));
	context.fenced = FENCED_RESENDS_MAX;
	CU_ASSERT_FALSE(retry_allowed(&context, budget));
	for (int i = 0; i < 9; i++)
		retry_budget_deposit(budget);
	CU_ASSERT_FALSE(retry_budget_withdraw(budget));
	retry_budget_deposit(budget);
	CU_ASSERT_TRUE(retry_budget_withdraw(budget));
	retry_budget_free(budget);
}

static void
test_refusals_are_classified(void)
{
	struct guard_hint sent = { .incarnation = 7 };
	struct guard_hint same = { .incarnation = 7 };
	struct guard_hint other = { .incarnation = 8 };
	struct guard_hint none = { .incarnation = 0 };

	CU_ASSERT_EQUAL(
	    attempt_classify(&sent, REFUSAL_LIMIT, &same), ATTEMPT_NOT_RUN);
	CU_ASSERT_EQUAL(
	    attempt_classify(&sent, REFUSAL_FENCED, &same), ATTEMPT_FENCED);
	CU_ASSERT_EQUAL(
	    attempt_classify(&sent, REFUSAL_DUPLICATE, &same), ATTEMPT_UNKNOWN);
	CU_ASSERT_EQUAL(
	    attempt_classify(&sent, REFUSAL_FENCED, &other), ATTEMPT_UNKNOWN);
	CU_ASSERT_EQUAL(
	    attempt_classify(&none, REFUSAL_FENCED, &other), ATTEMPT_FENCED);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "local zone first, least loaded upstream",
		    test_local_zone_first },
		{ "remote zones when the local one is full",
		    test_remote_zones_when_local_is_full },
		{ "unknown upstreams are probed",
		    test_unknown_upstreams_are_probed },
		{ "a retry does not probe", test_retry_does_not_probe },
		{ "shortest queue in any zone",
		    test_shortest_queue_in_any_zone },
		{ "upstreams out of service or lost are avoided",
		    test_out_and_lost_are_avoided },
		{ "the retry delay is randomized and refusals end",
		    test_retry_delay_is_randomized },
		{ "tried upstreams are excluded",
		    test_tried_upstreams_are_excluded },
		{ "an outdated hint is ignored",
		    test_outdated_hint_is_ignored },
		{ "retry rules", test_retry_rules },
		{ "refusals are classified", test_refusals_are_classified },
		{ NULL, NULL },
	};

	return harness_run("route", cases);
}
