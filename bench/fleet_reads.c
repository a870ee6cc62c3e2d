#include <getopt.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "fleet_sim.h"

/*
 * Counts the requests of a whole fleet to the platform while all nodes restart
 * at the same time, then while idle, then under configuration changes.
 */
enum {
	ZONES_SMALL = 3,
	NODES_MIN = ZONES_SMALL * FLEET_SIM_SEEDS_MAX,
	ZONES_LARGE = 16,
	LARGE_FLEET = 1000,
	READY_TIMEOUT_S = 180,
	SETTLE_S = 20,
	IDLE_S = 20,
	CHANGES = 4,
	CHANGE_PERIOD_MS = 5400, /* 16,000 a day */
};

struct results {
	size_t nodes;
	size_t zones;
	double ready_s; /* until every node was ready, or the timeout */
	size_t unready;
	struct platform_load restart;
	struct platform_load idle;
	struct platform_load changes;
};

/*
 * Reset the totals for the next phase. Reads already counted in the current
 * second, pending watches included, are kept.
 */
static void
reset_load(struct fleet_sim *sim)
{
	sim->load =
	    (struct platform_load){ .current_second_reads =
					sim->load.current_second_reads };
}

static void
run_seconds(struct fleet_sim *sim, size_t seconds)
{
	for (size_t i = 0; i < seconds * FLEET_SIM_TICKS_PER_S; i++)
		fleet_sim_tick(sim);
}

static void
measure(
    size_t nodes, const struct fleet_sim_options *options, struct results *out)
{
	struct fleet_sim *sim;
	struct fleet fleet;

	fleet_init(
	    &fleet, nodes, nodes < LARGE_FLEET ? ZONES_SMALL : ZONES_LARGE);
	sim = fleet_sim_new(&fleet, options);
	out->nodes = nodes;
	out->zones = fleet.zones;
	for (size_t i = 0;
	     i < READY_TIMEOUT_S && fleet_sim_unready_count(sim) > 0; i++)
		run_seconds(sim, 1);
	out->unready = fleet_sim_unready_count(sim);
	out->ready_s = (double)sim->ticks / FLEET_SIM_TICKS_PER_S;
	run_seconds(sim, SETTLE_S);
	out->restart = sim->load;
	reset_load(sim);
	run_seconds(sim, IDLE_S);
	out->idle = sim->load;
	reset_load(sim);
	for (size_t i = 0; i < CHANGES; i++) {
		fleet_sim_publish_change(sim);
		for (size_t j = 0; j < CHANGE_PERIOD_MS / MESH_TICK_MS; j++)
			fleet_sim_tick(sim);
	}
	out->changes = sim->load;
	fleet_sim_free(sim);
}

static void
print_row(const struct results *results)
{
	printf("%7zu %5zu %7zu %8.0f %9" G_GUINT64_FORMAT " %9" G_GUINT64_FORMAT
	       " %9.1f %9" G_GUINT64_FORMAT " %9.1f %9" G_GUINT64_FORMAT "\n",
	    results->nodes, results->zones, results->unready, results->ready_s,
	    results->restart.total_reads, results->restart.peak_reads,
	    platform_load_mean(&results->idle), results->idle.peak_reads,
	    platform_load_mean(&results->changes), results->changes.peak_reads);
	fflush(stdout);
}

static void
print_json(const struct results *results)
{
	json_t *row = json_pack("{s:I,s:I,s:I,s:f,s:I,s:I,s:f,s:I,s:f,s:I}",
	    "nodes", (json_int_t)results->nodes, "zones",
	    (json_int_t)results->zones, "unready", (json_int_t)results->unready,
	    "ready_s", results->ready_s, "herd_reads",
	    (json_int_t)results->restart.total_reads, "herd_peak_per_s",
	    (json_int_t)results->restart.peak_reads, "rest_mean_per_s",
	    platform_load_mean(&results->idle), "rest_peak_per_s",
	    (json_int_t)results->idle.peak_reads, "changes_mean_per_s",
	    platform_load_mean(&results->changes), "changes_peak_per_s",
	    (json_int_t)results->changes.peak_reads);
	char *text = json_dumps(row, JSON_COMPACT);

	puts(text);
	fflush(stdout);
	free(text);
	json_decref(row);
}

static void
usage(FILE *out)
{
	fputs("usage: bench-fleet-reads [--json] [--seeds=N] [--lose-states]\n"
	      "       [NODES ...]\n"
	      "Count a fleet's reads of the platform when all nodes start at\n"
	      "once, while idle, and under 16,000 changes a day. N is the\n"
	      "number of seeds per node in its zone, 0 to 3, default 3.\n"
	      "--lose-states drops state transfers between nodes, so that\n"
	      "each node must read the platform.\n"
	      "Default sizes 12 48 144 1000 4000 15000.\n",
	    out);
}

int
main(int argc, char **argv)
{
	static const struct option long_options[] = {
		{ "json", no_argument, NULL, 'j' },
		{ "lose-states", no_argument, NULL, 'l' },
		{ "seeds", required_argument, NULL, 's' },
		{ "help", no_argument, NULL, 'h' },
		{ NULL, 0, NULL, 0 },
	};
	static const size_t sizes[] = { 12, 48, 144, 1000, 4000, 15000 };
	size_t count = G_N_ELEMENTS(sizes);
	struct fleet_sim_options options = { .seeds = FLEET_SIM_SEEDS_MAX };
	bool json = false;
	int option;

	while (
	    (option = getopt_long(argc, argv, "h", long_options, NULL)) != -1) {
		if (option == 'h') {
			usage(stdout);
			return EXIT_SUCCESS;
		}
		if (option == 'j')
			json = true;
		if (option == 'l')
			options.drop_states = true;
		if (option == 's')
			options.seeds = strtoul(optarg, NULL, 10);
		if (option == '?' || options.seeds > FLEET_SIM_SEEDS_MAX) {
			usage(stderr);
			return 2;
		}
	}
	if (argc > optind)
		count = (size_t)(argc - optind);
	if (!json)
		puts("  nodes zones unready  ready s herd read peak in s  rest "
		     "mean  rest max  chg mean   chg max");
	for (size_t i = 0; i < count; i++) {
		size_t nodes = argc > optind
		    ? strtoul(argv[optind + (int)i], NULL, 10)
		    : sizes[i];
		struct results results = { 0 };

		measure(MAX(nodes, (size_t)NODES_MIN), &options, &results);
		if (json)
			print_json(&results);
		else
			print_row(&results);
	}
	return EXIT_SUCCESS;
}
