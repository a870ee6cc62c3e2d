#ifndef TREFOILHILL_TREFOILHILL_PROXY_PIPELINE_H
#define TREFOILHILL_TREFOILHILL_PROXY_PIPELINE_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Decisions about pipelined requests on one connection, without I/O. Load
 * pattern: callers that send several requests before the first is answered, of
 * different run times and response sizes, some of which may run only once.
 */
enum {
	PIPELINE_REQUESTS_MAX = 16, /* unanswered, per connection */
	/* Of responses and request bodies that wait for their turn. */
	PIPELINE_BUFFER_MAX_BYTES = 256 * 1024,
	/*
	 * Reading of responses that wait pauses here. Each of them may have
	 * been read from once more, which still fits below the limit.
	 */
	PIPELINE_PAUSE_BYTES = 192 * 1024,
	PIPELINE_READ_BYTES = 4 * 1024, /* at once of a response that waits */
	/*
	 * A response up to this size is buffered until it is complete, so that
	 * the request can be retried if the response is truncated.
	 */
	PIPELINE_RESPONSE_BYTES = 128 * 1024,
	/* The same if its connection has other responses to lose. */
	PIPELINE_RESPONSE_BEHIND_BYTES = 512 * 1024,
};

/* A request that is not completely answered. */
struct pipeline_request {
	bool runs_once; /* must not overlap with other requests */
	bool forwarded; /* an upstream may have received it */
	bool complete;  /* its response is complete; some may be unsent */
	/*
	 * Its response is probably sent before it is complete, so that it ends
	 * the connection if it breaks off.
	 */
	bool streams;
	bool keep_alive; /* the caller may send another one after it */
	bool http_1_0;
};

struct pipeline {
	struct pipeline_request requests[PIPELINE_REQUESTS_MAX]; /* in order */
	size_t count;
	size_t buffered_bytes; /* see PIPELINE_BUFFER_MAX_BYTES */
	bool unsent;           /* the caller doesn't read what is sent */
	bool closing;          /* a response that closes has begun */
	bool stopping;         /* the node shuts down */
	bool from_peer;
};

/* May the next request be read, once the last one has been? */
bool pipeline_may_read(const struct pipeline *pipeline);
/* May a request be sent to an upstream? */
bool pipeline_may_forward(const struct pipeline *pipeline, size_t index);
/* May the response to a request close the connection for a shutdown? */
bool pipeline_may_close(const struct pipeline *pipeline, size_t index);
/* How many bytes of a response are buffered until it is complete? */
size_t pipeline_response_buffer(const struct pipeline *pipeline, size_t index);
/* May so many bytes be added to the responses that wait for their turn? */
bool pipeline_may_buffer(size_t buffered_bytes, size_t more_bytes);

#endif
