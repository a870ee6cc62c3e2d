#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

#include "trefoilhilld/daemon_options.h"

enum {
	EXIT_USAGE = 2,
	OPTIONS_LOADED = -1,
};

static int
usage_error(const struct daemon_options *options)
{
	fputs(options->usage, stderr);
	return EXIT_USAGE;
}

static int
options_parse(
    struct daemon_options *options, int argc, char **argv, bool *check_only)
{
	static const struct option long_options[] = {
		{ "config", required_argument, NULL, 'c' },
		{ "check", no_argument, NULL, 'C' },
		{ "help", no_argument, NULL, 'h' },
		{ "version", no_argument, NULL, 'v' },
		{ NULL, 0, NULL, 0 },
	};
	int option;

	while ((option = getopt_long(
		    argc, argv, "c:Chv", long_options, NULL)) != -1) {
		switch (option) {
		case 'c':
			options->config = optarg;
			break;
		case 'C':
			*check_only = true;
			break;
		case 'h':
			fputs(options->usage, stdout);
			return EXIT_SUCCESS;
		case 'v':
			printf(
			    "%s %s\n", options->program, TREFOILHILL_VERSION);
			return EXIT_SUCCESS;
		default:
			return usage_error(options);
		}
	}
	if (options->config == NULL || optind != argc)
		return usage_error(options);
	return OPTIONS_LOADED;
}

int
daemon_options_load(struct daemon_options *options, int argc, char **argv,
    struct settings **settings)
{
	GError *error = NULL;
	bool check_only = false;
	int status = options_parse(options, argc, argv, &check_only);

	if (status != OPTIONS_LOADED)
		return status;
	*settings = settings_load(options->config, &error);
	if (*settings == NULL) {
		fprintf(stderr, "%s: %s\n", options->program, error->message);
		g_error_free(error);
		return EXIT_USAGE;
	}
	if (!check_only)
		return OPTIONS_LOADED;
	settings_free(*settings);
	return EXIT_SUCCESS;
}
