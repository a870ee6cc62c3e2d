#ifndef TREFOILHILL_FLEET_SOURCE_H
#define TREFOILHILL_FLEET_SOURCE_H

#include <uv.h>

#include "fleet/replica.h"

/*
 * A source of replica items. It runs one call at a time, for a full snapshot or
 * for changes. Each call ends with one handle_result, always asynchronously,
 * unless it is cancelled.
 */
struct item_source;

enum source_status {
	SOURCE_OK,
	SOURCE_COMPACTED,   /* the requested revision is no longer in history */
	SOURCE_TOO_LARGE,   /* the changes don't fit in one response */
	SOURCE_BUSY,        /* the platform rejected the call as overloaded */
	SOURCE_UNREACHABLE, /* no response */
	SOURCE_REFUSED,     /* an unexpected status */
	SOURCE_INVALID,     /* the response could not be decoded */
};

struct source_result {
	enum source_status status;
	bool is_snapshot;       /* items are a full snapshot, not changes */
	GPtrArray *items;       /* struct replica_item; borrowed */
	uint32_t skipped_count; /* items that could not be decoded */
	struct store_position position; /* items are complete up to here */
	const char *detail;             /* for logs */
};

struct source_handler {
	void (*handle_result)(void *arg, const struct source_result *result);
	void *arg;
};

struct item_source_ops {
	void (*read_snapshot)(struct item_source *source, uint32_t timeout_ms,
	    struct source_handler handler);
	/* Long poll: waits up to wait_ms for a change after a revision. */
	void (*read_changes)(struct item_source *source, uint64_t after,
	    uint32_t wait_ms, struct source_handler handler);
	void (*cancel)(struct item_source *source);
	void (*free)(struct item_source *source);
};
struct item_source {
	const struct item_source_ops *ops;
};

const char *source_status_name(enum source_status status);
struct replica_item *replica_item_new(
    const char *key, GBytes *value, uint64_t revision);
void replica_item_free(void *item);

#endif
