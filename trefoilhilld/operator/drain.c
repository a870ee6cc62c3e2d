#include <jansson.h>

#include "trefoilhilld/node.h"
#include "trefoilhilld/operator.h"

enum {
	STATUS_ACCEPTED = 202,
};

/*
 * POST /v1/drain: begins a graceful shutdown of this node.
 */
void
handle_drain(
    const struct operator_request *request, struct operator_response *response)
{
	node_drain(request->node);
	response->status = STATUS_ACCEPTED;
	operator_response_set_json(response,
	    json_pack(
		"{s:s}", "state", node_state_name(node_state(request->node))));
}
