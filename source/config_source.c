#include "source/config_source.h"

/*
 * Send a request to the platform. One of the same kind that is still open is
 * cancelled. The response goes to the source's handle_response.
 */
void
config_source_request(
    struct config_source *source, enum platform_request request, uint64_t after)
{
	source->ops->request(source, request, after);
}

/*
 * Cancel a request. A response that is already being delivered may still reach
 * the handler.
 */
void
config_source_cancel(
    struct config_source *source, enum platform_request request)
{
	source->ops->cancel(source, request);
}

/*
 * Stop the source's thread and free the source; no response is delivered after
 * that. NULL is allowed.
 */
void
config_source_free(struct config_source *source)
{
	if (source != NULL)
		source->ops->free(source);
}
