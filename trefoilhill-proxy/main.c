#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "trefoilhill-proxy/proxy.h"
#include "trefoilhill-proxy/settings_watch.h"
#include "trefoilhilld/daemon_options.h"

static const char usage[] =
    "usage: trefoilhill-proxy --config FILE [--check]\n"
    "\n"
    "Node proxy of one upstream: forwards requests of local callers to\n"
    "upstreams, and limits the load on its own upstream.\n"
    "\n"
    "  -c, --config FILE  settings, see trefoilhilld.ini(5)\n"
    "  -C, --check        check the settings and exit\n"
    "  -h, --help         print this text\n"
    "  -v, --version      print the version\n"
    "\n"
    "SIGTERM and SIGINT begin a graceful shutdown. The settings are read again\n"
    "on SIGHUP, and when the file has changed.\n";

/* Argument of the signal handlers. */
struct process {
	struct proxy *proxy;
	const char *config;
};

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

/* Block or unblock the signals that the loop handles. */
static void
mask_signals(int how)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGHUP);
	pthread_sigmask(how, &signals, NULL);
}

static int
run(struct settings *settings, const char *config)
{
	uv_loop_t *loop = uv_default_loop();
	struct process process = { .config = config };
	struct settings_watch *watch;
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
	mask_signals(SIG_UNBLOCK);
	watch = settings_watch_new(process.proxy, config);
	uv_run(loop, UV_RUN_DEFAULT);
	settings_watch_free(watch);
	proxy_free(process.proxy);
	return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
	struct daemon_options options = {
		.program = "trefoilhill-proxy",
		.usage = usage,
	};
	struct settings *settings;
	int status;

	/* Their default action would end a process that accepts callers. */
	mask_signals(SIG_BLOCK);
	status = daemon_options_load(&options, argc, argv, &settings);
	if (status >= 0)
		return status;
	signal(SIGPIPE, SIG_IGN);
	return run(settings, options.config);
}
