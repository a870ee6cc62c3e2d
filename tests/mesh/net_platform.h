#ifndef TREFOILHILL_TESTS_MESH_NET_PLATFORM_H
#define TREFOILHILL_TESTS_MESH_NET_PLATFORM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "mesh/mesh.h"

enum {
	NET_WATCHES_MAX = 64,
};

struct net;
struct net_node;

struct net_watch {
	struct net_node *node; /* NULL: no watch */
	struct mesh *mesh;     /* process that sent the request */
	uint64_t after;
	int64_t until_ms;
};

/* Fake platform: a log of publications, with faults that a test sets. */
struct net_platform {
	GPtrArray *log;      /* struct publication *, from revision 1 */
	GHashTable *records; /* "kind/name" to the latest raw record */
	bool down;
	uint64_t stale_at;  /* 0: current */
	uint64_t log_limit; /* 0: unlimited */
	bool cut[64];
	bool no_hosts; /* responds with an empty list of hosts */
	uint64_t reads;
	uint64_t waiting;
	struct net_watch watches[NET_WATCHES_MAX];
};

void net_platform_init(struct net_platform *platform);
void net_platform_release(struct net_platform *platform);
uint64_t net_platform_head(const struct net_platform *platform);
void net_platform_publish(struct net *net, const char *json);
void net_platform_request(
    struct net_node *node, enum platform_request request, uint64_t after);
void net_platform_cancel(struct net_node *node, enum platform_request request);
/* Respond to the watches that have new changes or timed out. */
void net_platform_step(struct net *net);

#endif
