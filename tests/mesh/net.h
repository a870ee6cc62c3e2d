#ifndef TREFOILHILL_TESTS_MESH_NET_H
#define TREFOILHILL_TESTS_MESH_NET_H

#include <glib.h>
#include <stdbool.h>

#include "mesh/mesh.h"
#include "mesh/message.h"
#include "net_platform.h"

/*
 * A simulated network: mesh objects connected by queues of encoded frames, with
 * a fake clock and a fake platform. A run is determined by its seed.
 */
enum {
	NET_NODES_MAX = 64,
	NET_ZONES = 3,
	NET_NAME_MAX = 32,
	NET_SEEDS = 3,
};

/* Faults in the delivery of frames. */
enum net_delivery_fault {
	NET_IN_ORDER,
	NET_DELAYED,    /* some frames arrive 3 s late */
	NET_DUPLICATED, /* every frame arrives twice */
	NET_REORDERED,  /* every frame takes 0 to 200 ms */
};

struct net;

struct net_node {
	struct net *net;
	size_t index;
	char host[NET_NAME_MAX];
	char zone[NET_NAME_MAX];
	char address[NET_NAME_MAX];
	struct mesh *mesh; /* NULL: the process does not run */
	struct rng *rng;
	struct mesh_transport transport;
	struct mesh_platform platform;
	struct mesh_observer observer;
	uint64_t incarnation;
	bool frozen;
	GQueue *held;              /* deliveries that arrived while frozen */
	struct state_id published; /* by any process of this host */
	uint64_t published_by;     /* incarnation of that process */
	uint64_t bytes_out;
	uint64_t messages_out;
	uint64_t busy_ns;
};

struct net_settings {
	size_t nodes; /* assigned to the zones round-robin */
	uint64_t seed;
	enum spread_policy policy;
	size_t seeds; /* number of nodes, from the first, that are seeds */
};

struct net {
	struct net_settings settings;
	struct fake_clock clock;
	struct rng *rng;
	struct net_node nodes[NET_NODES_MAX];
	struct str seeds[NET_SEEDS];
	bool cut[NET_NODES_MAX][NET_NODES_MAX];
	enum net_delivery_fault delivery_fault;
	int64_t link_us; /* one way */
	GSequence *queue;
	uint64_t next_order;
	struct net_platform platform;
	uint64_t sent[MESH_MESSAGE_KIND_COUNT];
	uint64_t bytes[MESH_MESSAGE_KIND_COUNT];
	uint64_t run_digest; /* of all frames delivered, in order */
	/* violations found */
	size_t version_regressions;
	size_t dangling_states;
	size_t refused_content;
	uint64_t messages;
	uint64_t messages_max; /* the simulation stops beyond this */
	void (*handle_publish)(struct net *, struct net_node *);
	void *arg;
};

void net_init(struct net *net, const struct net_settings *settings);
void net_release(struct net *net);
void net_start(struct net *net, size_t index);
void net_start_all(struct net *net);
void net_kill(struct net *net, size_t index);
void net_freeze(struct net *net, size_t index, bool frozen);
void net_cut_zone(struct net *net, size_t zone, bool cut);
void net_cut_node(struct net *net, size_t index, bool in, bool out);
void net_restore_links(struct net *net);
void net_run(struct net *net, int64_t ms);
/*
 * Run until all nodes have the same state at the platform's head and return the
 * time in milliseconds, or -1 after limit_ms.
 */
int64_t net_run_until_converged(struct net *net, int64_t limit_ms);
bool net_is_converged(const struct net *net);
uint64_t net_version(const struct net *net, size_t index);
void net_schedule(struct net *net, struct net_node *node, int64_t us,
    void (*run)(struct net_node *, void *), GDestroyNotify drop, void *data);
/* Publish the fleet of this network, a small valid change, or a refused one. */
void net_publish_fleet(struct net *net, size_t extra_hosts);
void net_publish_change(struct net *net);
void net_publish_refused(struct net *net);
void net_publish_zone_state(struct net *net, size_t zone, bool out);

#endif
