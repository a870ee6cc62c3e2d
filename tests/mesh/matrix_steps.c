#include "matrix.h"
#include "mesh/mesh_private.h"

enum {
	REACH_MS = 15000,
	ISOLATION_MS = 1500,
	BACKLOG_VERSIONS = MESH_PUBLICATIONS_MAX + 6,
};

static uint64_t
node_counter(const struct net *net, size_t index, enum mesh_counter counter)
{
	const struct mesh *mesh = net->nodes[index].mesh;

	return mesh == NULL ? 0 : counter_get(mesh_counters(mesh), counter);
}

static size_t
count_at_head(const struct net *net, size_t *last)
{
	uint64_t head = net_platform_head(&net->platform);
	size_t count = 0;

	for (size_t i = 0; i < net->settings.nodes; i++)
		if (net_version(net, i) == head) {
			*last = i;
			count++;
		}
	return count;
}

/*
 * Run until that many nodes have the newest version; the first victim is the
 * last one counted.
 */
static bool
run_until_applied(struct matrix_cell *cell, size_t wanted)
{
	for (int ms = 0; ms < REACH_MS; ms++) {
		if (count_at_head(cell->net, &cell->victims[0]) >= wanted)
			return true;
		net_run(cell->net, 1);
	}
	return false;
}

static bool
select_reader(struct matrix_cell *cell)
{
	for (size_t i = 0; i < cell->net->settings.nodes; i++)
		if (mesh_is_reader(cell->net->nodes[i].mesh)) {
			cell->victims[0] = i;
			return true;
		}
	return false;
}

static bool
reach_idle(struct matrix_cell *cell)
{
	cell->victims[0] = rng_below(cell->net->rng, cell->net->settings.nodes);
	return true;
}

static bool
reach_unread_change(struct matrix_cell *cell)
{
	net_publish_change(cell->net);
	return select_reader(cell);
}

static bool
reach_first_read(struct matrix_cell *cell)
{
	net_publish_change(cell->net);
	return run_until_applied(cell, 1);
}

static bool
reach_spreading(struct matrix_cell *cell)
{
	net_publish_change(cell->net);
	return run_until_applied(cell, cell->net->settings.nodes / 2);
}

static bool
reach_refused_spreading(struct matrix_cell *cell)
{
	net_publish_refused(cell->net);
	return run_until_applied(cell, cell->net->settings.nodes / 2);
}

/* A node that was isolated for a while pulls the versions it missed. */
static bool
reach_catch_up(struct matrix_cell *cell)
{
	struct net *net = cell->net;
	size_t index = rng_below(net->rng, net->settings.nodes);
	uint64_t pulls;

	net_cut_node(net, index, true, true);
	net->platform.cut[index] = true;
	net_publish_change(net);
	net_publish_change(net);
	net_run(net, ISOLATION_MS);
	pulls = node_counter(net, index, MESH_COUNTER_SENT_PULL);
	net_restore_links(net);
	cell->victims[0] = index;
	for (int ms = 0; ms < REACH_MS; ms++) {
		if (node_counter(net, index, MESH_COUNTER_SENT_PULL) > pulls)
			break;
		net_run(net, 1);
	}
	/* Restored only now: a reader would fetch what it missed itself. */
	net->platform.cut[index] = false;
	return node_counter(net, index, MESH_COUNTER_SENT_PULL) > pulls;
}

static bool
restart_until(
    struct matrix_cell *cell, bool (*reached)(const struct net *, size_t))
{
	struct net *net = cell->net;
	size_t index = rng_below(net->rng, net->settings.nodes);

	net_publish_change(net);
	net_run(net, ISOLATION_MS);
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
	return node_counter(net, index, MESH_COUNTER_SENT_JOIN) > 0;
}

static bool
has_pulled_state(const struct net *net, size_t index)
{
	return node_counter(net, index, MESH_COUNTER_SENT_STATE_PULL) > 0;
}

static bool
is_checking_floor(const struct net *net, size_t index)
{
	return net_version(net, index) > 0;
}

static bool
reach_joining(struct matrix_cell *cell)
{
	return restart_until(cell, has_asked);
}

static bool
reach_handover(struct matrix_cell *cell)
{
	return restart_until(cell, has_pulled_state);
}

static bool
reach_floor_check(struct matrix_cell *cell)
{
	return restart_until(cell, is_checking_floor);
}

/* After a platform outage, its log starts after the fleet's version. */
static bool
reach_raw_read(struct matrix_cell *cell)
{
	struct net *net = cell->net;

	net->platform.down = true;
	net_run(net, ISOLATION_MS);
	net->platform.log_limit = 2;
	for (int i = 0; i < 5; i++)
		net_publish_change(net);
	net_publish_refused(net);
	net->platform.down = false;
	for (int ms = 0; ms < REACH_MS; ms++) {
		for (size_t i = 0; i < net->settings.nodes; i++) {
			cell->victims[0] = i;
			if (net->nodes[i].mesh->reader.compacted)
				return true;
		}
		net_run(net, 1);
	}
	return false;
}

/*
 * The first reader has more publications than one message holds, so it only
 * announced them: it alone has these versions, while other nodes know that it
 * had them.
 */
static bool
reach_backlog(struct matrix_cell *cell)
{
	struct net *net = cell->net;

	net->platform.down = true;
	net_run(net, ISOLATION_MS);
	for (int i = 0; i < BACKLOG_VERSIONS; i++)
		net_publish_change(net);
	net->platform.down = false;
	if (!run_until_applied(cell, 1))
		return false;
	net_run(net, 1);
	return true;
}

const struct matrix_step matrix_steps[] = {
	{ "idle", reach_idle },
	{ "published, not read", reach_unread_change },
	{ "read by the first reader", reach_first_read },
	{ "spread to half", reach_spreading },
	{ "bad version spread to half", reach_refused_spreading },
	{ "pulling missed versions", reach_catch_up },
	{ "joining, asked", reach_joining },
	{ "joining, fetching the state", reach_handover },
	{ "joining, asking for the floor", reach_floor_check },
	{ "log compacted, raw read due", reach_raw_read },
	{ "backlog announced, not sent", reach_backlog },
};
const size_t matrix_step_count = G_N_ELEMENTS(matrix_steps);
