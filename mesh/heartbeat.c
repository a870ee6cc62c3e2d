#include "mesh/mesh_private.h"

enum {
	/* A contact that the snapshot may not have gets one in so many. */
	CONTACT_ROUNDS = 8,
};

static void
send_heartbeat(struct mesh *mesh, struct str address)
{
	struct mesh_message message = mesh_message_begin(mesh, MESH_HEARTBEAT);
	struct reader_beat beats[MESH_READERS_MAX];
	size_t wanted =
	    MIN((size_t)mesh->settings.readers_per_zone + 1, MESH_READERS_MAX);

	message.heartbeat.readers = beats;
	message.heartbeat.reader_count = election_report(&mesh->election,
	    mesh_reading_beats(mesh), mesh->now, beats, wanted);
	if (address.len > 0)
		mesh_send(mesh, address, &message);
}

static void
schedule_next(struct mesh *mesh)
{
	uint32_t period = MAX(mesh->settings.heartbeat_ms, 1);
	int64_t wait =
	    period * 3 / 4 + (int64_t)rng_below(mesh->env.rng, period / 2 + 1);

	mesh->heartbeat_next = timespec_plus_ms(mesh->now, wait);
}

/*
 * Send the heartbeats when they are due: to one keeper in turn, to a partner
 * in the zone and to one in another zone, and now and then to a contact,
 * which finds its way back into the fleet when the snapshot's hosts are all
 * gone.
 */
void
mesh_heartbeat_tick(struct mesh *mesh)
{
	struct members *members = &mesh->members;
	struct rng *rng = mesh->env.rng;
	const struct contact *contact;
	size_t round;

	if (mesh->settings.policy == SPREAD_POLL ||
	    timespec_before(mesh->now, mesh->heartbeat_next))
		return;
	schedule_next(mesh);
	if (mesh_reading_beats(mesh))
		election_beat(&mesh->election);
	round = ++mesh->heartbeat_round;
	if (members->keeper_count > 0)
		send_heartbeat(mesh,
		    members->keepers[round % members->keeper_count]->host.node);
	send_heartbeat(mesh,
	    partner_of_zone(&mesh->partners[round % MESH_ZONE_PARTNERS],
		members, rng, mesh->now));
	send_heartbeat(mesh,
	    partner_elsewhere(
		&mesh->partner_elsewhere, members, rng, mesh->now));
	if (round % CONTACT_ROUNDS != 0)
		return;
	contact = contacts_pick(&mesh->contacts, rng);
	if (contact != NULL)
		send_heartbeat(mesh, contact->address);
}
