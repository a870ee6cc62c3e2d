#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>

#include "trefoilhilld/daemon_options.h"
#include "trefoilhilld/log.h"
#include "trefoilhilld/node.h"

enum {
	POLL_INTERVAL_MS = 50,
};

static const char usage[] =
    "usage: trefoilhilld --config FILE [--check]\n"
    "\n"
    "Runs one node of the mesh, which distributes the platform's configuration\n"
    "and forwards callers' requests to upstreams.\n"
    "\n"
    "  -c, --config FILE  settings, see trefoilhilld.ini(5)\n"
    "  -C, --check        check the settings and exit\n"
    "  -h, --help         print this text\n"
    "  -v, --version      print the version\n"
    "\n"
    "SIGTERM and SIGINT begin a graceful shutdown.\n";

/*
 * Wait for SIGTERM, SIGINT or a drain request to the operator listener, then
 * until no request is in flight.
 */
static void
node_wait_drained(struct node *node, const sigset_t *signals)
{
	struct timespec interval = timespec_from_ms(POLL_INTERVAL_MS);

	while (!node_is_draining(node)) {
		int signal_number = sigtimedwait(signals, NULL, &interval);

		if (signal_number == SIGTERM || signal_number == SIGINT)
			node_drain(node);
	}
	g_message("draining, waiting for requests in flight");
	while (!node_is_idle(node))
		nanosleep(&interval, NULL);
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
		node_wait_drained(node, signals);
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
	struct daemon_options options = {
		.program = "trefoilhilld",
		.usage = usage,
	};
	struct settings *settings;
	sigset_t signals;
	int status;

	status = daemon_options_load(&options, argc, argv, &settings);
	if (status >= 0)
		return status;
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
