#ifndef TREFOILHILL_TREFOILHILLD_DAEMON_OPTIONS_H
#define TREFOILHILL_TREFOILHILLD_DAEMON_OPTIONS_H

#include "trefoilhilld/settings.h"

/* What the programs that run as daemons have in common on the command line. */
struct daemon_options {
	const char *program; /* its name, for messages */
	const char *usage;   /* text of --help */
	const char *config;  /* path of the settings; set by the loading */
};

/*
 * Parse the command line and load the settings that it names. Returns -1 to go
 * on, or the status to exit with, when there is nothing to run or, after a
 * message on standard error, something is wrong.
 */
int daemon_options_load(struct daemon_options *options, int argc, char **argv,
    struct settings **settings);

#endif
