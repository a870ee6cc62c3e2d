#include "mesh/mesh_private.h"

static void
newer_peer_remove(struct catch_up *catch_up, size_t index)
{
	str_release(&catch_up->newer_peers[index].address);
	catch_up->newer_peers[index] =
	    catch_up->newer_peers[--catch_up->newer_peer_count];
}

static void
newer_peer_remove_address(struct catch_up *catch_up, struct str address)
{
	for (size_t i = 0; i < catch_up->newer_peer_count; i++)
		if (str_equal(catch_up->newer_peers[i].address, address)) {
			newer_peer_remove(catch_up, i);
			return;
		}
}

/* Remove the peers that are no longer newer than this node. */
static void
newer_peer_prune(struct mesh *mesh)
{
	struct catch_up *catch_up = &mesh->catch_up;
	struct state_id own = snapshot_id(mesh->snapshot);

	for (size_t i = catch_up->newer_peer_count; i-- > 0;)
		if (state_id_compare(catch_up->newer_peers[i].state, own) <= 0)
			newer_peer_remove(catch_up, i);
}

static void
newer_peer_add(
    struct catch_up *catch_up, struct str address, struct state_id state)
{
	struct newer_peer *worst = &catch_up->newer_peers[0];

	for (size_t i = 0; i < catch_up->newer_peer_count; i++) {
		struct newer_peer *newer_peer = &catch_up->newer_peers[i];

		if (str_equal(newer_peer->address, address)) {
			newer_peer->state = state;
			return;
		}
		if (state_id_compare(newer_peer->state, worst->state) < 0)
			worst = newer_peer;
	}
	if (catch_up->newer_peer_count < MESH_NEWER_PEERS_MAX) {
		worst = &catch_up->newer_peers[catch_up->newer_peer_count++];
	} else if (state_id_compare(state, worst->state) > 0) {
		str_release(&worst->address);
	} else {
		return;
	}
	worst->address = str_dup(address);
	worst->state = state;
}

static void
pull_close(struct catch_up *catch_up)
{
	catch_up->request_pending = false;
	str_release(&catch_up->address);
	handover_receiver_reset(&catch_up->receiver);
}

static void
send_state_pull(struct mesh *mesh, struct state_id want, uint64_t offset)
{
	struct catch_up *catch_up = &mesh->catch_up;
	struct mesh_message message = mesh_message_begin(mesh, MESH_STATE_PULL);

	message.state_pull.request = catch_up->request;
	message.state_pull.want = want;
	message.state_pull.offset = offset;
	catch_up->deadline = timespec_plus_ms(mesh->now, MESH_PULL_TIMEOUT_MS);
	mesh_send(mesh, catch_up->address, &message);
}

static void
send_pull(struct mesh *mesh)
{
	struct catch_up *catch_up = &mesh->catch_up;
	struct mesh_message message = mesh_message_begin(mesh, MESH_PULL);

	message.pull.request = catch_up->request;
	message.pull.after = message.state.version;
	catch_up->deadline = timespec_plus_ms(mesh->now, MESH_PULL_TIMEOUT_MS);
	mesh_send(mesh, catch_up->address, &message);
}

/*
 * A joining node fetches a full accepted state instead of publications. So does
 * a node whose gap no ring covers, or which holds a different state of the same
 * version.
 */
static bool
needs_full_state(const struct mesh *mesh, struct state_id target)
{
	uint64_t version = snapshot_id(mesh->snapshot).version;

	if (mesh->state == MESH_JOINING && version == 0)
		return true;
	return target.version == version ||
	    target.version - version > MESH_RING_CAPACITY ||
	    mesh->catch_up.consecutive_gaps >= MESH_PULL_CONSECUTIVE_GAPS_MAX;
}

/*
 * Ask the peer with the newest state, unless a request is pending or must wait.
 */
static void
pull_start(struct mesh *mesh)
{
	struct catch_up *catch_up = &mesh->catch_up;
	const struct newer_peer *best = NULL;

	newer_peer_prune(mesh);
	if (catch_up->request_pending || catch_up->newer_peer_count == 0 ||
	    timespec_before(mesh->now, catch_up->not_before))
		return;
	for (size_t i = 0; i < catch_up->newer_peer_count; i++)
		if (best == NULL ||
		    state_id_compare(
			catch_up->newer_peers[i].state, best->state) > 0)
			best = &catch_up->newer_peers[i];
	catch_up->request_pending = true;
	catch_up->request = mesh->next_request_id++;
	catch_up->address = str_dup(best->address);
	catch_up->target = best->state;
	catch_up->full_state = needs_full_state(mesh, best->state);
	if (catch_up->full_state)
		send_state_pull(mesh, best->state, 0);
	else
		send_pull(mesh);
}

/* Do not ask again at once when a peer was busy or did not help. */
static void
pull_back_off(struct mesh *mesh)
{
	int64_t wait = MESH_PULL_BACK_OFF_MS / 2 +
	    (int64_t)rng_below(mesh->env.rng, MESH_PULL_BACK_OFF_MS);

	mesh->catch_up.not_before = timespec_plus_ms(mesh->now, wait);
}

/* Drop the peer that was asked and continue with another one. */
static void
pull_from_next_peer(struct mesh *mesh)
{
	newer_peer_remove_address(&mesh->catch_up, mesh->catch_up.address);
	pull_close(&mesh->catch_up);
	pull_start(mesh);
}

/* A response arrived: continue, but not with a peer that did not help. */
static void
pull_complete(struct mesh *mesh, struct state_id before)
{
	if (state_id_compare(snapshot_id(mesh->snapshot), before) == 0) {
		pull_back_off(mesh);
		pull_from_next_peer(mesh);
		return;
	}
	pull_close(&mesh->catch_up);
	pull_start(mesh);
}

/*
 * Record that a peer holds a state. If it is newer, request it soon. A push of
 * the next version may be in flight, so a gap of one waits for
 * MESH_PULL_DELAY_MS.
 */
void
mesh_pull_consider_peer(
    struct mesh *mesh, struct str address, struct state_id state)
{
	struct catch_up *catch_up = &mesh->catch_up;
	struct state_id own = snapshot_id(mesh->snapshot);
	bool idle =
	    !catch_up->request_pending && catch_up->newer_peer_count == 0;

	if (state_id_compare(state, own) <= 0)
		return;
	if (state.version == own.version)
		counter_add(&mesh->counters, MESH_COUNTER_DIVERGED, 1);
	newer_peer_add(catch_up, address, state);
	if (state.version > own.version + 1 || mesh->state == MESH_JOINING)
		pull_start(mesh);
	else if (idle)
		catch_up->not_before =
		    timespec_plus_ms(mesh->now, MESH_PULL_DELAY_MS);
}

/*
 * Give up on a request past its deadline, or start one that is due.
 */
void
mesh_pull_tick(struct mesh *mesh)
{
	struct catch_up *catch_up = &mesh->catch_up;

	if (catch_up->request_pending &&
	    !timespec_before(mesh->now, catch_up->deadline)) {
		counter_add(&mesh->counters, MESH_COUNTER_PULL_TIMEOUT, 1);
		pull_from_next_peer(mesh);
		return;
	}
	pull_start(mesh);
}

/*
 * Drop the pending request and all known newer peers.
 */
void
mesh_pull_reset(struct mesh *mesh)
{
	struct catch_up *catch_up = &mesh->catch_up;

	pull_close(catch_up);
	while (catch_up->newer_peer_count > 0)
		newer_peer_remove(catch_up, 0);
}

/*
 * Handle publications, pushed or pulled. If a response does not cover the gap,
 * another peer is asked, and in the end for a full state.
 */
void
mesh_handle_publications(struct mesh *mesh, const struct mesh_message *message)
{
	const struct mesh_publications *body = &message->publications;
	struct catch_up *catch_up = &mesh->catch_up;
	bool is_response = catch_up->request_pending && !catch_up->full_state &&
	    body->request == catch_up->request;
	struct state_id before = snapshot_id(mesh->snapshot);

	/* A joining node without a state starts from a full accepted one. */
	if (mesh->state == MESH_READY ||
	    snapshot_id(mesh->snapshot).version > 0)
		mesh_apply_publications(mesh, body->list, body->count,
		    body->request == 0 ? APPLY_PUSHED : APPLY_PULLED,
		    !str_equal(message->sender.zone, mesh->settings.zone));
	if (!is_response)
		return;
	if (!body->gap) {
		catch_up->consecutive_gaps = 0;
		pull_complete(mesh, before);
		return;
	}
	counter_add(&mesh->counters, MESH_COUNTER_PULL_GAP, 1);
	catch_up->consecutive_gaps++;
	if (catch_up->newer_peer_count > 1) {
		pull_from_next_peer(mesh);
		return;
	}
	catch_up->consecutive_gaps = MESH_PULL_CONSECUTIVE_GAPS_MAX;
	pull_close(catch_up);
	pull_start(mesh);
}

static void
adopt_received_state(struct mesh *mesh)
{
	struct catch_up *catch_up = &mesh->catch_up;
	GError *error = NULL;
	struct snapshot *snapshot =
	    handover_receiver_finish(&catch_up->receiver, &error);
	struct state_id before = snapshot_id(mesh->snapshot);

	if (snapshot == NULL) {
		counter_add(&mesh->counters, MESH_COUNTER_ADOPT_FAILED, 1);
		g_clear_error(&error);
		pull_from_next_peer(mesh);
		return;
	}
	catch_up->consecutive_gaps = 0;
	if (mesh_adopt_state(mesh, snapshot))
		mesh->joining.state_from_peer = true;
	pull_complete(mesh, before);
}

/*
 * Handle one part of a full state and request the next.
 */
void
mesh_handle_state_part(struct mesh *mesh, const struct mesh_message *message)
{
	const struct mesh_state_part *part = &message->state_part;
	struct catch_up *catch_up = &mesh->catch_up;

	if (!catch_up->request_pending || !catch_up->full_state ||
	    part->request != catch_up->request)
		return;
	switch (handover_receiver_add(&catch_up->receiver, part)) {
	case HANDOVER_RECEIVE_DUPLICATE:
		break;
	case HANDOVER_RECEIVE_MORE:
		send_state_pull(
		    mesh, catch_up->receiver.id, catch_up->receiver.bytes->len);
		break;
	case HANDOVER_RECEIVE_COMPLETE:
		adopt_received_state(mesh);
		break;
	case HANDOVER_RECEIVE_RESTART:
		pull_from_next_peer(mesh);
		break;
	}
}

/*
 * The peer is too busy to send a full state: ask another one.
 */
void
mesh_handle_pull_busy(struct mesh *mesh, const struct mesh_message *message)
{
	struct catch_up *catch_up = &mesh->catch_up;

	if (!catch_up->request_pending || !catch_up->full_state ||
	    message->welcome.request != catch_up->request)
		return;
	pull_back_off(mesh);
	pull_from_next_peer(mesh);
}
