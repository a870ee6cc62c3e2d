#include "source/response_reader.h"

/*
 * Return an empty response to a request, to be freed with config_response_free.
 */
struct config_response *
config_response_new(enum platform_request request)
{
	struct config_response *response = g_new0(struct config_response, 1);

	response->request = request;
	return response;
}

/*
 * Return a response that reports a failed request; takes ownership of the
 * error.
 */
struct config_response *
config_response_failed(enum platform_request request, GError *error)
{
	struct config_response *response = config_response_new(request);

	response->kind = CONFIG_RESPONSE_FAILED;
	response->error = error;
	return response;
}

/*
 * Free a response and its contents. NULL is allowed.
 */
void
config_response_free(struct config_response *response)
{
	if (response == NULL)
		return;
	if (response->publications != NULL)
		g_ptr_array_unref(response->publications);
	for (size_t i = 0; i < response->record_count; i++)
		json_decref(response->records[i].record);
	for (size_t i = 0; i < response->host_count; i++) {
		str_release(&response->hosts[i].name);
		str_release(&response->hosts[i].zone);
		str_release(&response->hosts[i].node);
	}
	g_free(response->records);
	g_free(response->hosts);
	g_clear_error(&response->error);
	g_free(response);
}
