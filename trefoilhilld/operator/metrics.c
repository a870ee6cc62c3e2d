#include "trefoilhilld/node.h"
#include "trefoilhilld/operator.h"

/*
 * GET /v1/metrics: returns all metrics in the Prometheus text format.
 */
void
handle_metrics(
    const struct operator_request *request, struct operator_response *response)
{
	response->content_type = "text/plain; version=0.0.4";
	node_render_metrics(request->node, response->body);
}
