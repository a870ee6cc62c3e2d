#include "matrix.h"

enum {
	STALE_REVISIONS = 2,
};

static void
inject_kill(struct matrix_cell *cell, size_t victim)
{
	net_kill(cell->net, victim);
	cell->killed[victim] = true;
}

static void
inject_restart(struct matrix_cell *cell, size_t victim)
{
	net_kill(cell->net, victim);
	net_start(cell->net, victim);
	cell->killed[victim] = false;
}

static void
inject_freeze(struct matrix_cell *cell, size_t victim)
{
	net_freeze(cell->net, victim, true);
}

static void
inject_inbound_cut(struct matrix_cell *cell, size_t victim)
{
	net_cut_node(cell->net, victim, true, false);
}

static void
inject_outbound_cut(struct matrix_cell *cell, size_t victim)
{
	net_cut_node(cell->net, victim, false, true);
}

static void
inject_link_cut(struct matrix_cell *cell, size_t victim)
{
	net_cut_node(cell->net, victim, true, true);
}

static void
inject_zone_partition(struct matrix_cell *cell, size_t victim)
{
	net_cut_zone(cell->net, victim % NET_ZONES, true);
}

static void
inject_zone_platform_cut(struct matrix_cell *cell, size_t victim)
{
	for (size_t i = victim % NET_ZONES; i < cell->net->settings.nodes;
	     i += NET_ZONES)
		cell->net->platform.cut[i] = true;
}

static void
inject_zone_restart(struct matrix_cell *cell, size_t victim)
{
	for (size_t i = victim % NET_ZONES; i < cell->net->settings.nodes;
	     i += NET_ZONES)
		inject_restart(cell, i);
}

static void
inject_delay(struct matrix_cell *cell, size_t victim)
{
	cell->net->delivery_fault = NET_DELAYED;
}

static void
inject_duplication(struct matrix_cell *cell, size_t victim)
{
	cell->net->delivery_fault = NET_DUPLICATED;
}

static void
inject_reordering(struct matrix_cell *cell, size_t victim)
{
	cell->net->delivery_fault = NET_REORDERED;
}

static void
inject_platform_outage(struct matrix_cell *cell, size_t victim)
{
	cell->net->platform.down = true;
}

static void
inject_stale_platform(struct matrix_cell *cell, size_t victim)
{
	uint64_t head = net_platform_head(&cell->net->platform);

	cell->net->platform.stale_at =
	    head > STALE_REVISIONS ? head - STALE_REVISIONS : 1;
}

const struct matrix_fault matrix_faults[] = {
	{ "process killed", inject_kill, CURRENT_OTHERS },
	{ "process restarted empty", inject_restart, CURRENT_ALL },
	{ "process frozen", inject_freeze, CURRENT_OTHERS },
	{ "inbound links cut", inject_inbound_cut, CURRENT_OTHERS },
	{ "outbound links cut", inject_outbound_cut, CURRENT_OTHERS },
	{ "all links cut", inject_link_cut, CURRENT_OTHERS },
	{ "zone cut from other zones", inject_zone_partition, CURRENT_ALL },
	{ "zone cut from platform", inject_zone_platform_cut, CURRENT_ALL },
	{ "zone restarted empty", inject_zone_restart, CURRENT_ALL },
	{ "messages delayed", inject_delay, CURRENT_ALL },
	{ "messages duplicated", inject_duplication, CURRENT_ALL },
	{ "messages reordered", inject_reordering, CURRENT_ALL },
	{ "platform down", inject_platform_outage, CURRENT_NONE },
	{ "platform stale", inject_stale_platform, CURRENT_NONE },
};
const size_t matrix_fault_count = G_N_ELEMENTS(matrix_faults);

/* Clear all faults; killed nodes restart with an empty state. */
void
cell_clear_faults(struct matrix_cell *cell)
{
	struct net *net = cell->net;

	net_restore_links(net);
	net->platform.down = false;
	net->platform.stale_at = 0;
	for (size_t i = 0; i < net->settings.nodes; i++) {
		net->platform.cut[i] = false;
		net_freeze(net, i, false);
		if (cell->killed[i])
			net_start(net, i);
		cell->killed[i] = false;
	}
}
