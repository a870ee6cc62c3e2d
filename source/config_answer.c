#include "source/answer_reader.h"

/*
 * Return an empty answer to a request.
 */
struct config_answer *
config_answer_new(enum platform_request request)
{
	struct config_answer *answer = g_new0(struct config_answer, 1);

	answer->request = request;
	return answer;
}

/*
 * Return the answer that a request has failed; takes the error over.
 */
struct config_answer *
config_answer_failed(enum platform_request request, GError *error)
{
	struct config_answer *answer = config_answer_new(request);

	answer->kind = CONFIG_ANSWER_FAILED;
	answer->error = error;
	return answer;
}

/*
 * Free an answer with all that it holds. NULL is allowed.
 */
void
config_answer_free(struct config_answer *answer)
{
	if (answer == NULL)
		return;
	if (answer->publications != NULL)
		g_ptr_array_unref(answer->publications);
	for (size_t i = 0; i < answer->record_count; i++)
		json_decref(answer->records[i].record);
	for (size_t i = 0; i < answer->host_count; i++) {
		str_release(&answer->hosts[i].name);
		str_release(&answer->hosts[i].zone);
		str_release(&answer->hosts[i].node);
	}
	g_free(answer->records);
	g_free(answer->hosts);
	g_clear_error(&answer->error);
	g_free(answer);
}
