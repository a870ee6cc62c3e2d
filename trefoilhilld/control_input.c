#include "trefoilhilld/control_input.h"

/*
 * Wrap a mesh message; the input owns it.
 */
struct control_input *
control_input_message(struct mesh_message *message)
{
	struct control_input *input = g_new0(struct control_input, 1);

	input->kind = CONTROL_INPUT_MESSAGE;
	input->message = message;
	return input;
}

/*
 * Wrap the reason why a frame did not decode; the input owns it.
 */
struct control_input *
control_input_bad_frame(GError *error)
{
	struct control_input *input = g_new0(struct control_input, 1);

	input->kind = CONTROL_INPUT_BAD_FRAME;
	input->error = error;
	return input;
}

/*
 * Wrap an answer of the platform; the input owns it.
 */
struct control_input *
control_input_answer(struct config_answer *answer)
{
	struct control_input *input = g_new0(struct control_input, 1);

	input->kind = CONTROL_INPUT_ANSWER;
	input->answer = answer;
	return input;
}

/*
 * Make the input that ends the control thread.
 */
struct control_input *
control_input_stop(void)
{
	struct control_input *input = g_new0(struct control_input, 1);

	input->kind = CONTROL_INPUT_STOP;
	return input;
}

static void
answer_apply(const struct config_answer *answer, struct mesh *mesh)
{
	switch (answer->kind) {
	case CONFIG_ANSWER_CHANGES:
		mesh_handle_changes(
		    mesh, answer->request, answer->publications, answer->head);
		return;
	case CONFIG_ANSWER_RECORDS:
		mesh_handle_records(
		    mesh, answer->records, answer->record_count, answer->head);
		return;
	case CONFIG_ANSWER_HOSTS:
		mesh_handle_hosts(mesh, answer->hosts, answer->host_count);
		return;
	case CONFIG_ANSWER_COMPACTED:
		mesh_handle_compacted(mesh, answer->request, answer->head);
		return;
	case CONFIG_ANSWER_FAILED:
		mesh_handle_platform_failed(mesh, answer->request);
		return;
	}
}

/*
 * Feed one input to the mesh. The input stays with the caller.
 */
void
control_input_apply(struct control_input *input, struct mesh *mesh)
{
	switch (input->kind) {
	case CONTROL_INPUT_MESSAGE:
		mesh_handle_message(mesh, input->message);
		return;
	case CONTROL_INPUT_BAD_FRAME:
		mesh_handle_bad_frame(mesh, input->error);
		return;
	case CONTROL_INPUT_ANSWER:
		answer_apply(input->answer, mesh);
		return;
	case CONTROL_INPUT_STOP:
		return;
	}
}

/*
 * Free an input with what it carries.
 */
void
control_input_free(struct control_input *input)
{
	if (input->kind == CONTROL_INPUT_MESSAGE)
		mesh_message_free(input->message);
	if (input->kind == CONTROL_INPUT_BAD_FRAME)
		g_error_free(input->error);
	if (input->kind == CONTROL_INPUT_ANSWER)
		config_answer_free(input->answer);
	g_free(input);
}
