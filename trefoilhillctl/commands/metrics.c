#include <string.h>

#include "trefoilhillctl/command.h"

static const struct option own_options[] = {
	{ "prefix", required_argument, NULL, 'p' },
	{ NULL, 0, NULL, 0 },
};

/* Is it a sample whose name begins as asked? Comments are none. */
static bool
line_matches(const char *line, const char *prefix)
{
	return *line != '\0' && *line != '#' && g_str_has_prefix(line, prefix);
}

static void
print_text(FILE *out, const struct node_answer *answer, const char *prefix)
{
	char **lines = g_strsplit(answer->body->str, "\n", 0);

	fprintf(out, "# node %s\n", answer->address);
	for (char **line = lines; *line != NULL; line++)
		if (line_matches(*line, prefix))
			fprintf(out, "%s\n", *line);
	g_strfreev(lines);
}

static json_t *
node_to_json(const struct node_answer *answer, const char *prefix)
{
	char **lines = g_strsplit(answer->body->str, "\n", 0);
	json_t *samples = json_object();

	for (char **line = lines; *line != NULL; line++) {
		char *space = strrchr(*line, ' ');

		if (!line_matches(*line, prefix) || space == NULL)
			continue;
		*space = '\0';
		json_object_set_new(
		    samples, *line, json_real(g_ascii_strtod(space + 1, NULL)));
	}
	g_strfreev(lines);
	return json_pack(
	    "{s:s,s:o}", "address", answer->address, "metrics", samples);
}

static void
print_json(const struct ctl *ctl, const GPtrArray *answers, const char *prefix)
{
	json_t *nodes = json_array();

	for (guint i = 0; i < answers->len; i++) {
		const struct node_answer *answer = answers->pdata[i];

		json_array_append_new(nodes,
		    answer->error != NULL ? ctl_failure_to_json(answer)
					  : node_to_json(answer, prefix));
	}
	ctl_print_json(ctl, nodes);
}

static int
run(struct ctl *ctl)
{
	struct node_request request = { .target = "/v1/metrics" };
	const char *prefix = "";
	GPtrArray *answers;
	int option, status;

	while ((option = ctl_next(ctl, &command_metrics)) >= 0)
		prefix = optarg;
	if (ctl_is_over(ctl, &command_metrics, option, &status))
		return status;
	request.nodes = ctl->options.nodes;
	request.timeout_ms = ctl->options.timeout_ms;
	answers = node_client_ask(&request);
	if (ctl->options.json)
		print_json(ctl, answers, prefix);
	for (guint i = 0; !ctl->options.json && i < answers->len; i++) {
		const struct node_answer *answer = answers->pdata[i];

		if (answer->error == NULL)
			print_text(ctl->out, answer, prefix);
	}
	status = ctl_report_failures(ctl, answers);
	g_ptr_array_unref(answers);
	return status;
}

const struct command command_metrics = {
	.name = "metrics",
	.summary = "print the counters of nodes",
	.arguments = "[--prefix NAME] [OPTION]...",
	.usage =
	    "Print the samples of each node in the Prometheus text format:\n"
	    "  --prefix NAME         only those whose name begins so\n",
	.options = own_options,
	.run = run,
};
