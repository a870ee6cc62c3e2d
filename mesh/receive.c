#include "mesh/mesh_private.h"
#include "wire/mesh_codec.h"

static const enum mesh_counter decode_error_counters[MESH_CODEC_ERROR_COUNT] = {
	[MESH_CODEC_ERROR_TOO_LARGE] = MESH_COUNTER_BAD_TOO_LARGE,
	[MESH_CODEC_ERROR_MALFORMED] = MESH_COUNTER_BAD_MALFORMED,
	[MESH_CODEC_ERROR_PROTOCOL] = MESH_COUNTER_BAD_PROTOCOL,
	[MESH_CODEC_ERROR_KIND] = MESH_COUNTER_BAD_KIND,
	[MESH_CODEC_ERROR_FIELD] = MESH_COUNTER_BAD_FIELD,
};

/*
 * Count a frame that could not be decoded.
 */
void
mesh_handle_bad_frame(struct mesh *mesh, const GError *error)
{
	if (error->code >= 0 && error->code < MESH_CODEC_ERROR_COUNT)
		counter_add(
		    &mesh->counters, decode_error_counters[error->code], 1);
}

static void
learn_readers(struct mesh *mesh, const struct mesh_message *message)
{
	const struct mesh_heartbeat *heartbeat = &message->heartbeat;

	if (!str_equal(message->sender.zone, mesh->settings.zone))
		return;
	for (size_t i = 0; i < heartbeat->reader_count; i++)
		election_learn(
		    &mesh->election, &heartbeat->readers[i], mesh->now);
}

static void
add_joiner_contact(struct mesh *mesh, const struct mesh_message *message)
{
	struct contact *contact = contacts_add(
	    &mesh->contacts, message->sender.address, mesh->env.rng);

	if (contact != NULL)
		contact->notify_when_ready = mesh->state == MESH_JOINING;
}

static void
dispatch_message(struct mesh *mesh, const struct mesh_message *message)
{
	switch (message->kind) {
	case MESH_HEARTBEAT:
		learn_readers(mesh, message);
		break;
	case MESH_PULL:
		mesh_handle_pull(mesh, message);
		break;
	case MESH_PUBLICATIONS:
		mesh_handle_publications(mesh, message);
		break;
	case MESH_STATE_PULL:
		mesh_handle_state_pull(mesh, message);
		break;
	case MESH_STATE_PART:
		mesh_handle_state_part(mesh, message);
		break;
	case MESH_JOIN:
		add_joiner_contact(mesh, message);
		mesh_handle_join(mesh, message);
		break;
	case MESH_WELCOME:
		mesh_handle_welcome(mesh, message);
		break;
	case MESH_ANNOUNCE:
	case MESH_MESSAGE_KIND_COUNT:
		break;
	}
}

/*
 * Repair: the node that is behind pulls, the one that is ahead announces its
 * state. With SPREAD_POLL, a ready node does neither.
 */
static void
compare_states(struct mesh *mesh, const struct mesh_message *message)
{
	int order =
	    state_id_compare(message->state, snapshot_id(mesh->snapshot));
	bool reports_state =
	    message->kind == MESH_HEARTBEAT || message->kind == MESH_ANNOUNCE;

	if (!message->ready ||
	    (mesh->settings.policy == SPREAD_POLL && mesh->state == MESH_READY))
		return;
	if (order > 0)
		mesh_pull_consider_peer(
		    mesh, message->sender.address, message->state);
	else if (order < 0 && reports_state && mesh->state == MESH_READY)
		mesh_send_announce(mesh, message->sender.address);
}

/*
 * Handle one message of a peer. It may be late, duplicated or reordered: states
 * are compared by their total order, so an old message changes nothing. A
 * message that claims to be from this node's own host is dropped.
 */
void
mesh_handle_message(struct mesh *mesh, const struct mesh_message *message)
{
	mesh->now = clock_now(mesh->env.clock);
	if (str_equal(message->sender.host, mesh->settings.host)) {
		counter_add(&mesh->counters, MESH_COUNTER_BAD_SENDER, 1);
		return;
	}
	counter_add(&mesh->counters, MESH_COUNTER_RECEIVED, 1);
	mesh->last_message = mesh->now;
	peer_table_update(&mesh->peers, message, mesh->now);
	dispatch_message(mesh, message);
	compare_states(mesh, message);
}
