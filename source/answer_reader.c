#include <jansson.h>
#include <string.h>

#include "config/field_reader.h"
#include "source/answer_reader.h"
#include "source/error.h"

/*
 * Read the answer to a request for changes.
 */
struct config_answer *
config_answer_changes(enum platform_request request, struct str body)
{
	struct config_answer *answer = config_answer_new(request);

	answer->kind = CONFIG_ANSWER_CHANGES;
	answer->publications = publication_list_parse(
	    body.ptr, body.len, &answer->head, &answer->error);
	if (answer->publications == NULL)
		answer->kind = CONFIG_ANSWER_FAILED;
	return answer;
}

/*
 * Turn a complete read of records into an answer and free it.
 */
struct config_answer *
config_answer_records(struct record_pages *pages)
{
	struct config_answer *answer = config_answer_new(PLATFORM_READ_RECORDS);
	gsize count;

	answer->kind = CONFIG_ANSWER_RECORDS;
	answer->head = pages->revision;
	answer->records = g_array_steal(pages->records, &count);
	answer->record_count = count;
	record_pages_free(pages);
	return answer;
}

/*
 * Read one entry of the list of hosts; false when it has not the form of one.
 */
static bool
read_host(const json_t *json, struct mesh_host_entry *host)
{
	const char *state = json_string_value(json_object_get(json, "state"));
	struct field_reader reader;
	struct str name = { 0 };
	struct str zone = { 0 };
	struct str node = { 0 };

	field_reader_init(&reader, json);
	field_read_name(&reader, "name", &name);
	field_read_name(&reader, "zone", &zone);
	field_read_address(&reader, "node", &node);
	if (reader.fault != NULL) {
		refusal_free(reader.fault);
		return false;
	}
	if (state == NULL ||
	    (strcmp(state, "live") != 0 && strcmp(state, "leaving") != 0))
		return false;
	host->name = str_dup(name);
	host->zone = str_dup(zone);
	host->node = str_dup(node);
	host->leaving = strcmp(state, "leaving") == 0;
	return true;
}

static bool
read_hosts(struct config_answer *answer, const json_t *list)
{
	const json_t *json;
	size_t i;

	if (!json_is_array(list) || json_array_size(list) > HOSTS_MAX)
		return false;
	answer->hosts = g_new0(struct mesh_host_entry, json_array_size(list));
	json_array_foreach (list, i, json) {
		if (!read_host(json, &answer->hosts[answer->host_count]))
			return false;
		answer->host_count++;
	}
	return true;
}

/*
 * Read the list of hosts. One entry without the right form fails the whole,
 * as a list with holes would look like hosts that left.
 */
struct config_answer *
config_answer_hosts(struct str body)
{
	struct config_answer *answer = config_answer_new(PLATFORM_READ_HOSTS);
	json_t *root = json_loadb(body.ptr, body.len, 0, NULL);

	answer->kind = CONFIG_ANSWER_HOSTS;
	if (!read_hosts(answer, json_object_get(root, "hosts"))) {
		answer->kind = CONFIG_ANSWER_FAILED;
		g_set_error_literal(&answer->error, PLATFORM_ERROR,
		    PLATFORM_ERROR_ANSWER, "not a list of hosts");
	}
	json_decref(root);
	return answer;
}

/*
 * Read the answer that the log no longer goes back so far. The oldest
 * revision is 0 when the platform does not say it.
 */
struct config_answer *
config_answer_compacted(enum platform_request request, struct str body)
{
	struct config_answer *answer = config_answer_new(request);
	json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
	json_int_t oldest = json_integer_value(json_object_get(root, "oldest"));

	answer->kind = CONFIG_ANSWER_COMPACTED;
	answer->head = oldest > 0 ? (uint64_t)oldest : 0;
	json_decref(root);
	return answer;
}
