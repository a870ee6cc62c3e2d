#include "trefoilhillctl/command.h"
#include "trefoilhillctl/error.h"
#include "trefoilhillctl/text_table.h"

/* Table row of one node. Strings are borrowed from the response. */
struct status_row {
	const struct node_response *response;
	const char *node, *zone, *state, *digest, *platform;
	json_int_t version;
	int reader;
	json_int_t behind_ms; /* by its own account; 0: not, or unknown */
	const char *behind_reason;
};

static const struct option no_options[] = { { NULL, 0, NULL, 0 } };

static bool
status_row_init(struct status_row *row, struct node_response *response)
{
	json_error_t parse_error;

	*row = (struct status_row){
		.response = response,
		.behind_reason = "",
	};
	if (response->error != NULL)
		return false;
	if (json_unpack_ex(response->json, &parse_error, 0,
		"{s:s,s:s,s:s,s:I,s:s,s:b,s:s,s?I,s?s}", "node", &row->node,
		"zone", &row->zone, "state", &row->state, "version",
		&row->version, "digest", &row->digest, "reader", &row->reader,
		"platform", &row->platform, "behind_ms", &row->behind_ms,
		"behind_reason", &row->behind_reason) == 0)
		return true;
	g_set_error(&response->error, CTL_ERROR, CTL_ERROR_RESPONSE, "%s: %s",
	    response->address, parse_error.text);
	return false;
}

/* Returns the first row with the highest version, NULL if no node responded. */
static const struct status_row *
find_newest(const struct status_row *rows, guint count)
{
	const struct status_row *newest = NULL;

	for (guint i = 0; i < count; i++)
		if (rows[i].response->error == NULL &&
		    (newest == NULL || rows[i].version > newest->version))
			newest = &rows[i];
	return newest;
}

static bool
has_digest_mismatch(
    const struct status_row *row, const struct status_row *newest)
{
	return row->version == newest->version &&
	    g_strcmp0(row->digest, newest->digest) != 0;
}

static void
print_table(FILE *out, const struct status_row *rows, guint count,
    json_int_t newest_version)
{
	static const char *const headers[] = { "NODE", "ADDRESS", "ZONE",
		"STATE", "VERSION", "LAG", "DIGEST", "READER", "PLATFORM" };
	struct text_table table;

	text_table_init(&table, headers, G_N_ELEMENTS(headers));
	for (guint i = 0; i < count; i++) {
		const struct status_row *row = &rows[i];
		bool responded = row->response->error == NULL;

		text_table_add_cell(&table, "%s", responded ? row->node : "?");
		text_table_add_cell(&table, "%s", row->response->address);
		text_table_add_cell(&table, "%s", responded ? row->zone : "-");
		text_table_add_cell(
		    &table, "%s", responded ? row->state : "no answer");
		if (!responded) {
			for (int j = 0; j < 5; j++)
				text_table_add_cell(&table, "-");
			continue;
		}
		text_table_add_cell(
		    &table, "%" JSON_INTEGER_FORMAT, row->version);
		text_table_add_cell(&table, "%" JSON_INTEGER_FORMAT,
		    newest_version - row->version);
		text_table_add_cell(&table, "%.12s", row->digest);
		text_table_add_cell(&table, "%s", row->reader ? "yes" : "no");
		text_table_add_cell(&table, "%s", row->platform);
	}
	text_table_print(&table, out);
	text_table_clear(&table);
}

static void
print_behind(
    FILE *out, const struct status_row *row, const struct status_row *newest)
{
	fprintf(out,
	    "behind: %s (%s) at version %" JSON_INTEGER_FORMAT
	    ", %" JSON_INTEGER_FORMAT " behind",
	    row->node, row->zone, row->version, newest->version - row->version);
	if (row->behind_ms > 0)
		fprintf(out, ", for %" JSON_INTEGER_FORMAT " ms: %s",
		    row->behind_ms, row->behind_reason);
	fputc('\n', out);
}

/*
 * Lists nodes behind the newest version, and nodes at that version whose digest
 * differs from the newest row's.
 */
static void
print_summary(FILE *out, const struct status_row *rows, guint count,
    const struct status_row *newest)
{
	guint responded_count = 0, up_to_date = 0;

	for (guint i = 0; i < count; i++) {
		const struct status_row *row = &rows[i];

		if (row->response->error != NULL)
			continue;
		responded_count++;
		up_to_date += row->version == newest->version;
		if (row->version < newest->version)
			print_behind(out, row, newest);
		else if (has_digest_mismatch(row, newest))
			fprintf(out,
			    "differs: %s (%s) has another digest than %s at "
			    "version %" JSON_INTEGER_FORMAT "\n",
			    row->node, row->zone, newest->node, row->version);
	}
	fprintf(out, "%u of %u nodes answered", responded_count, count);
	if (newest != NULL)
		fprintf(out, ", %u hold version %" JSON_INTEGER_FORMAT,
		    up_to_date, newest->version);
	fputc('\n', out);
}

static void
print_json(const struct ctl *ctl, const struct status_row *rows, guint count,
    const struct status_row *newest)
{
	json_t *nodes = json_array();

	for (guint i = 0; i < count; i++) {
		const struct status_row *row = &rows[i];
		json_t *node;

		if (row->response->error != NULL) {
			json_array_append_new(
			    nodes, ctl_failure_to_json(row->response));
			continue;
		}
		node = json_copy(row->response->json);
		json_object_set_new(
		    node, "address", json_string(row->response->address));
		json_object_set_new(
		    node, "lag", json_integer(newest->version - row->version));
		json_object_set_new(node, "differs",
		    json_boolean(has_digest_mismatch(row, newest)));
		json_array_append_new(nodes, node);
	}
	ctl_print_json(ctl,
	    json_pack("{s:I,s:o}", "version",
		newest == NULL ? (json_int_t)0 : newest->version, "nodes",
		nodes));
}

static int
run(struct ctl *ctl)
{
	const struct status_row *newest;
	struct status_row *rows;
	GPtrArray *responses;
	int option = ctl_next_option(ctl, &command_status);
	int status;

	if (ctl_finish_options(ctl, &command_status, option, &status))
		return status;
	responses = ctl_get_json(ctl, "/v1/status");
	rows = g_new(struct status_row, responses->len);
	for (guint i = 0; i < responses->len; i++)
		status_row_init(&rows[i], responses->pdata[i]);
	newest = find_newest(rows, responses->len);
	if (ctl->options.json) {
		print_json(ctl, rows, responses->len, newest);
	} else {
		print_table(ctl->out, rows, responses->len,
		    newest == NULL ? 0 : newest->version);
		print_summary(ctl->out, rows, responses->len, newest);
	}
	status = ctl_report_failures(ctl, responses);
	g_free(rows);
	g_ptr_array_unref(responses);
	return status;
}

const struct command command_status = {
	.name = "status",
	.summary = "show the state and configuration version of each node",
	.arguments = "[OPTION]...",
	.usage =
	    "Print a row for each node: its state, configuration version and\n"
	    "digest, how many versions it lags behind the highest one seen,\n"
	    "whether it reads the platform for its zone, and whether its last\n"
	    "read reached the platform. Then list the nodes that are behind,\n"
	    "and those whose digest differs at the highest version.\n",
	.options = no_options,
	.run = run,
};
