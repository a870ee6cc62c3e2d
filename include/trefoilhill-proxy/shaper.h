#ifndef TREFOILHILL_TREFOILHILL_PROXY_SHAPER_H
#define TREFOILHILL_TREFOILHILL_PROXY_SHAPER_H

#include "http/stream.h"

/*
 * Traffic shaper for the host's link. Large responses are sent in pieces, at
 * the rate that small responses leave over, so that a small response doesn't
 * queue behind a large one. Large responses are sent in the order in which they
 * started: sharing the link between them would delay all of them.
 */
struct shaper;

/*
 * Unsent bytes of one large response; embedded by its owner, and ended with
 * shaper_flow_end.
 */
struct shaper_flow {
	struct http_stream *to;
	/* Some bytes have been sent; may end the flow. */
	void (*handle_sent)(struct shaper_flow *flow);
	bool late; /* sent after flows that can meet their objective */
	/* Private to the shaper. */
	GList link;
	struct account_buffer bytes;
	bool started;
	uint64_t sequence; /* order in which flows started */
	bool queued;
};

/* A rate of 0 disables shaping. */
struct shaper *shaper_new(uv_loop_t *loop, uint32_t kbps);
void shaper_free(struct shaper *shaper);
/* Account for bytes that were sent without shaping. */
void shaper_charge(struct shaper *shaper, size_t bytes);
/* Queue bytes of a flow for sending. */
void shaper_write(
    struct shaper *shaper, struct shaper_flow *flow, struct str bytes);
size_t shaper_flow_pending(const struct shaper_flow *flow);
/* Drop unsent bytes. */
void shaper_flow_end(struct shaper *shaper, struct shaper_flow *flow);

#endif
