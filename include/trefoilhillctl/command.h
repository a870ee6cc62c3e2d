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

/* One run of the program; out and err are borrowed. */
struct ctl {
	struct ctl_options options;
	FILE *out;
	FILE *err;
	int argc; /* argv[0] is the command's name */
	char **argv;
};

/* One command; the table is in trefoilhillctl/ctl.c. */
struct command {
	const char *name;
	const char *summary;
	const char *usage; /* what --help prints after the first line */
	const char *arguments;
	const struct option *options;
	/* The exit status; own options are read by ctl_next_option. */
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

/* For the commands. */
int ctl_next_option(struct ctl *ctl, const struct command *command);
/* True when run is to return *status at once: --help or a wrong line. */
bool ctl_finish_options(
    struct ctl *ctl, const struct command *command, int option, int *status);
int ctl_report_usage_error(struct ctl *ctl, const struct command *command,
    const char *format, ...) G_GNUC_PRINTF(3, 4);
GPtrArray *ctl_get_json(const struct ctl *ctl, const char *target);
void ctl_print_json(const struct ctl *ctl, json_t *json);
json_t *ctl_failure_to_json(const struct node_response *response);
/* Report the nodes that failed on err; the exit status. */
int ctl_report_failures(const struct ctl *ctl, const GPtrArray *responses);

#endif
