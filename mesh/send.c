#include "mesh/mesh_private.h"

static const enum mesh_counter sent_counters[MESH_MESSAGE_KIND_COUNT] = {
	[MESH_HEARTBEAT] = MESH_COUNTER_SENT_HEARTBEAT,
	[MESH_ANNOUNCE] = MESH_COUNTER_SENT_ANNOUNCE,
	[MESH_PULL] = MESH_COUNTER_SENT_PULL,
	[MESH_PUBLICATIONS] = MESH_COUNTER_SENT_PUBLICATIONS,
	[MESH_STATE_PULL] = MESH_COUNTER_SENT_STATE_PULL,
	[MESH_STATE_PART] = MESH_COUNTER_SENT_STATE_PART,
	[MESH_JOIN] = MESH_COUNTER_SENT_JOIN,
	[MESH_WELCOME] = MESH_COUNTER_SENT_WELCOME,
};

/*
 * Return a message that carries this node's identity and state.
 */
struct mesh_message
mesh_message_begin(const struct mesh *mesh, enum mesh_message_kind kind)
{
	struct mesh_message message = {
	    .kind = kind,
	    .sender =
		{
		    .host = mesh->settings.host,
		    .zone = mesh->settings.zone,
		    .address = mesh->settings.address,
		},
	    .incarnation = mesh->settings.incarnation,
	    .ready = mesh->state == MESH_READY,
	    .state = snapshot_id(mesh->snapshot),
	};

	return message;
}

/*
 * Send a message to a node address and count it.
 */
void
mesh_send(
    struct mesh *mesh, struct str address, const struct mesh_message *message)
{
	counter_add(&mesh->counters, sent_counters[message->kind], 1);
	mesh->env.transport->ops->send(mesh->env.transport, address, message);
}

/*
 * Announce this node's state to one peer.
 */
void
mesh_send_announce(struct mesh *mesh, struct str address)
{
	struct mesh_message message = mesh_message_begin(mesh, MESH_ANNOUNCE);

	mesh_send(mesh, address, &message);
}
