#include <string.h>

#include "common/json_parse.h"
#include "config/field_reader.h"
#include "source/response_reader.h"
#include "source/error.h"

/*
 * Parse the response to a request for changes. If the body is invalid, the
 * response reports the failure.
 */
struct config_response *
config_response_changes(enum platform_request request, struct str body)
{
	struct config_response *response = config_response_new(request);

	response->kind = CONFIG_RESPONSE_CHANGES;
	response->publications = publication_list_parse(
	    body.ptr, body.len, &response->head, &response->error);
	if (response->publications == NULL)
		response->kind = CONFIG_RESPONSE_FAILED;
	return response;
}

/*
 * Convert a complete read of the records into a response; frees the pages.
 */
struct config_response *
config_response_records(struct record_pages *pages)
{
	struct config_response *response =
	    config_response_new(PLATFORM_READ_RECORDS);
	gsize count;

	response->kind = CONFIG_RESPONSE_RECORDS;
	response->head = pages->revision;
	response->records = g_array_steal(pages->records, &count);
	response->record_count = count;
	record_pages_free(pages);
	return response;
}

/*
 * Parse one entry of the list of hosts; false if it is invalid.
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
	if (reader.refusal != NULL) {
		refusal_free(reader.refusal);
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
read_hosts(struct config_response *response, const json_t *list)
{
	const json_t *json;
	size_t i;

	if (!json_is_array(list) || json_array_size(list) > HOSTS_MAX)
		return false;
	response->hosts = g_new0(struct mesh_host_entry, json_array_size(list));
	json_array_foreach (list, i, json) {
		if (!read_host(json, &response->hosts[response->host_count]))
			return false;
		response->host_count++;
	}
	return true;
}

/*
 * Parse the list of hosts. One invalid entry fails the whole list, because
 * hosts missing from it would be taken to have left.
 */
struct config_response *
config_response_hosts(struct str body)
{
	struct config_response *response =
	    config_response_new(PLATFORM_READ_HOSTS);
	json_t *root = json_parse(body, 0, NULL);

	response->kind = CONFIG_RESPONSE_HOSTS;
	if (!read_hosts(response, json_object_get(root, "hosts"))) {
		response->kind = CONFIG_RESPONSE_FAILED;
		g_set_error_literal(&response->error, PLATFORM_ERROR,
		    PLATFORM_ERROR_RESPONSE, "invalid list of hosts");
	}
	json_decref(root);
	return response;
}

/*
 * Parse the response that the requested revision has been compacted out of the
 * log. The oldest revision is 0 if the platform does not give it.
 */
struct config_response *
config_response_compacted(enum platform_request request, struct str body)
{
	struct config_response *response = config_response_new(request);
	json_t *root = json_parse(body, 0, NULL);
	json_int_t oldest = json_integer_value(json_object_get(root, "oldest"));

	response->kind = CONFIG_RESPONSE_COMPACTED;
	response->head = oldest > 0 ? (uint64_t)oldest : 0;
	json_decref(root);
	return response;
}
