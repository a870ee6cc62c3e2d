#include "matrix.h"

enum {
	STALE_BY = 2,
};

static void
strike_killed(struct cell *cell, size_t victim)
{
	net_kill(cell->net, victim);
	cell->killed[victim] = true;
}

static void
strike_restarted(struct cell *cell, size_t victim)
{
	net_kill(cell->net, victim);
	net_start(cell->net, victim);
	cell->killed[victim] = false;
}

static void
strike_frozen(struct cell *cell, size_t victim)
{
	net_freeze(cell->net, victim, true);
}

static void
strike_cut_in(struct cell *cell, size_t victim)
{
	net_cut_node(cell->net, victim, true, false);
}

static void
strike_cut_out(struct cell *cell, size_t victim)
{
	net_cut_node(cell->net, victim, false, true);
}

static void
strike_cut_both(struct cell *cell, size_t victim)
{
	net_cut_node(cell->net, victim, true, true);
}

static void
strike_zone_cut(struct cell *cell, size_t victim)
{
	net_cut_zone(cell->net, victim % NET_ZONES, true);
}

static void
strike_zone_platform(struct cell *cell, size_t victim)
{
	for (size_t i = victim % NET_ZONES; i < cell->net->settings.nodes;
	     i += NET_ZONES)
		cell->net->source.cut[i] = true;
}

static void
strike_zone_restarted(struct cell *cell, size_t victim)
{
	for (size_t i = victim % NET_ZONES; i < cell->net->settings.nodes;
	     i += NET_ZONES)
		strike_restarted(cell, i);
}

static void
strike_late(struct cell *cell, size_t victim)
{
	cell->net->disorder = NET_LATE;
}

static void
strike_doubled(struct cell *cell, size_t victim)
{
	cell->net->disorder = NET_DOUBLED;
}

static void
strike_crossed(struct cell *cell, size_t victim)
{
	cell->net->disorder = NET_CROSSED;
}

static void
strike_platform_down(struct cell *cell, size_t victim)
{
	cell->net->source.down = true;
}

static void
strike_platform_stale(struct cell *cell, size_t victim)
{
	uint64_t head = net_platform_head(&cell->net->source);

	cell->net->source.stale_at = head > STALE_BY ? head - STALE_BY : 1;
}

const struct matrix_fault matrix_faults[] = {
	{ "process killed", strike_killed, CURRENT_OTHERS },
	{ "process restarted empty", strike_restarted, CURRENT_ALL },
	{ "process frozen", strike_frozen, CURRENT_OTHERS },
	{ "link cut, in", strike_cut_in, CURRENT_OTHERS },
	{ "link cut, out", strike_cut_out, CURRENT_OTHERS },
	{ "link cut, both", strike_cut_both, CURRENT_OTHERS },
	{ "zone cut from zones", strike_zone_cut, CURRENT_ALL },
	{ "zone cut from platform", strike_zone_platform, CURRENT_ALL },
	{ "zone restarted empty", strike_zone_restarted, CURRENT_ALL },
	{ "messages late", strike_late, CURRENT_ALL },
	{ "messages doubled", strike_doubled, CURRENT_ALL },
	{ "messages crossed", strike_crossed, CURRENT_ALL },
	{ "platform down", strike_platform_down, CURRENT_NONE },
	{ "platform stale", strike_platform_stale, CURRENT_NONE },
};
const size_t matrix_fault_count = G_N_ELEMENTS(matrix_faults);

/* End every fault; the dead come back empty. */
void
cell_heal(struct cell *cell)
{
	struct net *net = cell->net;

	net_heal_links(net);
	net->source.down = false;
	net->source.stale_at = 0;
	for (size_t i = 0; i < net->settings.nodes; i++) {
		net->source.cut[i] = false;
		net_freeze(net, i, false);
		if (cell->killed[i])
			net_start(net, i);
		cell->killed[i] = false;
	}
}
