#ifndef TREFOILHILL_BENCH_FLEET_NET_H
#define TREFOILHILL_BENCH_FLEET_NET_H

#include "common/clock.h"
#include "fleet.h"
#include "mesh/mesh.h"
#include "platform_load.h"

enum {
	FLEET_NET_SEEDS_MAX = 3,
	FLEET_NET_TICKS_PER_S = 1000 / MESH_TICK_MS,
};

struct fleet_node;

/* Ways in which a fleet may begin. */
struct fleet_start {
	size_t seeds;     /* of each node, in its zone */
	bool lose_states; /* no whole state arrives from a peer */
};

/*
 * A whole fleet in one process: one mesh object a node, all with one snapshot
 * object, joined by queues of encoded frames, and a platform. A frame and an
 * answer of the platform take one tick.
 */
struct fleet_net {
	struct fleet fleet;
	struct fake_clock clock;
	struct fleet_node *nodes;
	GPtrArray *log; /* the platform's publications */
	struct mesh_host_entry *hosts;
	GArray *sent;   /* struct frame; of this tick */
	GArray *frames; /* of the tick before */
	GArray *asking; /* size_t, nodes with a request open */
	uint64_t ticks;
	bool lose_states;
	struct platform_load load;
};

struct fleet_net *fleet_net_new(
    const struct fleet *fleet, const struct fleet_start *start);
void fleet_net_free(struct fleet_net *net);
void fleet_net_tick(struct fleet_net *net);
void fleet_net_publish_change(struct fleet_net *net);
size_t fleet_net_unready(const struct fleet_net *net);

#endif
