#include <stdlib.h>

#include "trefoilhillctl/command.h"
#include "trefoilhillctl/error.h"
#include "trefoilhillctl/publication_draft.h"

static const struct option no_options[] = { { NULL, 0, NULL, 0 } };

/* Adds the source file to each refusal. Returns false on a malformed refusal.
 */
static bool
refusals_add_files(const struct publication_draft *draft, json_t *refusals)
{
	json_t *refusal;
	size_t i;

	json_array_foreach (refusals, i, refusal) {
		const char *record =
		    json_string_value(json_object_get(refusal, "record"));

		if (record == NULL)
			return false;
		json_object_set_new(refusal, "file",
		    json_string(publication_draft_find_file(draft, record)));
	}
	return json_is_array(refusals);
}

static void
print_refusals(FILE *out, const json_t *refusals)
{
	json_t *refusal;
	size_t i;

	json_array_foreach (refusals, i, refusal) {
		const char *file = "-", *record = "", *field = "", *reason = "";

		json_unpack(refusal, "{s:s,s:s,s?s,s?s}", "file", &file,
		    "record", &record, "field", &field, "reason", &reason);
		fprintf(out, "%s: %s: %s%s%s\n", file,
		    *record == '\0' ? "whole publication" : record, field,
		    *field == '\0' ? "" : ": ", reason);
	}
}

/* Prints the response of one node. Returns true if it accepts the records. */
static bool
process_response(const struct ctl *ctl, const struct publication_draft *draft,
    struct node_response *response)
{
	json_t *refusals = NULL;
	json_int_t against = 0;
	int accepted = 0;

	if (response->error != NULL)
		return false;
	if (json_unpack(response->json, "{s:b,s:I,s:o}", "accepted", &accepted,
		"against", &against, "refusals", &refusals) != 0 ||
	    !refusals_add_files(draft, refusals)) {
		g_set_error(&response->error, CTL_ERROR, CTL_ERROR_RESPONSE,
		    "%s: not a verdict", response->address);
		return false;
	}
	if (ctl->options.json)
		return accepted;
	print_refusals(ctl->out, refusals);
	fprintf(ctl->out,
	    "%s, at version %" JSON_INTEGER_FORMAT
	    ": %s (%zu records to set, %zu to remove)\n",
	    response->address, against, accepted ? "accepted" : "refused",
	    json_array_size(draft->set), json_array_size(draft->remove));
	return accepted;
}

static void
print_json(const struct ctl *ctl, const GPtrArray *responses, bool accepted)
{
	json_t *nodes = json_array();

	for (guint i = 0; i < responses->len; i++) {
		const struct node_response *response = responses->pdata[i];
		json_t *node;

		if (response->error != NULL) {
			node = ctl_failure_to_json(response);
		} else {
			node = json_copy(response->json);
			json_object_set_new(
			    node, "address", json_string(response->address));
		}
		json_array_append_new(nodes, node);
	}
	ctl_print_json(
	    ctl, json_pack("{s:b,s:o}", "accepted", accepted, "nodes", nodes));
}

static int
query_nodes(const struct ctl *ctl, const struct publication_draft *draft,
    const char *publication)
{
	struct node_request request = {
		.nodes = ctl->options.nodes,
		.target = "/v1/check",
		.body = publication,
		.timeout_ms = ctl->options.timeout_ms,
	};
	GPtrArray *responses = node_client_query_json(&request);
	bool accepted = true;
	int status;

	for (guint i = 0; i < responses->len; i++)
		if (!process_response(ctl, draft, responses->pdata[i]))
			accepted = false;
	if (ctl->options.json)
		print_json(ctl, responses, accepted);
	status = ctl_report_failures(ctl, responses);
	g_ptr_array_unref(responses);
	return accepted ? status : CTL_EXIT_FAILURE;
}

/* Reports a file that cannot be used, before any request. Frees the error. */
static void
report_file_error(const struct ctl *ctl, json_t *file_errors, GError *error)
{
	json_array_append_new(
	    file_errors, json_pack("{s:s}", "reason", error->message));
	if (!ctl->options.json)
		fprintf(ctl->out, "%s\n", error->message);
	g_error_free(error);
}

static int
run(struct ctl *ctl)
{
	struct publication_draft draft;
	json_t *file_errors = json_array();
	GError *error = NULL;
	char *text = NULL;
	int option = ctl_next_option(ctl, &command_check);
	int status;

	publication_draft_init(&draft);
	if (ctl_finish_options(ctl, &command_check, option, &status))
		goto done;
	if (optind == ctl->argc) {
		status = ctl_report_usage_error(ctl, &command_check, "no file");
		goto done;
	}
	status = CTL_EXIT_FAILURE;
	for (int i = optind; i < ctl->argc; i++)
		if (!publication_draft_add_file(&draft, ctl->argv[i], &error))
			report_file_error(
			    ctl, file_errors, g_steal_pointer(&error));
	if (json_array_size(file_errors) == 0)
		text = publication_draft_serialize(&draft, &error);
	if (error != NULL)
		report_file_error(ctl, file_errors, error);
	if (text != NULL)
		status = query_nodes(ctl, &draft, text);
	else if (ctl->options.json)
		ctl_print_json(ctl,
		    json_pack(
			"{s:b,s:O}", "accepted", false, "files", file_errors));
done:
	free(text);
	json_decref(file_errors);
	publication_draft_clear(&draft);
	return status;
}

const struct command command_check = {
	.name = "check",
	.summary = "validate records against nodes before publishing them",
	.arguments = "[OPTION]... FILE...",
	.usage =
	    "Send the records of all files as one publication to each node, which\n"
	    "validates them against its current configuration without applying them.\n"
	    "A file holds one record, a list of records, or a publication\n"
	    "{\"set\":[RECORD,...],\"remove\":[{\"kind\",\"name\"},...]}. Each refusal is\n"
	    "printed as FILE: RECORD: FIELD: REASON, and the exit status is 1.\n",
	.options = no_options,
	.run = run,
};
