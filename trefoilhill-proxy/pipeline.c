#include "trefoilhill-proxy/pipeline.h"

/*
 * Tell whether the next request may be read. Peers and HTTP/1.0 callers get one
 * response at a time, and a node that shuts down reads no more requests on a
 * connection until it can close it. A caller that doesn't read its responses
 * would otherwise have the node buffer all of them.
 */
bool
pipeline_may_read(const struct pipeline *pipeline)
{
	const struct pipeline_request *last;

	if (pipeline->closing || pipeline->unsent)
		return false;
	if (pipeline->count == 0)
		return true;
	last = &pipeline->requests[pipeline->count - 1];
	return !pipeline->from_peer && !pipeline->stopping &&
	    last->keep_alive && !last->http_1_0 &&
	    pipeline->count < PIPELINE_REQUESTS_MAX &&
	    pipeline->buffered_bytes < PIPELINE_BUFFER_MAX_BYTES;
}

/*
 * Tell whether a request may be sent to an upstream. One that may run only once
 * waits until all before it are answered, and those behind it wait for it: they
 * may depend on its effect. Those behind a response that is sent before it is
 * complete wait for it as well: their responses would be lost with it. Nothing
 * is sent behind a response that closes, since the caller sends those requests
 * again.
 */
bool
pipeline_may_forward(const struct pipeline *pipeline, size_t index)
{
	if (pipeline->closing)
		return false;
	if (index == 0)
		return true;
	if (pipeline->requests[index].runs_once)
		return false;
	for (size_t i = 0; i < index; i++) {
		const struct pipeline_request *before = &pipeline->requests[i];

		if (!before->complete && (before->runs_once || before->streams))
			return false;
	}
	return true;
}

/*
 * Tell whether the response to a request may close the connection: only if no
 * request behind it may have run.
 */
bool
pipeline_may_close(const struct pipeline *pipeline, size_t index)
{
	for (size_t i = index + 1; i < pipeline->count; i++) {
		if (pipeline->requests[i].forwarded)
			return false;
	}
	return true;
}

/*
 * Return how many bytes of a response are buffered until it is complete. One
 * that breaks off after a part was sent takes along the responses to those
 * behind it that may have run.
 */
size_t
pipeline_response_buffer(const struct pipeline *pipeline, size_t index)
{
	return pipeline_may_close(pipeline, index)
	    ? PIPELINE_RESPONSE_BYTES
	    : PIPELINE_RESPONSE_BEHIND_BYTES;
}

/*
 * Tell whether more bytes may be added to the responses that wait for their
 * turn.
 */
bool
pipeline_may_buffer(size_t buffered_bytes, size_t more_bytes)
{
	return more_bytes <= PIPELINE_PAUSE_BYTES &&
	    buffered_bytes <= PIPELINE_PAUSE_BYTES - more_bytes;
}
