#ifndef TREFOILHILL_FLEET_SOURCE_H
#define TREFOILHILL_FLEET_SOURCE_H

#include <uv.h>

#include "fleet/replica.h"

/*
 * Where a node reads items: one call at a time, either of the whole or of
 * what changed. All calls end with handle_result, later and once, unless they
 * are cancelled.
 */
struct item_source;

enum source_end {
	SOURCE_OK,
	SOURCE_COMPACTED, /* the history no longer reaches back so far */
	SOURCE_BUSY,      /* the platform turned the call away */
	SOURCE_LOST,      /* no answer */
	SOURCE_INVALID,   /* an answer that can't be read */
};

struct source_result {
	enum source_end end;
	bool whole;        /* items are all there is, not changes */
	GPtrArray *items;  /* struct replica_item; borrowed */
	uint64_t revision; /* the items are whole up to here */
	const char *detail;
};

struct source_handler {
	void (*handle_result)(void *arg, const struct source_result *result);
	void *arg;
};

struct item_source_ops {
	void (*read_whole)(struct item_source *source, uint32_t timeout_ms,
	    struct source_handler handler);
	/* Waits up to wait_ms for the first change after a revision. */
	void (*read_changes)(struct item_source *source, uint64_t after,
	    uint32_t wait_ms, struct source_handler handler);
	void (*cancel)(struct item_source *source);
	void (*free)(struct item_source *source);
};
struct item_source {
	const struct item_source_ops *ops;
};

const char *source_end_name(enum source_end end);
struct replica_item *replica_item_new(
    const char *key, GBytes *value, uint64_t revision);
void replica_item_free(void *item);

#endif
