#include "mesh/mesh_private.h"

enum {
	/*
	 * Rounds between heartbeats to a contact, which the snapshot may not
	 * list.
	 */
	CONTACT_INTERVAL_ROUNDS = 8,
};

static void
send_heartbeat(struct mesh *mesh, struct str address)
{
	struct mesh_message message = mesh_message_begin(mesh, MESH_HEARTBEAT);
	struct reader_beat beats[MESH_READERS_MAX];
	size_t wanted =
	    MIN((size_t)mesh->settings.readers_per_zone + 1, MESH_READERS_MAX);

	message.heartbeat.readers = beats;
	message.heartbeat.reader_count = election_list_readers(&mesh->election,
	    mesh_is_active_reader(mesh), mesh->now, beats, wanted);
	if (address.len > 0)
		mesh_send(mesh, address, &message);
}

static void
schedule_next_heartbeat(struct mesh *mesh)
{
	uint32_t period = MAX(mesh->settings.heartbeat_ms, 1);
	int64_t wait =
	    period * 3 / 4 + (int64_t)rng_below(mesh->env.rng, period / 2 + 1);

	mesh->next_heartbeat = timespec_plus_ms(mesh->now, wait);
}

/*
 * Send the heartbeats that are due: to one tracker in turn, to a partner in
 * this zone and to one in another zone, and every CONTACT_INTERVAL_ROUNDS to a
 * contact. The contact lets this node rejoin the fleet when all hosts of its
 * snapshot are gone.
 */
void
mesh_heartbeat_tick(struct mesh *mesh)
{
	struct members *members = &mesh->members;
	struct rng *rng = mesh->env.rng;
	const struct contact *contact;
	size_t round;

	if (mesh->settings.policy == SPREAD_POLL ||
	    timespec_before(mesh->now, mesh->next_heartbeat))
		return;
	schedule_next_heartbeat(mesh);
	if (mesh_is_active_reader(mesh))
		election_increment_beat(&mesh->election);
	round = ++mesh->heartbeat_round;
	if (members->tracker_count > 0)
		send_heartbeat(mesh,
		    members->trackers[round % members->tracker_count]
			->host.node);
	send_heartbeat(mesh,
	    partner_in_own_zone(&mesh->partners[round % MESH_ZONE_PARTNERS],
		members, rng, mesh->now));
	send_heartbeat(mesh,
	    partner_in_other_zone(
		&mesh->other_zone_partner, members, rng, mesh->now));
	if (round % CONTACT_INTERVAL_ROUNDS != 0)
		return;
	contact = contacts_pick(&mesh->contacts, rng);
	if (contact != NULL)
		send_heartbeat(mesh, contact->address);
}
