#include <getopt.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "standin-platform/http.h"
#include "standin-platform/option_number.h"
#include "standin-platform/platform.h"
#include "standin-platform/serve.h"

enum {
	DEFAULT_THREADS = 512,
	THREADS_MAX = 4000,
};

static const char usage[] =
    "usage: trefoilhill-standin-platform --listen IP:PORT [OPTION]...\n"
    "Stand in for the platform in tests. Options:\n"
    "  --listen IP:PORT   serve HTTP here\n"
    "  --threads N        connections served at once, watches too (512)\n"
    "  --name NAME        ignored; names the process in a process list\n"
    "  --help, --version\n";

static const struct option long_options[] = {
	{ "listen", required_argument, NULL, 'l' },
	{ "threads", required_argument, NULL, 't' },
	{ "name", required_argument, NULL, 'n' },
	{ "help", no_argument, NULL, 'h' },
	{ "version", no_argument, NULL, 'V' },
	{ NULL, 0, NULL, 0 },
};

static void
parse_options(int argc, char **argv, struct standin_http_settings *settings)
{
	int option;

	while (
	    (option = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
		switch (option) {
		case 'l':
			settings->listen = optarg;
			break;
		case 't':
			settings->threads = option_parse_number(
			    "threads", optarg, 1, THREADS_MAX);
			break;
		case 'n':
			break;
		case 'h':
			fputs(usage, stdout);
			exit(EXIT_SUCCESS);
		case 'V':
			puts(
			    "trefoilhill-standin-platform " TREFOILHILL_VERSION);
			exit(EXIT_SUCCESS);
		default:
			fputs(usage, stderr);
			exit(EXIT_USAGE);
		}
	}
	if (settings->listen == NULL || optind != argc) {
		fputs(usage, stderr);
		exit(EXIT_USAGE);
	}
}

int
main(int argc, char **argv)
{
	struct standin_http_settings settings = {
		.threads = DEFAULT_THREADS,
		.handler = serve_request,
	};
	struct platform *platform = NULL;
	struct mg_context *server = NULL;
	GError *error = NULL;
	int status = EXIT_FAILURE;

	parse_options(argc, argv, &settings);
	standin_http_block_signals();
	platform = platform_new();
	settings.arg = platform;
	server = standin_http_start(&settings, &error);
	if (server == NULL) {
		fprintf(stderr, "trefoilhill-standin-platform: %s\n",
		    error->message);
		goto out;
	}
	standin_http_wait_for_signal();
	status = EXIT_SUCCESS;
out:
	platform_stop(platform);
	if (server != NULL)
		mg_stop(server);
	platform_free(platform);
	g_clear_error(&error);
	return status;
}
