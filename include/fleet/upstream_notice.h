#ifndef TREFOILHILL_FLEET_UPSTREAM_NOTICE_H
#define TREFOILHILL_FLEET_UPSTREAM_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * What an upstream says of itself in its responses. It is newer than the
 * registration in the store, and known while the store is away.
 */
struct upstream_notice {
	bool known; /* it has responded, to the node that holds this notice */
	bool has_rate_limit;
	/* The limit can't be read; the one known before holds. */
	bool rate_limit_invalid;
	/* Requests that it takes in 1,000 seconds, from all nodes together. */
	uint32_t rate_limit_per_ks;
	bool leaving; /* it is about to end */
};

/*
 * Update what is known of an upstream by its latest response; true if that
 * changes anything.
 */
bool upstream_notice_update(
    struct upstream_notice *known, const struct upstream_notice *latest);

#endif
