#include "mesh/mesh_private.h"

enum {
	WELCOME_TRIES = 2 * MESH_WELCOME_PEERS_MAX,
	/* One listed peer in this many is from another zone. */
	WELCOME_OTHER_ZONE_INTERVAL = 4,
};

/*
 * Respond to a pull from the ring: the publications that follow the peer's
 * version, as many as fit into one message, or a gap if the ring starts later.
 */
void
mesh_handle_pull(struct mesh *mesh, const struct mesh_message *message)
{
	struct publication *list[MESH_PUBLICATIONS_MAX];
	struct mesh_message response =
	    mesh_message_begin(mesh, MESH_PUBLICATIONS);
	uint64_t version = message->pull.after;
	size_t bytes = 0;
	size_t count = 0;

	while (count < MESH_PUBLICATIONS_MAX) {
		struct publication *next =
		    publication_ring_find(&mesh->ring, ++version);

		if (next == NULL)
			break;
		bytes += g_bytes_get_size(next->json);
		if (count > 0 && bytes > MESH_PUBLICATIONS_BYTES_MAX)
			break;
		list[count++] = next;
	}
	response.publications.request = message->pull.request;
	response.publications.list = list;
	response.publications.count = count;
	response.publications.gap =
	    count == 0 && message->pull.after < response.state.version;
	mesh_send(mesh, message->sender.address, &response);
}

static bool
is_known_unready(const struct mesh *mesh, struct str host)
{
	const struct peer *peer =
	    g_hash_table_lookup(mesh->peers.by_host, &host);

	return peer != NULL && !peer->ready;
}

static size_t
list_members(struct mesh *mesh, struct mesh_node *out)
{
	size_t count = 0;

	for (size_t i = 0; i < WELCOME_TRIES && count < MESH_WELCOME_PEERS_MAX;
	     i++) {
		const struct record *host = i % WELCOME_OTHER_ZONE_INTERVAL == 0
		    ? members_pick_other_zone(&mesh->members, mesh->env.rng)
		    : members_pick_own_zone(&mesh->members, mesh->env.rng);

		if (host == NULL || is_known_unready(mesh, host->name))
			continue;
		out[count++] = (struct mesh_node){
			.host = host->name,
			.zone = host->host.zone,
			.address = host->host.node,
		};
	}
	return count;
}

/*
 * Without a snapshot, only the nodes that sent messages to this one are known.
 */
static size_t
list_known_peers(struct mesh *mesh, struct mesh_node *out)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, mesh->peers.by_host);
	while (count < MESH_WELCOME_PEERS_MAX &&
	    g_hash_table_iter_next(&iter, NULL, &value))
		out[count++] = ((struct peer *)value)->node;
	return count;
}

static void
send_welcome(
    struct mesh *mesh, const struct mesh_message *message, uint64_t request)
{
	struct mesh_node peers[MESH_WELCOME_PEERS_MAX];
	struct mesh_message response = mesh_message_begin(mesh, MESH_WELCOME);

	response.welcome.request = request;
	response.welcome.floor =
	    peer_table_floor(&mesh->peers, message->sender.host);
	response.welcome.peers = peers;
	response.welcome.peer_count = mesh->members.host_count > 0
	    ? list_members(mesh, peers)
	    : list_known_peers(mesh, peers);
	mesh_send(mesh, message->sender.address, &response);
}

/*
 * Respond to a join with the version floor that this node knows for the
 * sender's host, and with peers to ask.
 */
void
mesh_handle_join(struct mesh *mesh, const struct mesh_message *message)
{
	send_welcome(mesh, message, 0);
}

/*
 * Send one part of a full accepted state. A joining node has none to send, and
 * the bytes sent per second are limited; a peer that must wait gets a list of
 * other peers instead.
 */
void
mesh_handle_state_pull(struct mesh *mesh, const struct mesh_message *message)
{
	const struct mesh_state_pull *pull = &message->state_pull;
	struct mesh_message response =
	    mesh_message_begin(mesh, MESH_STATE_PART);
	struct mesh_state_part *part = &response.state_part;

	if (mesh->state != MESH_READY ||
	    (pull->offset == 0 &&
		!handover_may_begin(&mesh->handover, mesh->now))) {
		counter_add(&mesh->counters, MESH_COUNTER_HANDOVER_BUSY, 1);
		send_welcome(mesh, message, pull->request);
		return;
	}
	handover_prepare(&mesh->handover, mesh->snapshot, pull->want,
	    pull->offset > 0, mesh->now);
	if (!handover_fill_part(&mesh->handover, pull->offset, part))
		return;
	part->request = pull->request;
	mesh_send(mesh, message->sender.address, &response);
	g_bytes_unref(part->bytes);
}
