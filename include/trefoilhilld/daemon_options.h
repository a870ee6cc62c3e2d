#ifndef TREFOILHILL_TREFOILHILLD_DAEMON_OPTIONS_H
#define TREFOILHILL_TREFOILHILLD_DAEMON_OPTIONS_H

#include "trefoilhilld/settings.h"

/* Command line options shared by trefoilhilld and trefoilhill-proxy. */
struct daemon_options {
	const char *program; /* name of the program, for messages */
	const char *usage;   /* text of --help */
	const char *config;  /* settings file; set by daemon_options_load */
};

/*
 * Parse the command line and load the settings file. Returns -1 when the daemon
 * is to run; the caller then frees the settings with settings_free. Otherwise
 * returns the exit status: 0 after --help, --version or a successful --check, 2
 * after a message about an error on standard error.
 */
int daemon_options_load(struct daemon_options *options, int argc, char **argv,
    struct settings **settings);

#endif
