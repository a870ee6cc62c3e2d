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
    "Options of all commands, accepted before or after the command name:\n"
    "  --node IP:PORT[,...]  operator listeners of nodes; may be repeated\n"
    "                        (default: the variable TREFOILHILL_NODES)\n"
    "  --json                print JSON\n"
    "  --timeout-ms N        response timeout of each node (3000)\n"
    "  --help, --version\n"
    "Exit status: 0 success, 1 failure or no answer from a node, 2 usage error.\n";

static void
print_help(FILE *stream)
{
	fputs(
	    "usage: trefoilhillctl [OPTION]... COMMAND [ARGUMENT]...\n"
	    "Inspect and control the nodes of a trefoilhill mesh. Commands:\n",
	    stream);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(stream, "  %-8s %s\n", commands[i]->name,
		    commands[i]->summary);
	fputs(common_options_help, stream);
	fputs("See trefoilhillctl COMMAND --help for details on a command.\n",
	    stream);
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
 * Returns the next option of a command. See ctl_options_next.
 */
int
ctl_next_option(struct ctl *ctl, const struct command *command)
{
	return ctl_options_next(&ctl->options, ctl->argc, ctl->argv, "",
	    command->options, ctl->err);
}

/*
 * Handles --help, --version, usage errors and a missing node list after the
 * options are read. Returns true if the command must exit with *status.
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
		    "no node specified: use --node or set TREFOILHILL_NODES");
	else
		return false;
	return true;
}

/*
 * Prints a usage error, followed by a hint to --help. format may be NULL to
 * print only the hint. Returns the exit status.
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
	fprintf(ctl->err, "See trefoilhillctl %s --help\n", command->name);
	return CTL_EXIT_USAGE;
}

/*
 * Sends a GET request to all nodes and parses the responses as JSON objects.
 * The caller frees the array of struct node_response *.
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
 * Prints a JSON document and drops the caller's reference to it.
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
 * Returns a new JSON object with the address and error of a failed node.
 */
json_t *
ctl_failure_to_json(const struct node_response *response)
{
	return json_pack("{s:s,s:s}", "address", response->address, "error",
	    response->error->message);
}

/*
 * Prints the error of every failed node on err. Returns the exit status.
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

/*
 * Parses the options before the command name. Returns NULL and sets *status if
 * there is no command to run.
 */
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
			fprintf(ctl->err,
			    "trefoilhillctl: unknown command: %s\n",
			    argv[optind]);
		print_help(ctl->err);
	}
	return command;
}

/*
 * Parses the command line and runs the command. Returns the exit status. Not
 * thread-safe, because getopt_long is not.
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
