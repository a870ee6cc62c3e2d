#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

#include "trefoilhill-load/options.h"
#include "trefoilhill-load/request_kind.h"

enum {
	EXIT_USAGE = 2,
	DECIMAL = 10,
	THREADS_MAX = 32,
	CONNECTIONS_MAX = 1000,
	IN_FLIGHT_MAX = 100000,
	TIMEOUT_MS_MAX = 3600000,
};

static const double rate_max = 1e6;
static const double duration_max_s = 86400;
static const double requests_max = 5e7;

static const char usage[] =
    "usage: trefoilhill-load --node IP:PORT... [OPTION]...\n"
    "Send requests at a fixed rate and verify every response. Options:\n"
    "  --node IP:PORT[,...]      nodes to call, chosen at random\n"
    "  --upstream IP:PORT[,...]  stand-in upstreams that count executions\n"
    "  --direct                  call the upstreams instead of the nodes\n"
    "  --request METHOD,AUTHORITY,/TARGET,WEIGHT[,TIMEOUT_MS]\n"
    "                            a kind of request in the mix; may be repeated\n"
    "                            (GET,,/?size=1024,1)\n"
    "  --rate N                  requests per second (100)\n"
    "  --duration S              duration of the run in seconds (10)\n"
    "  --timeout-ms N            Trefoilhill-Timeout-Ms of a request (2000)\n"
    "  --threads N               sender threads (1)\n"
    "  --connections N           maximum connections per node and thread (64)\n"
    "  --in-flight N             maximum requests in flight per thread (2000)\n"
    "  --seed N                  seed for the choice of kinds and nodes (1)\n"
    "  --json                    print one JSON object\n"
    "  --per-second              also print a row for each second\n"
    "  --help, --version\n"
    "Latency is measured from the time a request was due, not from when it\n"
    "was sent. Exit status 1: a response was wrong, a non-idempotent request\n"
    "was executed twice, or a request reported as not run was executed.\n";

static const struct option long_options[] = {
	{ "node", required_argument, NULL, 'n' },
	{ "upstream", required_argument, NULL, 'u' },
	{ "direct", no_argument, NULL, 'd' },
	{ "request", required_argument, NULL, 'r' },
	{ "rate", required_argument, NULL, 'R' },
	{ "duration", required_argument, NULL, 'D' },
	{ "timeout-ms", required_argument, NULL, 't' },
	{ "threads", required_argument, NULL, 'T' },
	{ "connections", required_argument, NULL, 'c' },
	{ "in-flight", required_argument, NULL, 'f' },
	{ "seed", required_argument, NULL, 's' },
	{ "json", no_argument, NULL, 'j' },
	{ "per-second", no_argument, NULL, 'p' },
	{ "help", no_argument, NULL, 'h' },
	{ "version", no_argument, NULL, 'V' },
	{ NULL, 0, NULL, 0 },
};

static void G_GNUC_NORETURN
fail_usage(void)
{
	fputs(usage, stderr);
	exit(EXIT_USAGE);
}

static uint64_t
parse_integer(const char *option, uint64_t min, uint64_t max)
{
	GError *error = NULL;
	guint64 number;

	if (!g_ascii_string_to_unsigned(
		optarg, DECIMAL, min, max, &number, &error)) {
		fprintf(stderr, "trefoilhill-load: --%s: %s\n", option,
		    error->message);
		g_error_free(error);
		exit(EXIT_USAGE);
	}
	return number;
}

static double
parse_real(const char *option, double max)
{
	char *end;
	double number = g_ascii_strtod(optarg, &end);

	if (*end != '\0' || end == optarg || !(number > 0 && number <= max)) {
		fprintf(stderr,
		    "trefoilhill-load: --%s %s: expected a number greater than "
		    "0 and at most %g\n",
		    option, optarg, max);
		exit(EXIT_USAGE);
	}
	return number;
}

static void
add_addresses(GPtrArray *addresses)
{
	char **list = g_strsplit(optarg, ",", 0);

	for (char **address = list; *address != NULL; address++)
		g_ptr_array_add(addresses, g_strdup(*address));
	g_strfreev(list);
}

static void
add_kind(GPtrArray *kinds, const char *text)
{
	GError *error = NULL;
	struct request_kind *kind = request_kind_parse(text, &error);

	if (kind == NULL) {
		fprintf(stderr, "trefoilhill-load: %s\n", error->message);
		g_error_free(error);
		exit(EXIT_USAGE);
	}
	g_ptr_array_add(kinds, kind);
}

static void
set_number(struct load_options *options, int option)
{
	switch (option) {
	case 'R':
		options->rate = parse_real("rate", rate_max);
		break;
	case 'D':
		options->duration_s = parse_real("duration", duration_max_s);
		break;
	case 't':
		options->timeout_ms =
		    (uint32_t)parse_integer("timeout-ms", 1, TIMEOUT_MS_MAX);
		break;
	case 'T':
		options->threads =
		    (uint32_t)parse_integer("threads", 1, THREADS_MAX);
		break;
	case 'c':
		options->connections =
		    (uint32_t)parse_integer("connections", 1, CONNECTIONS_MAX);
		break;
	case 'f':
		options->in_flight =
		    (uint32_t)parse_integer("in-flight", 1, IN_FLIGHT_MAX);
		break;
	case 's':
		options->seed = parse_integer("seed", 0, G_MAXUINT64);
		break;
	default:
		fail_usage();
	}
}

static void
set_option(struct load_options *options, int option)
{
	switch (option) {
	case 'n':
		add_addresses(options->nodes);
		break;
	case 'u':
		add_addresses(options->upstreams);
		break;
	case 'r':
		add_kind(options->kinds, optarg);
		break;
	case 'd':
		options->direct = true;
		break;
	case 'j':
		options->json = true;
		break;
	case 'p':
		options->per_second = true;
		break;
	case 'h':
		fputs(usage, stdout);
		exit(EXIT_SUCCESS);
	case 'V':
		puts("trefoilhill-load " TREFOILHILL_VERSION);
		exit(EXIT_SUCCESS);
	default:
		set_number(options, option);
	}
}

/*
 * Parses the command line. Exits the process after --help or --version, and
 * with status 2 on a usage error.
 */
void
load_options_parse(struct load_options *options, int argc, char **argv)
{
	int option;

	*options = (struct load_options){
		.nodes = g_ptr_array_new_with_free_func(g_free),
		.upstreams = g_ptr_array_new_with_free_func(g_free),
		.kinds = g_ptr_array_new_with_free_func(
		    (GDestroyNotify)request_kind_free),
		.rate = 100,
		.duration_s = 10,
		.timeout_ms = 2000,
		.threads = 1,
		.connections = 64,
		.in_flight = 2000,
		.seed = 1,
	};
	while ((option = getopt_long(argc, argv, "", long_options, NULL)) != -1)
		set_option(options, option);
	if (optind != argc || load_options_targets(options)->len == 0)
		fail_usage();
	if (options->rate * options->duration_s > requests_max) {
		fprintf(stderr,
		    "trefoilhill-load: --rate times --duration exceeds %g\n",
		    requests_max);
		exit(EXIT_USAGE);
	}
	if (options->kinds->len == 0)
		add_kind(options->kinds, "GET,,/?size=1024,1");
}

/*
 * Releases the memory held by the options.
 */
void
load_options_clear(struct load_options *options)
{
	g_ptr_array_unref(options->nodes);
	g_ptr_array_unref(options->upstreams);
	g_ptr_array_unref(options->kinds);
}

/*
 * Returns the addresses to send requests to, borrowed from the options.
 */
const GPtrArray *
load_options_targets(const struct load_options *options)
{
	return options->direct ? options->upstreams : options->nodes;
}
