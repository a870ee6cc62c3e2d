#include <curl/curl.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "trefoilhilld/log.h"
#include "trefoilhilld/node.h"

enum {
	EXIT_USAGE = 2,
	IDLE_POLL_MS = 50,
};

struct options {
	const char *config;
	bool check;
};

static const char usage[] =
    "usage: trefoilhilld --config FILE [--check]\n"
    "\n"
    "One node of the mesh: carries configuration from the platform and\n"
    "brings callers' requests to upstreams.\n"
    "\n"
    "  -c, --config FILE  settings, see trefoilhilld.ini(5)\n"
    "  -C, --check        check the settings and exit\n"
    "  -h, --help         print this text\n"
    "  -v, --version      print the version\n"
    "\n"
    "SIGTERM and SIGINT begin a graceful shutdown.\n";

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
			puts("trefoilhilld " TREFOILHILL_VERSION);
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

/* Wait for a signal that ends the node, or for an operator's drain. */
static void
drain_wait(struct node *node, const sigset_t *signals)
{
	struct timespec poll = timespec_from_ms(IDLE_POLL_MS);

	while (!node_is_draining(node)) {
		int number = sigtimedwait(signals, NULL, &poll);

		if (number == SIGTERM || number == SIGINT)
			node_drain(node);
	}
	g_message("draining");
	while (!node_is_idle(node))
		nanosleep(&poll, NULL);
}

static int
node_run(const struct settings *settings, const sigset_t *signals)
{
	GError *error = NULL;
	struct node *node = NULL;
	int status = EXIT_FAILURE;

	node = node_new(settings, &error);
	if (node == NULL)
		goto done;
	if (node_start(node, &error) == 0) {
		g_message("started, incarnation %" G_GUINT64_FORMAT,
		    node_incarnation(node));
		drain_wait(node, signals);
		status = EXIT_SUCCESS;
	}
	node_stop(node);
done:
	if (error != NULL) {
		g_warning("%s", error->message);
		g_error_free(error);
	}
	node_free(node);
	if (status == EXIT_SUCCESS)
		g_message("stopped");
	return status;
}

int
main(int argc, char **argv)
{
	struct options options = { 0 };
	struct settings *settings;
	GError *error = NULL;
	sigset_t signals;
	int status;

	status = options_parse(argc, argv, &options);
	if (status >= 0)
		return status;
	settings = settings_load(options.config, &error);
	if (settings == NULL) {
		fprintf(stderr, "trefoilhilld: %s\n", error->message);
		g_error_free(error);
		return EXIT_USAGE;
	}
	if (options.check) {
		settings_free(settings);
		return EXIT_SUCCESS;
	}
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	log_setup(settings->node.host, settings->log.level);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	status = node_run(settings, &signals);
	curl_global_cleanup();
	settings_free(settings);
	return status;
}
