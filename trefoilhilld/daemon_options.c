#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

#include "trefoilhilld/daemon_options.h"

enum {
	EXIT_USAGE = 2,
	GO_ON = -1,
};

static int
complain(const struct daemon_options *options)
{
	fputs(options->usage, stderr);
	return EXIT_USAGE;
}

static int
parse(struct daemon_options *options, int argc, char **argv, bool *check)
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
			*check = true;
			break;
		case 'h':
			fputs(options->usage, stdout);
			return EXIT_SUCCESS;
		case 'v':
			printf(
			    "%s %s\n", options->program, TREFOILHILL_VERSION);
			return EXIT_SUCCESS;
		default:
			return complain(options);
		}
	}
	if (options->config == NULL || optind != argc)
		return complain(options);
	return GO_ON;
}

int
daemon_options_load(struct daemon_options *options, int argc, char **argv,
    struct settings **settings)
{
	GError *error = NULL;
	bool check = false;
	int status = parse(options, argc, argv, &check);

	if (status != GO_ON)
		return status;
	*settings = settings_load(options->config, &error);
	if (*settings == NULL) {
		fprintf(stderr, "%s: %s\n", options->program, error->message);
		g_error_free(error);
		return EXIT_USAGE;
	}
	if (!check)
		return GO_ON;
	settings_free(*settings);
	return EXIT_SUCCESS;
}
