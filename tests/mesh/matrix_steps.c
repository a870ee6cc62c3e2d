#include "matrix.h"
#include "mesh/mesh_private.h"

enum {
	REACH_MS = 15000,
	LEFT_BEHIND_MS = 1500,
	BACKLOG = MESH_PUBLICATIONS_MAX + 6,
};

static uint64_t
counter_of(const struct net *net, size_t index, enum mesh_counter counter)
{
	const struct mesh *mesh = net->nodes[index].mesh;

	return mesh == NULL ? 0 : counter_get(mesh_counters(mesh), counter);
}

static size_t
count_at_head(const struct net *net, size_t *last)
{
	uint64_t head = net_platform_head(&net->source);
	size_t count = 0;

	for (size_t i = 0; i < net->settings.nodes; i++)
		if (net_version(net, i) == head) {
			*last = i;
			count++;
		}
	return count;
}

/* Run until so many nodes have the newest version; the last one acts. */
static bool
run_until_taken(struct cell *cell, size_t wanted)
{
	for (int ms = 0; ms < REACH_MS; ms++) {
		if (count_at_head(cell->net, &cell->victims[0]) >= wanted)
			return true;
		net_run(cell->net, 1);
	}
	return false;
}

static bool
pick_reader(struct cell *cell)
{
	for (size_t i = 0; i < cell->net->settings.nodes; i++)
		if (mesh_is_reader(cell->net->nodes[i].mesh)) {
			cell->victims[0] = i;
			return true;
		}
	return false;
}

static bool
reach_rest(struct cell *cell)
{
	cell->victims[0] = rng_below(cell->net->rng, cell->net->settings.nodes);
	return true;
}

static bool
reach_published(struct cell *cell)
{
	net_publish_change(cell->net);
	return pick_reader(cell);
}

static bool
reach_read(struct cell *cell)
{
	net_publish_change(cell->net);
	return run_until_taken(cell, 1);
}

static bool
reach_spreading(struct cell *cell)
{
	net_publish_change(cell->net);
	return run_until_taken(cell, cell->net->settings.nodes / 2);
}

static bool
reach_bad_spreading(struct cell *cell)
{
	net_publish_bad(cell->net);
	return run_until_taken(cell, cell->net->settings.nodes / 2);
}

/* A node that was cut off for a while is pulling what it missed. */
static bool
reach_repair(struct cell *cell)
{
	struct net *net = cell->net;
	size_t index = rng_below(net->rng, net->settings.nodes);
	uint64_t pulls;

	net_cut_node(net, index, true, true);
	net->source.cut[index] = true;
	net_publish_change(net);
	net_publish_change(net);
	net_run(net, LEFT_BEHIND_MS);
	pulls = counter_of(net, index, MESH_COUNTER_SENT_PULL);
	net_heal_links(net);
	cell->victims[0] = index;
	for (int ms = 0; ms < REACH_MS; ms++) {
		if (counter_of(net, index, MESH_COUNTER_SENT_PULL) > pulls)
			break;
		net_run(net, 1);
	}
	/* Only now, or a reader would read what it missed. */
	net->source.cut[index] = false;
	return counter_of(net, index, MESH_COUNTER_SENT_PULL) > pulls;
}

static bool
restart_until(struct cell *cell, bool (*reached)(const struct net *, size_t))
{
	struct net *net = cell->net;
	size_t index = rng_below(net->rng, net->settings.nodes);

	net_publish_change(net);
	net_run(net, LEFT_BEHIND_MS);
	net_kill(net, index);
	net_start(net, index);
	cell->victims[0] = index;
	for (int ms = 0; ms < REACH_MS; ms++) {
		if (reached(net, index))
			return true;
		net_run(net, 1);
	}
	return false;
}

static bool
has_asked(const struct net *net, size_t index)
{
	return counter_of(net, index, MESH_COUNTER_SENT_JOIN) > 0;
}

static bool
has_pulled_state(const struct net *net, size_t index)
{
	return counter_of(net, index, MESH_COUNTER_SENT_STATE_PULL) > 0;
}

static bool
is_settling(const struct net *net, size_t index)
{
	return net_version(net, index) > 0;
}

static bool
reach_joining(struct cell *cell)
{
	return restart_until(cell, has_asked);
}

static bool
reach_handover(struct cell *cell)
{
	return restart_until(cell, has_pulled_state);
}

static bool
reach_settling(struct cell *cell)
{
	return restart_until(cell, is_settling);
}

/* The platform was away, and its log no longer reaches back to the fleet. */
static bool
reach_raw(struct cell *cell)
{
	struct net *net = cell->net;

	net->source.down = true;
	net_run(net, LEFT_BEHIND_MS);
	net->source.log_limit = 2;
	for (int i = 0; i < 5; i++)
		net_publish_change(net);
	net_publish_bad(net);
	net->source.down = false;
	for (int ms = 0; ms < REACH_MS; ms++) {
		for (size_t i = 0; i < net->settings.nodes; i++) {
			cell->victims[0] = i;
			if (net->nodes[i].mesh->reading.compacted)
				return true;
		}
		net_run(net, 1);
	}
	return false;
}

/*
 * The first reader has more than one message holds, so it could announce it
 * only: it alone has the versions, and others know that it had them.
 */
static bool
reach_backlog(struct cell *cell)
{
	struct net *net = cell->net;

	net->source.down = true;
	net_run(net, LEFT_BEHIND_MS);
	for (int i = 0; i < BACKLOG; i++)
		net_publish_change(net);
	net->source.down = false;
	if (!run_until_taken(cell, 1))
		return false;
	net_run(net, 1);
	return true;
}

const struct matrix_step matrix_steps[] = {
	{ "at rest", reach_rest },
	{ "published, not read", reach_published },
	{ "read by the first reader", reach_read },
	{ "spread to half", reach_spreading },
	{ "bad version spread to half", reach_bad_spreading },
	{ "pulling what was missed", reach_repair },
	{ "joining, asked", reach_joining },
	{ "joining, fetching the state", reach_handover },
	{ "joining, asking for the floor", reach_settling },
	{ "log compacted, raw read due", reach_raw },
	{ "backlog announced, not passed on", reach_backlog },
};
const size_t matrix_step_count = G_N_ELEMENTS(matrix_steps);
