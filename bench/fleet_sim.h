#ifndef TREFOILHILL_BENCH_FLEET_SIM_H
#define TREFOILHILL_BENCH_FLEET_SIM_H

#include "common/clock.h"
#include "fleet.h"
#include "mesh/mesh.h"
#include "platform_load.h"

enum {
	FLEET_SIM_SEEDS_MAX = 3,
	FLEET_SIM_TICKS_PER_S = 1000 / MESH_TICK_MS,
};

struct fleet_node;

/* Start conditions of a simulated fleet. */
struct fleet_sim_options {
	size_t seeds;     /* per node, all in its own zone */
	bool drop_states; /* drop state transfers between nodes */
};

/*
 * Simulates a whole fleet and its platform in one process. Each node has a mesh
 * object; nodes with the same version share one snapshot object and exchange
 * encoded frames through queues. Frames and platform responses take one tick.
 */
struct fleet_sim {
	struct fleet fleet;
	struct fake_clock clock;
	struct fleet_node *nodes;
	GPtrArray *log; /* the platform's publications */
	struct mesh_host_entry *hosts;
	GArray *sent_frames;   /* struct frame, sent in this tick */
	GArray *due_frames;    /* struct frame, sent in the previous tick */
	GArray *pending_nodes; /* size_t, indices of nodes with a request */
	uint64_t ticks;
	bool drop_states;
	struct platform_load load;
};

struct fleet_sim *fleet_sim_new(
    const struct fleet *fleet, const struct fleet_sim_options *options);
void fleet_sim_free(struct fleet_sim *sim);
void fleet_sim_tick(struct fleet_sim *sim);
void fleet_sim_publish_change(struct fleet_sim *sim);
size_t fleet_sim_unready_count(const struct fleet_sim *sim);

#endif
