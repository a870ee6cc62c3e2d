#ifndef TREFOILHILL_TESTS_FAKE_SNAPSHOT_H
#define TREFOILHILL_TESTS_FAKE_SNAPSHOT_H

#include "config/snapshot.h"

enum {
	FAKE_UPSTREAMS_MAX = 16,
};

/* A snapshot of one service, "vault", with one upstream on each host. */
struct snapshot {
	struct service_view view;
	struct record upstreams[FAKE_UPSTREAMS_MAX];
	struct record hosts[FAKE_UPSTREAMS_MAX];
	struct record *upstream_list[FAKE_UPSTREAMS_MAX];
	struct record *host_list[FAKE_UPSTREAMS_MAX];
	char names[FAKE_UPSTREAMS_MAX][24];
	bool removed[FAKE_UPSTREAMS_MAX];
};

/* Initialize a snapshot with upstream i, named "u<i>", in zones[i]. */
void fake_snapshot_init(
    struct snapshot *snapshot, const char *const *zones, size_t count);

#endif
