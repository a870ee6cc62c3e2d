#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"
#include "matrix.h"

/*
 * Every fault at every step of the protocol, alone and in pairs. Usage:
 * test_mesh_matrix [single|pairs [SEED]]. Each cell of the matrix runs in a
 * small network of its own.
 */
enum {
	MATRIX_NODES = 12,
	MATRIX_SEED = 20,
	START_TIMEOUT_MS = 5000,
	IDLE_MS = 1500,
	FAULT_MS = 6000,
	PUBLISH_INTERVAL_MS = 200,
	RECOVERY_TIMEOUT_MS = 10000,
	MESSAGES_MAX = 5000,
};

static uint64_t matrix_seed = MATRIX_SEED;
static size_t cells;
static int64_t max_recovery_ms;
static uint64_t max_messages;

/*
 * Publish valid and refused versions, and take a zone out and back in, while
 * the faults last.
 */
static void
publish_under_fault(struct matrix_cell *cell)
{
	struct net *net = cell->net;

	net_run(net, PUBLISH_INTERVAL_MS);
	net_publish_change(net);
	net_run(net, PUBLISH_INTERVAL_MS);
	net_publish_refused(net);
	net_run(net, PUBLISH_INTERVAL_MS);
	net_publish_zone_state(net, 1, true);
	net_run(net, PUBLISH_INTERVAL_MS);
	net_publish_refused(net);
	net_publish_zone_state(net, 1, false);
	net_run(net, FAULT_MS - 4 * PUBLISH_INTERVAL_MS);
}

/*
 * Tell whether every node that the fault does not affect has the newest
 * version.
 */
static bool
is_current(const struct matrix_cell *cell, const struct matrix_fault *fault)
{
	const struct net *net = cell->net;
	uint64_t head = net_platform_head(&net->platform);

	if (fault->current == CURRENT_NONE)
		return true;
	for (size_t i = 0; i < net->settings.nodes; i++) {
		if (fault->current == CURRENT_OTHERS && i == cell->victims[0])
			continue;
		if (net->nodes[i].published.version != head)
			return false;
	}
	return true;
}

static void
report_cell(const struct matrix_cell *cell, const char *what, const char *step,
    const char *first, const char *second)
{
	g_print("FAIL %s: step \"%s\", fault \"%s\"%s%s%s, victims %s %s, "
		"seed %" G_GUINT64_FORMAT "\n",
	    what, step, first, second != NULL ? " and \"" : "",
	    second != NULL ? second : "", second != NULL ? "\"" : "",
	    cell->net->nodes[cell->victims[0]].host,
	    cell->net->nodes[cell->victims[1]].host, matrix_seed);
}

static const char *
cell_find_failure(const struct net *net, int64_t converged_ms, bool current)
{
	if (net->messages > net->messages_max)
		return "too many messages";
	if (net->version_regressions > 0)
		return "version of a host regressed";
	if (net->dangling_states > 0)
		return "a state with a dangling reference";
	if (net->refused_content > 0)
		return "content of a refused version";
	if (!current)
		return "not current while the fault lasts";
	if (converged_ms < 0)
		return "no convergence at the head in time";
	return NULL;
}

/*
 * Run one cell and return the digest of the run, which depends only on the
 * seed.
 */
static uint64_t
run_cell(const struct matrix_step *step, const struct matrix_fault *first,
    const struct matrix_fault *second)
{
	struct net_settings settings = {
		.nodes = MATRIX_NODES,
		.seed = matrix_seed,
		.policy = SPREAD_TREE,
		.seeds = NET_SEEDS,
	};
	struct matrix_cell cell = { .net = g_new(struct net, 1) };
	bool current = true;
	const char *failure = "step not reached";
	int64_t ms = -1;
	uint64_t run_digest;

	net_init(cell.net, &settings);
	cell.net->messages_max = MESSAGES_MAX;
	net_publish_fleet(cell.net, 0);
	net_publish_change(cell.net);
	net_publish_change(cell.net);
	net_start_all(cell.net);
	if (net_run_until_converged(cell.net, START_TIMEOUT_MS) < 0)
		goto out;
	net_run(cell.net, IDLE_MS);
	if (!step->reach(&cell))
		goto out;
	cell.victims[1] = (cell.victims[0] + NET_ZONES) % MATRIX_NODES;
	if (first != NULL)
		first->inject(&cell, cell.victims[0]);
	if (second != NULL)
		second->inject(&cell, cell.victims[1]);
	publish_under_fault(&cell);
	if (second == NULL && first != NULL)
		current = is_current(&cell, first);
	cell_clear_faults(&cell);
	ms = net_run_until_converged(cell.net, RECOVERY_TIMEOUT_MS);
	max_recovery_ms = MAX(max_recovery_ms, ms);
	max_messages = MAX(max_messages, cell.net->messages);
	failure = cell_find_failure(cell.net, ms, current);
out:
	if (failure != NULL)
		report_cell(&cell, failure, step->name,
		    first != NULL ? first->name : "none",
		    second != NULL ? second->name : NULL);
	CU_ASSERT_PTR_NULL(failure);
	cells++;
	run_digest = cell.net->run_digest;
	net_release(cell.net);
	g_free(cell.net);
	return run_digest;
}

static void
print_summary(void)
{
	g_print(
	    "%zu cells, seed %" G_GUINT64_FORMAT
	    ": converged at most %d ms after the faults, at most %" G_GUINT64_FORMAT
	    " messages in a cell\n",
	    cells, matrix_seed, (int)max_recovery_ms, max_messages);
}

static void
test_single(void)
{
	for (size_t s = 0; s < matrix_step_count; s++) {
		run_cell(&matrix_steps[s], NULL, NULL);
		for (size_t f = 0; f < matrix_fault_count; f++)
			run_cell(&matrix_steps[s], &matrix_faults[f], NULL);
	}
	print_summary();
}

static void
test_pairs(void)
{
	for (size_t s = 0; s < matrix_step_count; s++)
		for (size_t f = 0; f < matrix_fault_count; f++)
			for (size_t g = f; g < matrix_fault_count; g++)
				run_cell(&matrix_steps[s], &matrix_faults[f],
				    &matrix_faults[g]);
	print_summary();
}

/* The same seed delivers the same frames in the same order. */
static void
test_same_seed_repeats_run(void)
{
	const struct matrix_step *step = &matrix_steps[3];
	const struct matrix_fault *fault = &matrix_faults[11];

	CU_ASSERT_EQUAL(
	    run_cell(step, fault, NULL), run_cell(step, fault, NULL));
}

int
main(int argc, char **argv)
{
	static const struct test_case single[] = {
		{ "every fault at every step", test_single },
		{ "a seed determines the run", test_same_seed_repeats_run },
		{ NULL, NULL },
	};
	static const struct test_case pairs[] = {
		{ "two faults at once at every step", test_pairs },
		{ NULL, NULL },
	};

	if (argc > 2)
		matrix_seed = strtoull(argv[2], NULL, 10);
	return harness_run("mesh-matrix",
	    argc > 1 && strcmp(argv[1], "pairs") == 0 ? pairs : single);
}
