#include <getopt.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "fleet_net.h"

/*
 * What a whole fleet reads from the platform when all its nodes begin anew at
 * one moment, then at rest, then under changes.
 */
enum {
	ZONES_SMALL = 3,
	NODES_MIN = ZONES_SMALL * FLEET_NET_SEEDS_MAX,
	ZONES_LARGE = 16,
	LARGE_FLEET = 1000,
	HERD_S_MAX = 180,
	SETTLE_S = 20,
	REST_S = 20,
	CHANGES = 4,
	CHANGE_PERIOD_MS = 5400, /* 16,000 a day */
};

struct figures {
	size_t nodes;
	size_t zones;
	double ready_s; /* until every node was ready */
	size_t unready;
	struct platform_load herd;
	struct platform_load rest;
	struct platform_load changes;
};

/* The load of the seconds to come; what is under way goes on counting. */
static void
begin_phase(struct fleet_net *net)
{
	net->load =
	    (struct platform_load){ .this_second = net->load.this_second };
}

static void
run_seconds(struct fleet_net *net, size_t seconds)
{
	for (size_t i = 0; i < seconds * FLEET_NET_TICKS_PER_S; i++)
		fleet_net_tick(net);
}

static void
measure(size_t nodes, const struct fleet_start *start, struct figures *out)
{
	struct fleet_net *net;
	struct fleet fleet;

	fleet_init(
	    &fleet, nodes, nodes < LARGE_FLEET ? ZONES_SMALL : ZONES_LARGE);
	net = fleet_net_new(&fleet, start);
	out->nodes = nodes;
	out->zones = fleet.zones;
	for (size_t i = 0; i < HERD_S_MAX && fleet_net_unready(net) > 0; i++)
		run_seconds(net, 1);
	out->unready = fleet_net_unready(net);
	out->ready_s = (double)net->ticks / FLEET_NET_TICKS_PER_S;
	run_seconds(net, SETTLE_S);
	out->herd = net->load;
	begin_phase(net);
	run_seconds(net, REST_S);
	out->rest = net->load;
	begin_phase(net);
	for (size_t i = 0; i < CHANGES; i++) {
		fleet_net_publish_change(net);
		for (size_t j = 0; j < CHANGE_PERIOD_MS / MESH_TICK_MS; j++)
			fleet_net_tick(net);
	}
	out->changes = net->load;
	fleet_net_free(net);
}

static void
print_row(const struct figures *f)
{
	printf("%7zu %5zu %7zu %8.0f %9" G_GUINT64_FORMAT " %9" G_GUINT64_FORMAT
	       " %9.1f %9" G_GUINT64_FORMAT " %9.1f %9" G_GUINT64_FORMAT "\n",
	    f->nodes, f->zones, f->unready, f->ready_s, f->herd.total,
	    f->herd.peak, platform_load_mean(&f->rest), f->rest.peak,
	    platform_load_mean(&f->changes), f->changes.peak);
	fflush(stdout);
}

static void
print_json(const struct figures *f)
{
	json_t *row = json_pack("{s:I,s:I,s:I,s:f,s:I,s:I,s:f,s:I,s:f,s:I}",
	    "nodes", (json_int_t)f->nodes, "zones", (json_int_t)f->zones,
	    "unready", (json_int_t)f->unready, "ready_s", f->ready_s,
	    "herd_reads", (json_int_t)f->herd.total, "herd_peak_per_s",
	    (json_int_t)f->herd.peak, "rest_mean_per_s",
	    platform_load_mean(&f->rest), "rest_peak_per_s",
	    (json_int_t)f->rest.peak, "changes_mean_per_s",
	    platform_load_mean(&f->changes), "changes_peak_per_s",
	    (json_int_t)f->changes.peak);
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
	      "Count what a fleet reads from the platform after all its nodes\n"
	      "began anew at one moment, at rest, and under 16,000 changes a\n"
	      "day. N is the seeds that a node has in its zone, 0 to 3,\n"
	      "default 3; with --lose-states no whole state arrives\n"
	      "from a peer, so that each node must read the platform.\n"
	      "Default sizes 12 48 144 1000 4000 15000.\n",
	    out);
}

int
main(int argc, char **argv)
{
	static const struct option options[] = {
		{ "json", no_argument, NULL, 'j' },
		{ "lose-states", no_argument, NULL, 'l' },
		{ "seeds", required_argument, NULL, 's' },
		{ "help", no_argument, NULL, 'h' },
		{ NULL, 0, NULL, 0 },
	};
	static const size_t sizes[] = { 12, 48, 144, 1000, 4000, 15000 };
	size_t count = G_N_ELEMENTS(sizes);
	struct fleet_start start = { .seeds = FLEET_NET_SEEDS_MAX };
	bool json = false;
	int option;

	while ((option = getopt_long(argc, argv, "h", options, NULL)) != -1) {
		if (option == 'h') {
			usage(stdout);
			return EXIT_SUCCESS;
		}
		if (option == 'j')
			json = true;
		if (option == 'l')
			start.lose_states = true;
		if (option == 's')
			start.seeds = strtoul(optarg, NULL, 10);
		if (option == '?' || start.seeds > FLEET_NET_SEEDS_MAX) {
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
		struct figures figures = { 0 };

		measure(MAX(nodes, (size_t)NODES_MIN), &start, &figures);
		if (json)
			print_json(&figures);
		else
			print_row(&figures);
	}
	return EXIT_SUCCESS;
}
