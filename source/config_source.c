#include "source/config_source.h"

/*
 * Ask the platform; a request of the same kind that is still open is given
 * up. The answer comes through the handler of the source.
 */
void
config_source_request(
    struct config_source *source, enum platform_request request, uint64_t after)
{
	source->ops->request(source, request, after);
}

/*
 * Give up a request. An answer that is already on its way may still come.
 */
void
config_source_cancel(
    struct config_source *source, enum platform_request request)
{
	source->ops->cancel(source, request);
}

/*
 * Stop the source and free it; no answer comes after. NULL is allowed.
 */
void
config_source_free(struct config_source *source)
{
	if (source != NULL)
		source->ops->free(source);
}
