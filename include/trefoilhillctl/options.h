#ifndef TREFOILHILL_TREFOILHILLCTL_OPTIONS_H
#define TREFOILHILL_TREFOILHILLCTL_OPTIONS_H

#include <getopt.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* The options that every command takes, before or after its name. */
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
	COMMAND_OPTIONS_MAX = 16, /* of one command, the ending one included */
};

void ctl_options_init(struct ctl_options *options);
void ctl_options_clear(struct ctl_options *options);
bool ctl_options_add_nodes(
    struct ctl_options *options, const char *list, FILE *err);
/* Take the nodes of the environment if the command line names none. */
bool ctl_options_apply_environment(struct ctl_options *options, FILE *err);
/*
 * The next option that is the caller's own, OPTION_END or OPTION_INVALID;
 * common ones are stored. As getopt_long: the caller sets optind to 0 first.
 */
int ctl_options_next(struct ctl_options *options, int argc, char **argv,
    const char *short_options, const struct option *command_options, FILE *err);

#endif
