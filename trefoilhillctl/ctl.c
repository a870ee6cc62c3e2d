#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "trefoilhillctl/command.h"

static const struct command *const commands[] = {
	&command_check,
	&command_status,
	&command_diff,
	&command_explain,
	&command_drain,
	&command_metrics,
	&command_events,
};

static const char common_options_help[] =
    "Options of every command, before or after its name:\n"
    "  --node IP:PORT[,...]  operator listeners of nodes; may be repeated\n"
    "                        (else the variable TREFOILHILL_NODES)\n"
    "  --json                print JSON for programs\n"
    "  --timeout-ms N        time for each node to answer (3000)\n"
    "  --help, --version\n"
    "Exit status: 0 done, 1 failed or a node did not answer, 2 wrong usage.\n";

static void
print_help(FILE *stream)
{
	fputs(
	    "usage: trefoilhillctl [OPTION]... COMMAND [ARGUMENT]...\n"
	    "Look at nodes of a trefoilhill mesh and control them. Commands:\n",
	    stream);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(stream, "  %-8s %s\n", commands[i]->name,
		    commands[i]->summary);
	fputs(common_options_help, stream);
	fputs(
	    "trefoilhillctl COMMAND --help says more on a command.\n", stream);
}

static void
print_command_help(const struct command *command, FILE *stream)
{
	fprintf(stream, "usage: trefoilhillctl %s%s%s\n%s%s", command->name,
	    *command->arguments == '\0' ? "" : " ", command->arguments,
	    command->usage, common_options_help);
}

static const struct command *
command_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		if (strcmp(commands[i]->name, name) == 0)
			return commands[i];
	return NULL;
}

/*
 * Return the next option of a command, as ctl_options_next.
 */
int
ctl_next_option(struct ctl *ctl, const struct command *command)
{
	return ctl_options_next(&ctl->options, ctl->argc, ctl->argv, "",
	    command->options, ctl->err);
}

/*
 * Tell whether a command ends after its options, and with which status: after
 * --help or --version, on a wrong line, or when no node is named.
 */
bool
ctl_finish_options(
    struct ctl *ctl, const struct command *command, int option, int *status)
{
	*status = CTL_EXIT_SUCCESS;
	if (option == OPTION_INVALID ||
	    !ctl_options_apply_environment(&ctl->options, ctl->err))
		*status = ctl_report_usage_error(ctl, command, NULL);
	else if (ctl->options.help)
		print_command_help(command, ctl->out);
	else if (ctl->options.version)
		fputs("trefoilhillctl " TREFOILHILL_VERSION "\n", ctl->out);
	else if (ctl->options.nodes->len == 0)
		*status = ctl_report_usage_error(ctl, command,
		    "no node: give --node or set TREFOILHILL_NODES");
	else
		return false;
	return true;
}

/*
 * Say what is wrong with the command line, format may be NULL, and return the
 * exit status.
 */
int
ctl_report_usage_error(
    struct ctl *ctl, const struct command *command, const char *format, ...)
{
	va_list args;

	if (format != NULL) {
		fprintf(ctl->err, "trefoilhillctl %s: ", command->name);
		va_start(args, format);
		vfprintf(ctl->err, format, args);
		va_end(args);
		fputc('\n', ctl->err);
	}
	fprintf(ctl->err, "Try: trefoilhillctl %s --help\n", command->name);
	return CTL_EXIT_USAGE;
}

/*
 * Ask all nodes for a JSON document.
 */
GPtrArray *
ctl_get_json(const struct ctl *ctl, const char *target)
{
	struct node_request request = {
		.nodes = ctl->options.nodes,
		.target = target,
		.timeout_ms = ctl->options.timeout_ms,
	};

	return node_client_query_json(&request);
}

/*
 * Print a JSON document and free it.
 */
void
ctl_print_json(const struct ctl *ctl, json_t *json)
{
	char *text = json_dumps(json, JSON_INDENT(2) | JSON_PRESERVE_ORDER);

	if (text != NULL)
		fprintf(ctl->out, "%s\n", text);
	free(text);
	json_decref(json);
}

/*
 * Return the JSON for a node that failed.
 */
json_t *
ctl_failure_to_json(const struct node_response *response)
{
	return json_pack("{s:s,s:s}", "address", response->address, "error",
	    response->error->message);
}

/*
 * Name on err every node that failed, and return the exit status.
 */
int
ctl_report_failures(const struct ctl *ctl, const GPtrArray *responses)
{
	int status = CTL_EXIT_SUCCESS;

	for (guint i = 0; i < responses->len; i++) {
		const struct node_response *response = responses->pdata[i];

		if (response->error == NULL)
			continue;
		fprintf(
		    ctl->err, "trefoilhillctl: %s\n", response->error->message);
		status = CTL_EXIT_FAILURE;
	}
	return status;
}

/* Read the options before the command's name; NULL with *status set at end. */
static const struct command *
command_select(struct ctl *ctl, int argc, char **argv, int *status)
{
	static const struct option no_options[] = { { NULL, 0, NULL, 0 } };
	const struct command *command = NULL;
	int option;

	*status = CTL_EXIT_USAGE;
	optind = 0;
	option = ctl_options_next(
	    &ctl->options, argc, argv, "+", no_options, ctl->err);
	if (option == OPTION_INVALID) {
		print_help(ctl->err);
		return NULL;
	}
	if (optind < argc)
		command = command_find(argv[optind]);
	if (command == NULL && (ctl->options.help || ctl->options.version)) {
		*status = CTL_EXIT_SUCCESS;
		if (ctl->options.help)
			print_help(ctl->out);
		else
			fputs("trefoilhillctl " TREFOILHILL_VERSION "\n",
			    ctl->out);
	} else if (command == NULL) {
		if (optind < argc)
			fprintf(ctl->err, "trefoilhillctl: no command %s\n",
			    argv[optind]);
		print_help(ctl->err);
	}
	return command;
}

/*
 * Run the program: read the line, find the command, run it. Returns the exit
 * status. Not to be called by two threads at once, for getopt_long.
 */
int
ctl_run(int argc, char **argv, FILE *out, FILE *err)
{
	struct ctl ctl = { .out = out, .err = err };
	const struct command *command;
	int status;

	ctl_options_init(&ctl.options);
	command = command_select(&ctl, argc, argv, &status);
	if (command != NULL) {
		ctl.argc = argc - optind;
		ctl.argv = argv + optind;
		optind = 0;
		status = command->run(&ctl);
	}
	ctl_options_clear(&ctl.options);
	return status;
}
