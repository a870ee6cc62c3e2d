#ifndef TREFOILHILL_TREFOILHILLD_CONTROL_INPUT_H
#define TREFOILHILL_TREFOILHILLD_CONTROL_INPUT_H

#include "mesh/mesh.h"
#include "mesh/message.h"
#include "source/config_source.h"

/* Input that another thread queues for the control thread. */
struct control_input {
	enum {
		CONTROL_INPUT_MESSAGE,
		CONTROL_INPUT_BAD_FRAME,
		CONTROL_INPUT_PLATFORM_RESPONSE,
		CONTROL_INPUT_STOP,
	} kind;
	union {
		struct mesh_message *message;
		GError *error; /* why a frame could not be decoded */
		struct config_response *response; /* of the platform */
	};
};

struct control_input *control_input_new_message(struct mesh_message *message);
struct control_input *control_input_new_bad_frame(GError *error);
struct control_input *control_input_new_platform_response(
    struct config_response *response);
struct control_input *control_input_new_stop(void);
void control_input_dispatch(struct control_input *input, struct mesh *mesh);
void control_input_free(struct control_input *input);

#endif
