#ifndef TREFOILHILL_TREFOILHILL_PROXY_SHAPER_H
#define TREFOILHILL_TREFOILHILL_PROXY_SHAPER_H

#include "http/stream.h"

/*
 * Keeps the queue of the host's link short: large answers leave in pieces, at
 * the rate that the link and the small answers leave them, so that a small
 * answer never stands behind a large one. Of the large ones, the one that began
 * first is finished first: sharing the link would make all of them late.
 */
struct shaper;

/* The bytes of one large answer that wait; embedded by its owner. */
struct shaper_flow {
	struct http_stream *to;
	/* Some bytes have left; may end the flow. */
	void (*handle_sent)(struct shaper_flow *flow);
	bool late; /* goes behind those that can be on time */
	/* The shaper's own. */
	GList link;
	GByteArray *bytes; /* NULL: the flow has not begun */
	size_t sent;
	uint64_t sequence; /* in the order of beginning */
	bool queued;
};

/* A rate of 0: everything leaves at once. */
struct shaper *shaper_new(uv_loop_t *loop, uint32_t kbps);
void shaper_free(struct shaper *shaper);
/* A small answer has left. */
void shaper_charge(struct shaper *shaper, size_t bytes);
/* Send as soon as it is this flow's turn. */
void shaper_write(
    struct shaper *shaper, struct shaper_flow *flow, struct str bytes);
size_t shaper_flow_pending(const struct shaper_flow *flow);
/* Drop what waits. */
void shaper_flow_end(struct shaper *shaper, struct shaper_flow *flow);

#endif
