#include "trefoilhilld/control_input.h"

/*
 * Create an input from a decoded mesh message and take ownership of the
 * message.
 */
struct control_input *
control_input_new_message(struct mesh_message *message)
{
	struct control_input *input = g_new0(struct control_input, 1);

	input->kind = CONTROL_INPUT_MESSAGE;
	input->message = message;
	return input;
}

/*
 * Create an input for a frame that could not be decoded and take ownership of
 * the error.
 */
struct control_input *
control_input_new_bad_frame(GError *error)
{
	struct control_input *input = g_new0(struct control_input, 1);

	input->kind = CONTROL_INPUT_BAD_FRAME;
	input->error = error;
	return input;
}

/*
 * Create an input from a response of the platform and take ownership of the
 * response.
 */
struct control_input *
control_input_new_platform_response(struct config_response *response)
{
	struct control_input *input = g_new0(struct control_input, 1);

	input->kind = CONTROL_INPUT_PLATFORM_RESPONSE;
	input->response = response;
	return input;
}

/*
 * Create the input that stops the control thread.
 */
struct control_input *
control_input_new_stop(void)
{
	struct control_input *input = g_new0(struct control_input, 1);

	input->kind = CONTROL_INPUT_STOP;
	return input;
}

static void
platform_response_dispatch(
    const struct config_response *response, struct mesh *mesh)
{
	switch (response->kind) {
	case CONFIG_RESPONSE_CHANGES:
		mesh_handle_changes(mesh, response->request,
		    response->publications, response->head);
		return;
	case CONFIG_RESPONSE_RECORDS:
		mesh_handle_records(mesh, response->records,
		    response->record_count, response->head);
		return;
	case CONFIG_RESPONSE_HOSTS:
		mesh_handle_hosts(mesh, response->hosts, response->host_count);
		return;
	case CONFIG_RESPONSE_COMPACTED:
		mesh_handle_compacted(mesh, response->request, response->head);
		return;
	case CONFIG_RESPONSE_FAILED:
		mesh_handle_platform_failed(mesh, response->request);
		return;
	}
}

/*
 * Pass one input to the mesh. The caller keeps ownership of the input.
 */
void
control_input_dispatch(struct control_input *input, struct mesh *mesh)
{
	switch (input->kind) {
	case CONTROL_INPUT_MESSAGE:
		mesh_handle_message(mesh, input->message);
		return;
	case CONTROL_INPUT_BAD_FRAME:
		mesh_handle_bad_frame(mesh, input->error);
		return;
	case CONTROL_INPUT_PLATFORM_RESPONSE:
		platform_response_dispatch(input->response, mesh);
		return;
	case CONTROL_INPUT_STOP:
		return;
	}
}

/*
 * Free an input and its payload.
 */
void
control_input_free(struct control_input *input)
{
	if (input->kind == CONTROL_INPUT_MESSAGE)
		mesh_message_free(input->message);
	if (input->kind == CONTROL_INPUT_BAD_FRAME)
		g_error_free(input->error);
	if (input->kind == CONTROL_INPUT_PLATFORM_RESPONSE)
		config_response_free(input->response);
	g_free(input);
}
