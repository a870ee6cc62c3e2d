#ifndef TREFOILHILL_TREFOILHILLD_CONTROL_INPUT_H
#define TREFOILHILL_TREFOILHILLD_CONTROL_INPUT_H

#include "mesh/mesh.h"
#include "mesh/message.h"
#include "source/config_source.h"

/* Something that another thread hands to the control thread. */
struct control_input {
	enum {
		CONTROL_INPUT_MESSAGE,
		CONTROL_INPUT_BAD_FRAME,
		CONTROL_INPUT_ANSWER,
		CONTROL_INPUT_STOP,
	} kind;
	union {
		struct mesh_message *message;
		GError *error; /* why a frame did not decode */
		struct config_answer *answer;
	};
};

struct control_input *control_input_message(struct mesh_message *message);
struct control_input *control_input_bad_frame(GError *error);
struct control_input *control_input_answer(struct config_answer *answer);
struct control_input *control_input_stop(void);
void control_input_apply(struct control_input *input, struct mesh *mesh);
void control_input_free(struct control_input *input);

#endif
