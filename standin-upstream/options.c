#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

#include "standin-platform/option_number.h"
#include "standin-upstream/options.h"

enum {
	SLOTS_MAX = 10000,
	CONNECTIONS_MAX = 2000,
	QUEUE_MAX = 100000,
	WAIT_MS_MAX = 600000,
	COST_US_MAX = 1000000,
	SLOWDOWN_MAX = 1000,
};

static const char usage[] =
    "usage: trefoilhill-standin-upstream --listen IP:PORT [OPTION]...\n"
    "Stand in for an upstream in tests. Options:\n"
    "  --listen IP:PORT        serve HTTP here\n"
    "  --name NAME             name given in X-Standin-Name\n"
    "  --slots N               requests at work at once (12)\n"
    "  --queue N               requests waiting for a slot (24)\n"
    "  --queue-wait-ms N       longest wait for a slot (1000)\n"
    "  --connections N         connections served at once (120)\n"
    "  --connect-cost-us N     cost of a new connection (1000)\n"
    "  --cold                  start cold: one slot, one more for each ten\n"
    "                          completed answers; falls over beyond that\n"
    "  --cold-slowdown N       work takes N times as long while cold (1)\n"
    "  --help, --version\n";

static const struct option long_options[] = {
	{ "listen", required_argument, NULL, 'l' },
	{ "name", required_argument, NULL, 'n' },
	{ "slots", required_argument, NULL, 's' },
	{ "queue", required_argument, NULL, 'q' },
	{ "queue-wait-ms", required_argument, NULL, 'w' },
	{ "connections", required_argument, NULL, 'c' },
	{ "connect-cost-us", required_argument, NULL, 'u' },
	{ "cold", no_argument, NULL, 'C' },
	{ "cold-slowdown", required_argument, NULL, 'S' },
	{ "help", no_argument, NULL, 'h' },
	{ "version", no_argument, NULL, 'V' },
	{ NULL, 0, NULL, 0 },
};

static void
set_number(struct upstream_options *options, int option)
{
	switch (option) {
	case 's':
		options->slots =
		    option_parse_number("slots", optarg, 1, SLOTS_MAX);
		break;
	case 'q':
		options->queue_limit =
		    option_parse_number("queue", optarg, 0, QUEUE_MAX);
		break;
	case 'w':
		options->queue_wait_ms = option_parse_number(
		    "queue-wait-ms", optarg, 0, WAIT_MS_MAX);
		break;
	case 'c':
		options->connections = option_parse_number(
		    "connections", optarg, 1, CONNECTIONS_MAX);
		break;
	case 'u':
		options->connect_cost_us = option_parse_number(
		    "connect-cost-us", optarg, 0, COST_US_MAX);
		break;
	case 'S':
		options->cold_slowdown = option_parse_number(
		    "cold-slowdown", optarg, 1, SLOWDOWN_MAX);
		break;
	default:
		fputs(usage, stderr);
		exit(EXIT_USAGE);
	}
}

/*
 * Fill the options from the command line. Exits for --help and --version,
 * and with status 2 on a usage error.
 */
void
upstream_options_parse(struct upstream_options *options, int argc, char **argv)
{
	int option;

	*options = (struct upstream_options){
		.name = "upstream",
		.slots = 12,
		.queue_limit = 24,
		.queue_wait_ms = 1000,
		.connections = 120,
		.connect_cost_us = 1000,
		.cold_slowdown = 1,
	};
	while (
	    (option = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
		switch (option) {
		case 'l':
			options->listen = optarg;
			break;
		case 'n':
			options->name = optarg;
			break;
		case 'C':
			options->cold = true;
			break;
		case 'h':
			fputs(usage, stdout);
			exit(EXIT_SUCCESS);
		case 'V':
			puts(
			    "trefoilhill-standin-upstream " TREFOILHILL_VERSION);
			exit(EXIT_SUCCESS);
		default:
			set_number(options, option);
		}
	}
	if (options->listen == NULL || optind != argc) {
		fputs(usage, stderr);
		exit(EXIT_USAGE);
	}
}
