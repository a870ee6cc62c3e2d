#include "source/response_reader.h"

/*
 * Return an empty response to a request, to be freed with config_answer_free.
 */
struct config_answer *
config_answer_new(enum platform_request request)
{
	struct config_answer *response = g_new0(struct config_answer, 1);

	response->request = request;
	return response;
}

/*
 * Return a response that reports a failed request; takes over the error.
 */
struct config_answer *
config_answer_failed(enum platform_request request, GError *error)
{
	struct config_answer *response = config_answer_new(request);

	response->kind = CONFIG_ANSWER_FAILED;
	response->error = error;
	return response;
}

/*
 * Free a response and its contents. NULL is allowed.
 */
void
config_answer_free(struct config_answer *response)
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
