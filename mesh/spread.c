#include "mesh/mesh_private.h"
#include "mesh/spread_tree.h"

enum {
	/* One push in this many also goes to another zone. */
	PUSH_OTHER_ZONE_INTERVAL = 4,
};

/*
 * Announce this node's state to the trackers of its floor and to the partners
 * in its zone.
 */
void
mesh_announce_state(struct mesh *mesh)
{
	for (size_t i = 0; i < mesh->members.tracker_count; i++)
		mesh_send_announce(mesh, mesh->members.trackers[i]->host.node);
	if (mesh->settings.policy == SPREAD_POLL)
		return;
	for (size_t i = 0; i < MESH_ZONE_PARTNERS; i++) {
		struct str address = partner_in_own_zone(&mesh->partners[i],
		    &mesh->members, mesh->env.rng, mesh->now);

		if (address.len > 0)
			mesh_send_announce(mesh, address);
	}
}

static size_t
pick_random_targets(struct mesh *mesh, const struct record **out)
{
	size_t fanout = MIN(mesh->settings.fanout, SPREAD_FANOUT_MAX);
	const struct record *peer;
	size_t found = 0;

	for (size_t i = 0; i < fanout; i++) {
		peer = members_pick_own_zone(&mesh->members, mesh->env.rng);
		if (peer != NULL)
			out[found++] = peer;
	}
	if (rng_below(mesh->env.rng, PUSH_OTHER_ZONE_INTERVAL) != 0)
		return found;
	peer = members_pick_other_zone(&mesh->members, mesh->env.rng);
	if (peer != NULL)
		out[found++] = peer;
	return found;
}

static bool
fits_one_message(struct publication **list, size_t count)
{
	size_t bytes = 0;

	for (size_t i = 0; i < count; i++)
		bytes += g_bytes_get_size(list[i]->json);
	return count <= MESH_PUBLICATIONS_MAX &&
	    bytes <= MESH_PUBLICATIONS_BYTES_MAX;
}

/*
 * Forward publications that this node has just applied, according to the
 * policy, and announce the state. If they do not fit into one message they are
 * only announced, and peers that lack them pull. from_outside is set unless a
 * peer of this zone sent them.
 */
void
mesh_spread_publications(struct mesh *mesh, struct publication **list,
    size_t count, bool from_outside)
{
	struct mesh_message message =
	    mesh_message_begin(mesh, MESH_PUBLICATIONS);
	const struct record *targets[SPREAD_TARGETS_MAX];
	size_t target_count = 0;

	message.publications.list = list;
	message.publications.count = count;
	if (!fits_one_message(list, count))
		goto announce;
	if (mesh->settings.policy == SPREAD_TREE)
		target_count =
		    spread_tree_targets(&mesh->members, message.state.version,
			mesh->settings.fanout, from_outside, targets);
	else if (mesh->settings.policy == SPREAD_PUSH)
		target_count = pick_random_targets(mesh, targets);
	for (size_t i = 0; i < target_count; i++)
		mesh_send(mesh, targets[i]->host.node, &message);
announce:
	mesh_announce_state(mesh);
}
