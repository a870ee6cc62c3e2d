#include <stdio.h>
#include <string.h>

#include "call_sim.h"
#include "harness.h"

enum {
	SEED_BASE = 20261203,
	QUICK_STRIDE = 31, /* without "all": single faults, each 31st pair */
	REPEAT_STRIDE = 211,
	KINDS = 4, /* of subject calls */
};

static const char *const step_names[STEP_COUNT] = {
	[STEP_ACCEPTED] = "accepted",
	[STEP_PICKED] = "picked",
	[STEP_OPEN_SENT] = "open sent",
	[STEP_ADMITTED] = "admitted",
	[STEP_CONFIRMED] = "confirmed",
	[STEP_RUNNING] = "running",
	[STEP_WORK_DONE] = "work done",
	[STEP_ANSWER_SENT] = "answer sent",
	[STEP_FIRST_PART] = "first part",
};

static const char *const fault_names[FAULT_COUNT] = {
	[FAULT_NONE] = "none",
	[FAULT_ENTRY_KILLED] = "entry killed",
	[FAULT_ENTRY_RESTARTED] = "entry restarted",
	[FAULT_ENTRY_FROZEN] = "entry frozen",
	[FAULT_GUARD_KILLED] = "guard killed",
	[FAULT_GUARD_RESTARTED] = "guard restarted",
	[FAULT_GUARD_FROZEN] = "guard frozen",
	[FAULT_UPSTREAM_KILLED] = "upstream killed",
	[FAULT_UPSTREAM_RESTARTED] = "upstream restarted",
	[FAULT_UPSTREAM_FROZEN] = "upstream frozen",
	[FAULT_UPSTREAM_COLD] = "upstream cold",
	[FAULT_UPSTREAM_HUNG] = "upstream hung",
	[FAULT_CUT_TO_GUARD] = "cut to guard",
	[FAULT_CUT_TO_ENTRY] = "cut to entry",
	[FAULT_CUT_BOTH] = "cut both ways",
	[FAULT_MESSAGE_LATE] = "message late",
	[FAULT_MESSAGE_LOST] = "message lost",
	[FAULT_MESSAGE_DOUBLED] = "message doubled",
	[FAULT_MESSAGE_DOUBLED_LATE] = "message doubled late",
	[FAULT_MESSAGE_DOUBLED_OLD] = "message doubled, old",
	[FAULT_MESSAGE_CROSSED] = "message crossed",
	[FAULT_ZONE_OUT] = "zone out",
	[FAULT_ZONE_OUT_ENTRY_ONLY] = "zone out, entry told",
	[FAULT_ZONE_OUT_GUARD_ONLY] = "zone out, guard told",
};

static const char *const check_names[CHECK_COUNT] = {
	[CHECK_ONCE] = "runs at most once",
	[CHECK_NOT_RUN] = "not run is true",
	[CHECK_ANSWER] = "whole answer",
	[CHECK_ANSWERED] = "answered in time",
	[CHECK_COLD] = "cold limit",
	[CHECK_OUT] = "no new work when out",
	[CHECK_RECOVERED] = "recovered",
};

struct tally {
	uint32_t cells;
	uint32_t broken[CHECK_COUNT];
	uint32_t broken_cells;
	uint64_t digest;
	bool find_one; /* stop at the first broken cell, and print it alone */
};

static bool run_all; /* every pair, rather than a share of them */

static void
run_cell(struct tally *tally, const struct world_plan *plan)
{
	struct world_verdict verdict;
	bool broken = false;

	world_run(plan, &verdict);
	tally->cells++;
	tally->digest = tally->digest * 31 + verdict.digest;
	for (int i = 0; i < CHECK_COUNT; i++) {
		if (verdict.broken[i] == 0)
			continue;
		broken = true;
		if (tally->broken[i]++ > 2)
			continue;
		printf("\n  broken: %s: %s at \"%s\", then %s at \"%s\"; "
		       "idempotent %d, first contact %d, warm %d, seed %lu",
		    check_names[i], fault_names[plan->faults[0].fault],
		    step_names[plan->faults[0].step],
		    fault_names[plan->faults[1].fault],
		    step_names[plan->faults[1].step], plan->idempotent,
		    plan->first_contact, plan->warm, (unsigned long)plan->seed);
	}
	tally->broken_cells += broken ? 1 : 0;
}

static bool
is_single(const struct world_plan *plan)
{
	return plan->faults[1].fault == FAULT_NONE &&
	    plan->faults[1].step == STEP_ACCEPTED;
}

static void
run_pairs(struct tally *tally, struct world_plan *plan, int from, int stride)
{
	int pairs = FAULT_COUNT * STEP_COUNT * FAULT_COUNT * STEP_COUNT;

	for (int i = from; i < pairs; i++) {
		plan->faults[1].step = i % STEP_COUNT;
		plan->faults[1].fault = i / STEP_COUNT % FAULT_COUNT;
		plan->faults[0].step =
		    i / (STEP_COUNT * FAULT_COUNT) % STEP_COUNT;
		plan->faults[0].fault =
		    i / (STEP_COUNT * FAULT_COUNT * STEP_COUNT);
		if (plan->faults[0].fault == FAULT_NONE &&
		    plan->faults[1].fault != FAULT_NONE)
			continue;
		if (i % stride != 0 && !is_single(plan))
			continue;
		if (tally->find_one && tally->broken_cells > 0)
			return;
		plan->seed = SEED_BASE + (uint64_t)i;
		run_cell(tally, plan);
	}
}

static void
run_matrix(struct tally *tally, enum variant variant, int from, int stride)
{
	struct world_plan plan = { .variant = variant };

	for (int kind = 0; kind < KINDS; kind++) {
		plan.idempotent = kind == 1;
		plan.first_contact = kind == 2;
		plan.warm = kind == 3;
		plan.long_work = kind == 3;
		run_pairs(tally, &plan, from, stride);
	}
}

static void
test_every_pair_of_faults(void)
{
	struct tally tally = { .cells = 0 };

	run_matrix(&tally, VARIANT_RIGHT, 0, run_all ? 1 : QUICK_STRIDE);
	printf("%u cells ", tally.cells);
	for (int i = 0; i < CHECK_COUNT; i++)
		CU_ASSERT_EQUAL(tally.broken[i], 0);
}

static void
test_verdicts_repeat(void)
{
	struct tally first = { .cells = 0 }, second = { .cells = 0 };

	run_matrix(&first, VARIANT_RIGHT, 0, REPEAT_STRIDE);
	run_matrix(&second, VARIANT_RIGHT, 0, REPEAT_STRIDE);
	CU_ASSERT_EQUAL(first.digest, second.digest);
}

/*
 * Each rule is needed: without it some cell breaks a check. The
 * first such cell ends the search.
 */
static void
test_broken_variants_are_caught(void)
{
	/* The search begins at a cell before one that is known to break. */
	static const struct {
		const char *name;
		int from;
	} variants[VARIANT_COUNT] = {
		[VARIANT_NO_FENCE] = { "no fence", 13600 },
		[VARIANT_RETRY_UNKNOWN] = { "retry after unknown", 8500 },
		[VARIANT_REFUSE_AFTER_DISPATCH] = { "refusal after dispatch",
		    14600 },
		[VARIANT_NO_ONCE_RECORD] = { "no record", 15600 },
		[VARIANT_TRUST_ANY_REFUSAL] = { "trust any refusal", 33000 },
		[VARIANT_END_CUT_ANSWER] = { "end a cut answer", 14900 },
		[VARIANT_NO_CONFIRM] = { "no second check", 12400 },
	};

	for (int v = VARIANT_RIGHT + 1; v < VARIANT_COUNT; v++) {
		struct tally tally = { .find_one = true };

		printf("\n %s:", variants[v].name);
		run_matrix(&tally, (enum variant)v, variants[v].from, 1);
		CU_ASSERT_EQUAL(tally.broken_cells, 1);
	}
}

int
main(int argc, char **argv)
{
	static const struct test_case cases[] = {
		{ "every pair of faults at every step",
		    test_every_pair_of_faults },
		{ "verdicts repeat", test_verdicts_repeat },
		{ "broken variants are caught",
		    test_broken_variants_are_caught },
		{ NULL, NULL },
	};

	run_all = argc > 1 && strcmp(argv[1], "all") == 0;
	return harness_run("calls under faults", cases);
}
