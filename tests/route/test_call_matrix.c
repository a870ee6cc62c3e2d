#include <stdio.h>
#include <string.h>

#include "call_sim.h"
#include "harness.h"

enum {
	SEED_BASE = 20261203,
	QUICK_STRIDE = 31, /* without "all": single faults, each 31st pair */
	DETERMINISM_STRIDE = 211,
	SUBJECT_KINDS = 4,
};

static const char *const step_names[STEP_COUNT] = {
	[STEP_ACCEPTED] = "accepted",
	[STEP_PICKED] = "picked",
	[STEP_OPEN_SENT] = "open sent",
	[STEP_ADMITTED] = "admitted",
	[STEP_CONFIRMED] = "confirmed",
	[STEP_RUNNING] = "running",
	[STEP_WORK_DONE] = "work done",
	[STEP_RESPONSE_SENT] = "answer sent",
	[STEP_FIRST_FRAME] = "first frame",
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
	[FAULT_FRAME_LATE] = "frame late",
	[FAULT_FRAME_LOST] = "frame lost",
	[FAULT_FRAME_DUPLICATED] = "frame duplicated",
	[FAULT_FRAME_DUPLICATED_LATE] = "frame duplicated late",
	[FAULT_FRAME_DUPLICATED_OLD] = "frame duplicated beyond the fence",
	[FAULT_FRAME_REORDERED] = "frame reordered",
	[FAULT_ZONE_OUT] = "zone out",
	[FAULT_ZONE_OUT_ENTRY_ONLY] = "zone out, entry notified",
	[FAULT_ZONE_OUT_GUARD_ONLY] = "zone out, guard notified",
};

static const char *const check_names[CHECK_COUNT] = {
	[CHECK_AT_MOST_ONCE] = "runs at most once",
	[CHECK_NOT_RUN] = "not run when reported so",
	[CHECK_COMPLETE_RESPONSE] = "whole answer",
	[CHECK_ANSWERED_IN_TIME] = "answered in time",
	[CHECK_COLD_LIMIT] = "cold limit",
	[CHECK_NO_WORK_WHEN_OUT] = "no new work when out",
	[CHECK_RECOVERED] = "recovered",
};

struct tally {
	uint32_t cells;
	uint32_t violations[CHECK_COUNT];
	uint32_t failed_cells;
	uint64_t digest;
	bool stop_at_first; /* stop after the first cell that fails a check */
};

static bool run_all; /* every pair instead of each 31st */

static void
run_cell(struct tally *tally, const struct sim_scenario *scenario)
{
	struct sim_report report;
	bool failed = false;

	sim_run(scenario, &report);
	tally->cells++;
	tally->digest = tally->digest * 31 + report.digest;
	for (int i = 0; i < CHECK_COUNT; i++) {
		if (report.violations[i] == 0)
			continue;
		failed = true;
		if (tally->violations[i]++ > 2)
			continue;
		printf("\n  violated: %s: %s at \"%s\", then %s at \"%s\"; "
		       "idempotent %d, first contact %d, warm %d, seed %lu",
		    check_names[i], fault_names[scenario->faults[0].fault],
		    step_names[scenario->faults[0].step],
		    fault_names[scenario->faults[1].fault],
		    step_names[scenario->faults[1].step], scenario->idempotent,
		    scenario->first_contact, scenario->warm,
		    (unsigned long)scenario->seed);
	}
	tally->failed_cells += failed ? 1 : 0;
}

static bool
is_single(const struct sim_scenario *scenario)
{
	return scenario->faults[1].fault == FAULT_NONE &&
	    scenario->faults[1].step == STEP_ACCEPTED;
}

static void
run_pairs(
    struct tally *tally, struct sim_scenario *scenario, int from, int stride)
{
	int pairs = FAULT_COUNT * STEP_COUNT * FAULT_COUNT * STEP_COUNT;

	for (int i = from; i < pairs; i++) {
		scenario->faults[1].step = i % STEP_COUNT;
		scenario->faults[1].fault = i / STEP_COUNT % FAULT_COUNT;
		scenario->faults[0].step =
		    i / (STEP_COUNT * FAULT_COUNT) % STEP_COUNT;
		scenario->faults[0].fault =
		    i / (STEP_COUNT * FAULT_COUNT * STEP_COUNT);
		if (scenario->faults[0].fault == FAULT_NONE &&
		    scenario->faults[1].fault != FAULT_NONE)
			continue;
		if (i % stride != 0 && !is_single(scenario))
			continue;
		if (tally->stop_at_first && tally->failed_cells > 0)
			return;
		scenario->seed = SEED_BASE + (uint64_t)i;
		run_cell(tally, scenario);
	}
}

static void
run_matrix(struct tally *tally, enum variant variant, int from, int stride)
{
	struct sim_scenario scenario = { .variant = variant };

	for (int kind = 0; kind < SUBJECT_KINDS; kind++) {
		scenario.idempotent = kind == 1;
		scenario.first_contact = kind == 2;
		scenario.warm = kind == 3;
		scenario.long_work = kind == 3;
		run_pairs(tally, &scenario, from, stride);
	}
}

static void
test_every_pair_of_faults(void)
{
	struct tally tally = { .cells = 0 };

	run_matrix(&tally, VARIANT_CORRECT, 0, run_all ? 1 : QUICK_STRIDE);
	printf("%u cells ", tally.cells);
	for (int i = 0; i < CHECK_COUNT; i++)
		CU_ASSERT_EQUAL(tally.violations[i], 0);
}

static void
test_runs_are_deterministic(void)
{
	struct tally first = { .cells = 0 }, second = { .cells = 0 };

	run_matrix(&first, VARIANT_CORRECT, 0, DETERMINISM_STRIDE);
	run_matrix(&second, VARIANT_CORRECT, 0, DETERMINISM_STRIDE);
	CU_ASSERT_EQUAL(first.digest, second.digest);
}

/*
 * Disable one rule at a time: some cell must then fail a check, or the checks
 * would not detect a fault in that rule. The search ends at the first such
 * cell.
 */
static void
test_disabled_rules_are_detected(void)
{
	/* Each search starts shortly before a cell that is known to fail. */
	static const struct {
		const char *name;
		int from;
	} variants[VARIANT_COUNT] = {
		[VARIANT_NO_FENCE] = { "no fence", 13600 },
		[VARIANT_RETRY_UNKNOWN] = { "retry after unknown", 8500 },
		[VARIANT_REFUSE_AFTER_DISPATCH] = { "refusal after dispatch",
		    14600 },
		[VARIANT_NO_DEDUP_RECORD] = { "no at-most-once record", 15600 },
		[VARIANT_TRUST_ANY_REFUSAL] = { "trust any refusal", 33000 },
		[VARIANT_ACCEPT_TRUNCATED_RESPONSE] = { "accept a cut answer",
		    14900 },
		[VARIANT_NO_CONFIRM] = { "no confirm before dispatch", 12400 },
	};

	for (int v = VARIANT_CORRECT + 1; v < VARIANT_COUNT; v++) {
		struct tally tally = { .stop_at_first = true };

		printf("\n %s:", variants[v].name);
		run_matrix(&tally, (enum variant)v, variants[v].from, 1);
		CU_ASSERT_EQUAL(tally.failed_cells, 1);
	}
}

int
main(int argc, char **argv)
{
	static const struct test_case cases[] = {
		{ "every pair of faults at every step",
		    test_every_pair_of_faults },
		{ "runs are deterministic", test_runs_are_deterministic },
		{ "disabled rules are detected",
		    test_disabled_rules_are_detected },
		{ NULL, NULL },
	};

	run_all = argc > 1 && strcmp(argv[1], "all") == 0;
	return harness_run("calls under faults", cases);
}
