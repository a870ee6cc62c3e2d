#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "trefoilhill-proxy/proxy.h"

enum {
	EXIT_USAGE = 2,
};

struct options {
	const char *config;
	bool check;
};

static const char usage[] =
    "usage: trefoilhill-proxy --config FILE [--check]\n"
    "\n"
    "The node beside one upstream: takes its callers' requests, brings them\n"
    "to upstreams, and guards its own.\n"
    "\n"
    "  -c, --config FILE  settings, see trefoilhilld.ini(5)\n"
    "  -C, --check        check the settings and exit\n"
    "  -h, --help         print this text\n"
    "  -v, --version      print the version\n"
    "\n"
    "SIGTERM and SIGINT begin a graceful shutdown, SIGHUP reads the settings\n"
    "again.\n";

/* What the signals' handlers act on. */
struct process {
	struct proxy *proxy;
	const char *config;
};

/*
 * Parse the command line. Returns -1 to go on, or the status to exit with.
 */
static int
options_parse(int argc, char **argv, struct options *options)
{
	static const struct option longs[] = {
		{ "config", required_argument, NULL, 'c' },
		{ "check", no_argument, NULL, 'C' },
		{ "help", no_argument, NULL, 'h' },
		{ "version", no_argument, NULL, 'v' },
		{ NULL, 0, NULL, 0 },
	};
	int option;

	while ((option = getopt_long(argc, argv, "c:Chv", longs, NULL)) != -1) {
		switch (option) {
		case 'c':
			options->config = optarg;
			break;
		case 'C':
			options->check = true;
			break;
		case 'h':
			fputs(usage, stdout);
			return EXIT_SUCCESS;
		case 'v':
			puts("trefoilhill-proxy " TREFOILHILL_VERSION);
			return EXIT_SUCCESS;
		default:
			fputs(usage, stderr);
			return EXIT_USAGE;
		}
	}
	if (options->config == NULL || optind != argc) {
		fputs(usage, stderr);
		return EXIT_USAGE;
	}
	return -1;
}

static void
handle_stop(uv_signal_t *signal, int number)
{
	struct process *process = signal->data;

	proxy_stop(process->proxy);
}

static void
handle_reload(uv_signal_t *signal, int number)
{
	struct process *process = signal->data;

	proxy_reload(process->proxy, process->config);
}

static int
run(struct settings *settings, const char *config)
{
	uv_loop_t *loop = uv_default_loop();
	struct process process = { .config = config };
	uv_signal_t terminate, interrupt, hang_up;
	GError *error = NULL;

	process.proxy = proxy_new(loop, settings, &error);
	if (process.proxy == NULL) {
		fprintf(stderr, "trefoilhill-proxy: %s\n", error->message);
		g_error_free(error);
		return EXIT_FAILURE;
	}
	uv_signal_init(loop, &terminate);
	uv_signal_init(loop, &interrupt);
	uv_signal_init(loop, &hang_up);
	terminate.data = interrupt.data = hang_up.data = &process;
	uv_signal_start(&terminate, handle_stop, SIGTERM);
	uv_signal_start(&interrupt, handle_stop, SIGINT);
	uv_signal_start(&hang_up, handle_reload, SIGHUP);
	uv_run(loop, UV_RUN_DEFAULT);
	proxy_free(process.proxy);
	return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
	struct options options = { 0 };
	struct settings *settings;
	GError *error = NULL;
	int status;

	status = options_parse(argc, argv, &options);
	if (status >= 0)
		return status;
	settings = settings_load(options.config, &error);
	if (settings == NULL) {
		fprintf(stderr, "trefoilhill-proxy: %s\n", error->message);
		g_error_free(error);
		return EXIT_USAGE;
	}
	if (options.check) {
		settings_free(settings);
		return EXIT_SUCCESS;
	}
	signal(SIGPIPE, SIG_IGN);
	return run(settings, options.config);
}
