#ifndef TREFOILHILL_TREFOILHILLCTL_COMMAND_H
#define TREFOILHILL_TREFOILHILLCTL_COMMAND_H

#include <jansson.h>
#include <stdio.h>

#include "trefoilhillctl/node_client.h"
#include "trefoilhillctl/options.h"

enum {
	CTL_EXIT_SUCCESS,
	CTL_EXIT_FAILURE,
	CTL_EXIT_USAGE,
};

/* State of one invocation of the program. out and err are borrowed. */
struct ctl {
	struct ctl_options options;
	FILE *out;
	FILE *err;
	int argc; /* argv[0] is the name of the command */
	char **argv;
};

/* A subcommand, registered in the table in trefoilhillctl/ctl.c. */
struct command {
	const char *name;
	const char *summary;
	const char *usage; /* body of the --help text, below the usage line */
	const char *arguments;
	const struct option *options;
	/*
	 * Returns the exit status. Reads the command's options with
	 * ctl_next_option.
	 */
	int (*run)(struct ctl *ctl);
};

extern const struct command command_check;
extern const struct command command_status;
extern const struct command command_diff;
extern const struct command command_explain;
extern const struct command command_drain;
extern const struct command command_metrics;
extern const struct command command_events;

int ctl_run(int argc, char **argv, FILE *out, FILE *err);

/* Helpers for command implementations. */
int ctl_next_option(struct ctl *ctl, const struct command *command);
/*
 * Returns true if run must return *status at once: after --help or --version,
 * or on a usage error.
 */
bool ctl_finish_options(
    struct ctl *ctl, const struct command *command, int option, int *status);
int ctl_report_usage_error(struct ctl *ctl, const struct command *command,
    const char *format, ...) G_GNUC_PRINTF(3, 4);
GPtrArray *ctl_get_json(const struct ctl *ctl, const char *target);
void ctl_print_json(const struct ctl *ctl, json_t *json);
json_t *ctl_failure_to_json(const struct node_response *response);
/* Prints the errors of failed nodes on err. Returns the exit status. */
int ctl_report_failures(const struct ctl *ctl, const GPtrArray *responses);

#endif
