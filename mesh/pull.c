#include "mesh/mesh_private.h"

static void
ahead_remove(struct pulling *pulling, size_t index)
{
	str_release(&pulling->ahead[index].address);
	pulling->ahead[index] = pulling->ahead[--pulling->ahead_count];
}

static void
ahead_remove_address(struct pulling *pulling, struct str address)
{
	for (size_t i = 0; i < pulling->ahead_count; i++)
		if (str_equal(pulling->ahead[i].address, address)) {
			ahead_remove(pulling, i);
			return;
		}
}

/* Forget the peers that are no longer ahead of the state held. */
static void
ahead_prune(struct mesh *mesh)
{
	struct pulling *pulling = &mesh->pulling;
	struct state_id own = snapshot_id(mesh->snapshot);

	for (size_t i = pulling->ahead_count; i-- > 0;)
		if (state_id_compare(pulling->ahead[i].state, own) <= 0)
			ahead_remove(pulling, i);
}

static void
ahead_add(struct pulling *pulling, struct str address, struct state_id state)
{
	struct ahead *worst = &pulling->ahead[0];

	for (size_t i = 0; i < pulling->ahead_count; i++) {
		struct ahead *ahead = &pulling->ahead[i];

		if (str_equal(ahead->address, address)) {
			ahead->state = state;
			return;
		}
		if (state_id_compare(ahead->state, worst->state) < 0)
			worst = ahead;
	}
	if (pulling->ahead_count < MESH_AHEAD_MAX) {
		worst = &pulling->ahead[pulling->ahead_count++];
	} else if (state_id_compare(state, worst->state) > 0) {
		str_release(&worst->address);
	} else {
		return;
	}
	worst->address = str_dup(address);
	worst->state = state;
}

static void
pull_close(struct pulling *pulling)
{
	pulling->open = false;
	str_release(&pulling->address);
	intake_reset(&pulling->intake);
}

static void
send_state_pull(struct mesh *mesh, struct state_id want, uint64_t offset)
{
	struct pulling *pulling = &mesh->pulling;
	struct mesh_message message = mesh_message_begin(mesh, MESH_STATE_PULL);

	message.state_pull.request = pulling->request;
	message.state_pull.want = want;
	message.state_pull.offset = offset;
	pulling->deadline = timespec_plus_ms(mesh->now, MESH_PULL_TIMEOUT_MS);
	mesh_send(mesh, pulling->address, &message);
}

static void
send_pull(struct mesh *mesh)
{
	struct pulling *pulling = &mesh->pulling;
	struct mesh_message message = mesh_message_begin(mesh, MESH_PULL);

	message.pull.request = pulling->request;
	message.pull.after = message.state.version;
	pulling->deadline = timespec_plus_ms(mesh->now, MESH_PULL_TIMEOUT_MS);
	mesh_send(mesh, pulling->address, &message);
}

/*
 * A joiner takes a whole accepted state and no publications; so does a node
 * whose gap no ring covers, or that holds another state of that version.
 */
static bool
needs_whole_state(const struct mesh *mesh, struct state_id target)
{
	uint64_t version = snapshot_id(mesh->snapshot).version;

	if (mesh->state == MESH_JOINING && version == 0)
		return true;
	return target.version == version ||
	    target.version - version > MESH_RING_CAPACITY ||
	    mesh->pulling.gaps >= MESH_PULL_GAPS_MAX;
}

/* Ask the best peer that is ahead, unless a request is open. */
static void
pull_start(struct mesh *mesh)
{
	struct pulling *pulling = &mesh->pulling;
	const struct ahead *best = NULL;

	ahead_prune(mesh);
	if (pulling->open || pulling->ahead_count == 0 ||
	    timespec_before(mesh->now, pulling->due))
		return;
	for (size_t i = 0; i < pulling->ahead_count; i++)
		if (best == NULL ||
		    state_id_compare(pulling->ahead[i].state, best->state) > 0)
			best = &pulling->ahead[i];
	pulling->open = true;
	pulling->request = mesh->next_request++;
	pulling->address = str_dup(best->address);
	pulling->target = best->state;
	pulling->whole = needs_whole_state(mesh, best->state);
	if (pulling->whole)
		send_state_pull(mesh, best->state, 0);
	else
		send_pull(mesh);
}

/* Peers that put this node off are not asked again at once. */
static void
pull_back_off(struct mesh *mesh)
{
	int64_t wait = MESH_PULL_BACK_OFF_MS / 2 +
	    (int64_t)rng_below(mesh->env.rng, MESH_PULL_BACK_OFF_MS);

	mesh->pulling.due = timespec_plus_ms(mesh->now, wait);
}

/* The peer asked was of no help: go on with another one. */
static void
pull_fail(struct mesh *mesh)
{
	ahead_remove_address(&mesh->pulling, mesh->pulling.address);
	pull_close(&mesh->pulling);
	pull_start(mesh);
}

/* An answer came: go on, but not with a peer that did not help at all. */
static void
pull_end(struct mesh *mesh, struct state_id before)
{
	if (state_id_compare(snapshot_id(mesh->snapshot), before) == 0) {
		pull_back_off(mesh);
		pull_fail(mesh);
		return;
	}
	pull_close(&mesh->pulling);
	pull_start(mesh);
}

/*
 * Note that a peer holds that state; when it is better than the own one,
 * ask for it soon. A push of the next version may be under way, so that one
 * is waited for a moment.
 */
void
mesh_pull_consider(struct mesh *mesh, struct str address, struct state_id state)
{
	struct pulling *pulling = &mesh->pulling;
	struct state_id own = snapshot_id(mesh->snapshot);
	bool idle = !pulling->open && pulling->ahead_count == 0;

	if (state_id_compare(state, own) <= 0)
		return;
	if (state.version == own.version)
		counter_add(&mesh->counters, MESH_COUNTER_DIVERGED, 1);
	ahead_add(pulling, address, state);
	if (state.version > own.version + 1 || mesh->state == MESH_JOINING)
		pull_start(mesh);
	else if (idle)
		pulling->due = timespec_plus_ms(mesh->now, MESH_PULL_GRACE_MS);
}

/*
 * Give up on a request that was not answered in time, and begin one that is
 * due.
 */
void
mesh_pull_tick(struct mesh *mesh)
{
	struct pulling *pulling = &mesh->pulling;

	if (pulling->open && !timespec_before(mesh->now, pulling->deadline)) {
		counter_add(&mesh->counters, MESH_COUNTER_PULL_TIMEOUT, 1);
		pull_fail(mesh);
		return;
	}
	pull_start(mesh);
}

/*
 * Drop the open request and all that is known of peers ahead.
 */
void
mesh_pull_stop(struct mesh *mesh)
{
	struct pulling *pulling = &mesh->pulling;

	pull_close(pulling);
	while (pulling->ahead_count > 0)
		ahead_remove(pulling, 0);
}

/*
 * Take publications, pushed or pulled. An answer that does not cover the gap
 * leads on to another peer and in the end to a whole state.
 */
void
mesh_handle_publications(struct mesh *mesh, const struct mesh_message *message)
{
	const struct mesh_publications *body = &message->publications;
	struct pulling *pulling = &mesh->pulling;
	bool answer = pulling->open && !pulling->whole &&
	    body->request == pulling->request;
	struct state_id before = snapshot_id(mesh->snapshot);

	/* A joiner without a state begins with an accepted one. */
	if (mesh->state == MESH_READY ||
	    snapshot_id(mesh->snapshot).version > 0)
		mesh_take_publications(mesh, body->list, body->count,
		    body->request == 0 ? TAKE_PUSHED : TAKE_PULLED,
		    !str_equal(message->sender.zone, mesh->settings.zone));
	if (!answer)
		return;
	if (!body->gap) {
		pulling->gaps = 0;
		pull_end(mesh, before);
		return;
	}
	counter_add(&mesh->counters, MESH_COUNTER_PULL_GAP, 1);
	pulling->gaps++;
	if (pulling->ahead_count > 1) {
		pull_fail(mesh);
		return;
	}
	pulling->gaps = MESH_PULL_GAPS_MAX;
	pull_close(pulling);
	pull_start(mesh);
}

static void
finish_intake(struct mesh *mesh)
{
	struct pulling *pulling = &mesh->pulling;
	GError *error = NULL;
	struct snapshot *snapshot = intake_finish(&pulling->intake, &error);
	struct state_id before = snapshot_id(mesh->snapshot);

	if (snapshot == NULL) {
		counter_add(&mesh->counters, MESH_COUNTER_ADOPT_FAILED, 1);
		g_clear_error(&error);
		pull_fail(mesh);
		return;
	}
	pulling->gaps = 0;
	if (mesh_adopt(mesh, snapshot))
		mesh->joining.given = true;
	pull_end(mesh, before);
}

/*
 * Take one part of a whole state and ask for the next.
 */
void
mesh_handle_state_part(struct mesh *mesh, const struct mesh_message *message)
{
	const struct mesh_state_part *part = &message->state_part;
	struct pulling *pulling = &mesh->pulling;

	if (!pulling->open || !pulling->whole ||
	    part->request != pulling->request)
		return;
	switch (intake_add(&pulling->intake, part)) {
	case INTAKE_DOUBLED:
		break;
	case INTAKE_MORE:
		send_state_pull(
		    mesh, pulling->intake.id, pulling->intake.bytes->len);
		break;
	case INTAKE_COMPLETE:
		finish_intake(mesh);
		break;
	case INTAKE_RESTART:
		pull_fail(mesh);
		break;
	}
}

/*
 * The peer asked for a whole state is busy: ask another one.
 */
void
mesh_pull_busy(struct mesh *mesh, const struct mesh_message *message)
{
	struct pulling *pulling = &mesh->pulling;

	if (!pulling->open || !pulling->whole ||
	    message->welcome.request != pulling->request)
		return;
	pull_back_off(mesh);
	pull_fail(mesh);
}
