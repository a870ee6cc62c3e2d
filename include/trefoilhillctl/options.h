#ifndef TREFOILHILL_TREFOILHILLCTL_OPTIONS_H
#define TREFOILHILL_TREFOILHILLCTL_OPTIONS_H

#include <getopt.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* Options common to all commands, accepted before or after the command name. */
struct ctl_options {
	GPtrArray *nodes; /* char *, IP:PORT */
	bool nodes_from_environment;
	bool json;
	bool help;
	bool version;
	uint32_t timeout_ms;
};

enum {
	OPTION_END = -1,
	OPTION_INVALID = -2,
	COMMAND_OPTIONS_MAX = 16, /* including the terminating entry */
};

void ctl_options_init(struct ctl_options *options);
void ctl_options_clear(struct ctl_options *options);
bool ctl_options_add_nodes(
    struct ctl_options *options, const char *list, FILE *err);
/* Uses TREFOILHILL_NODES if the command line names no nodes. */
bool ctl_options_apply_environment(struct ctl_options *options, FILE *err);
/*
 * Returns the next option from command_options, OPTION_END or OPTION_INVALID.
 * Common options are stored in options. Wraps getopt_long, so the caller must
 * set optind to 0 before the first call.
 */
int ctl_options_next(struct ctl_options *options, int argc, char **argv,
    const char *short_options, const struct option *command_options, FILE *err);

#endif
