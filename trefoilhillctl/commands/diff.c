#include <stdlib.h>

#include "trefoilhillctl/command.h"
#include "trefoilhillctl/error.h"
#include "trefoilhillctl/publication_draft.h"
#include "trefoilhillctl/record_set.h"

static const struct option command_options[] = {
	{ "whole", no_argument, NULL, 'w' },
	{ NULL, 0, NULL, 0 },
};

/* Records returned by one node. */
struct node_records {
	struct node_response *response;
	struct record_set set;
	json_int_t version;
};

static bool
node_records_init(
    struct node_records *node_records, struct node_response *response)
{
	GError *error = NULL;
	json_t *records = NULL;

	*node_records = (struct node_records){ .response = response };
	record_set_init(&node_records->set);
	if (response->error != NULL)
		return false;
	if (json_unpack(response->json, "{s:I,s:o}", "version",
		&node_records->version, "records", &records) != 0 ||
	    !json_is_array(records) ||
	    !record_set_put_all(&node_records->set, records, &error)) {
		g_set_error(&response->error, CTL_ERROR, CTL_ERROR_RESPONSE,
		    "%s: response is not a list of records%s%s",
		    response->address, error == NULL ? "" : ": ",
		    error == NULL ? "" : error->message);
		g_clear_error(&error);
		return false;
	}
	return true;
}

static void
print_fields(FILE *out, const json_t *fields)
{
	const char *key, *separator = ": ";
	json_t *pair;

	json_object_foreach ((json_t *)fields, key, pair) {
		char *before =
		    json_dumps(json_array_get(pair, 0), JSON_ENCODE_ANY);
		char *after =
		    json_dumps(json_array_get(pair, 1), JSON_ENCODE_ANY);

		fprintf(out, "%s%s %s -> %s", separator, key, before, after);
		separator = ", ";
		free(before);
		free(after);
	}
}

static void
print_changes(FILE *out, const json_t *changes)
{
	json_t *item;
	size_t i;

	json_array_foreach (changes, i, item) {
		const char *record = "", *change = "";
		json_t *fields = NULL;

		json_unpack(item, "{s:s,s:s,s:o}", "record", &record, "change",
		    &change, "fields", &fields);
		fprintf(out, "%c %s",
		    *change == 'a'       ? '+'
			: *change == 'r' ? '-'
					 : '~',
		    record);
		if (*change == 'c')
			print_fields(out, fields);
		fputc('\n', out);
	}
}

/* Prints one comparison. Returns true if both sides are equal. */
static bool
print_comparison(const struct ctl *ctl, json_t *comparisons,
    const struct node_records *from, const char *to_name,
    const struct record_set *to)
{
	json_t *changes = record_set_diff(&from->set, to);
	bool equal = json_array_size(changes) == 0;

	if (ctl->options.json) {
		json_array_append_new(comparisons,
		    json_pack("{s:s,s:I,s:s,s:O}", "from",
			from->response->address, "version", from->version, "to",
			to_name, "changes", changes));
	} else if (equal) {
		fprintf(ctl->out,
		    "%s at version %" JSON_INTEGER_FORMAT " equals %s\n",
		    from->response->address, from->version, to_name);
	} else {
		fprintf(ctl->out,
		    "--- %s at version %" JSON_INTEGER_FORMAT "\n+++ %s\n",
		    from->response->address, from->version, to_name);
		print_changes(ctl->out, changes);
	}
	json_decref(changes);
	return equal;
}

static bool
diff_with_files(const struct ctl *ctl, json_t *comparisons,
    const struct node_records *node_records,
    const struct publication_draft *draft, bool whole)
{
	GError *error = NULL;
	struct record_set to;
	bool equal = false;

	if (whole)
		record_set_init(&to);
	else
		record_set_init_from(&to, &node_records->set);
	record_set_remove_all(&to, draft->remove);
	if (record_set_put_all(&to, draft->set, &error))
		equal = print_comparison(
		    ctl, comparisons, node_records, "files", &to);
	else
		fprintf(ctl->err, "trefoilhillctl: %s\n", error->message);
	g_clear_error(&error);
	record_set_clear(&to);
	return equal;
}

static bool
diff_nodes(const struct ctl *ctl, json_t *comparisons,
    const struct node_records *first, const struct node_records *other)
{
	char *name = g_strdup_printf("%s at version %" JSON_INTEGER_FORMAT,
	    other->response->address, other->version);
	bool equal =
	    print_comparison(ctl, comparisons, first, name, &other->set);

	g_free(name);
	return equal;
}

static int
diff(const struct ctl *ctl, const struct publication_draft *draft, bool whole)
{
	GPtrArray *responses = ctl_get_json(ctl, "/v1/records");
	struct node_records *nodes = g_new(struct node_records, responses->len);
	json_t *comparisons = json_array();
	bool equal = true;
	int status;

	for (guint i = 0; i < responses->len; i++)
		node_records_init(&nodes[i], responses->pdata[i]);
	for (guint i = draft == NULL ? 1 : 0; i < responses->len; i++) {
		const struct node_records *first =
		    &nodes[draft == NULL ? 0 : i];

		if (nodes[i].response->error != NULL ||
		    first->response->error != NULL)
			continue;
		equal &= draft == NULL
		    ? diff_nodes(ctl, comparisons, first, &nodes[i])
		    : diff_with_files(ctl, comparisons, first, draft, whole);
	}
	if (ctl->options.json)
		ctl_print_json(ctl, json_incref(comparisons));
	status = ctl_report_failures(ctl, responses);
	for (guint i = 0; i < responses->len; i++)
		record_set_clear(&nodes[i].set);
	json_decref(comparisons);
	g_free(nodes);
	g_ptr_array_unref(responses);
	return equal ? status : CTL_EXIT_FAILURE;
}

static int
run(struct ctl *ctl)
{
	struct publication_draft draft;
	GError *error = NULL;
	bool whole = false;
	int option, status;

	publication_draft_init(&draft);
	while ((option = ctl_next_option(ctl, &command_diff)) >= 0)
		whole = true;
	if (ctl_finish_options(ctl, &command_diff, option, &status))
		goto done;
	if (optind == ctl->argc && (ctl->options.nodes->len < 2 || whole)) {
		status = ctl_report_usage_error(ctl, &command_diff,
		    whole ? "--whole needs a file"
			  : "a file or a second node is required");
		goto done;
	}
	status = CTL_EXIT_FAILURE;
	for (int i = optind; i < ctl->argc && error == NULL; i++)
		publication_draft_add_file(&draft, ctl->argv[i], &error);
	if (error != NULL)
		fprintf(ctl->err, "trefoilhillctl: %s\n", error->message);
	else
		status = diff(ctl, optind < ctl->argc ? &draft : NULL, whole);
done:
	g_clear_error(&error);
	publication_draft_clear(&draft);
	return status;
}

const struct command command_diff = {
	.name = "diff",
	.summary = "compare the records of nodes with each other or with files",
	.arguments = "[--whole] [OPTION]... [FILE]...",
	.usage =
	    "Without a file, compare the first node with each of the others. With\n"
	    "files (as for check), show what publishing them would change at each\n"
	    "node. + is added, - removed, ~ changed; exit status 1 on a difference.\n"
	    "  --whole               the files hold the whole configuration: show\n"
	    "                        records that only the node has as removed\n",
	.options = command_options,
	.run = run,
};
