#include <jansson.h>

#include "trefoilhilld/node.h"
#include "trefoilhilld/operator.h"

enum {
	STATUS_ACCEPTED = 202,
};

/*
 * POST /v1/drain: begin a graceful shutdown of this node.
 */
void
handle_drain(
    const struct operator_request *request, struct operator_answer *answer)
{
	node_drain(request->node);
	answer->status = STATUS_ACCEPTED;
	operator_answer_json(answer,
	    json_pack(
		"{s:s}", "state", node_state_name(node_state(request->node))));
}
