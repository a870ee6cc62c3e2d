#include "mesh/mesh_private.h"

static void
set_snapshot(struct mesh *mesh, struct snapshot *snapshot)
{
	snapshot_unref(mesh->snapshot);
	mesh->snapshot = snapshot;
}

/*
 * Pass the current state to the observer once this node may serve it.
 */
void
mesh_notify_observer(struct mesh *mesh)
{
	if (mesh->state == MESH_READY)
		mesh->env.observer->ops->publish(
		    mesh->env.observer, mesh->snapshot);
}

static void
record_verdict(struct mesh *mesh, uint64_t version,
    const struct verdict *verdict, enum apply_source source)
{
	bool refused = verdict->kind == VERDICT_REFUSED;
	struct str subject = str_from("");

	if (refused && verdict->refusals != NULL &&
	    verdict->refusals->len > 0) {
		const struct refusal *first = verdict->refusals->pdata[0];

		subject = str_from(first->record);
	}
	counter_add(&mesh->counters,
	    refused ? MESH_COUNTER_REFUSED : MESH_COUNTER_ACCEPTED, 1);
	event_record(mesh->env.events,
	    refused ? EVENT_VERSION_REFUSED : EVENT_VERSION_ACCEPTED, version,
	    0, source, subject);
}

/* Return true if the state advanced to the publication's version. */
static bool
apply_publication(struct mesh *mesh, struct publication *publication,
    enum apply_source source)
{
	struct verdict verdict = { 0 };
	struct snapshot *next =
	    snapshot_apply(mesh->snapshot, publication, &verdict);
	bool applied =
	    verdict.kind == VERDICT_ACCEPTED || verdict.kind == VERDICT_REFUSED;

	if (verdict.kind == VERDICT_IGNORED)
		counter_add(&mesh->counters, MESH_COUNTER_IGNORED, 1);
	if (applied) {
		record_verdict(mesh, publication->version, &verdict, source);
		publication_ring_push(&mesh->ring, publication);
	}
	set_snapshot(mesh, next);
	verdict_clear(&verdict);
	return applied;
}

/*
 * Apply publications in order, as far as they continue the state. Peers are
 * sent them before the state takes effect here, so that they remember the
 * version if this process is replaced right afterwards.
 */
void
mesh_apply_publications(struct mesh *mesh, struct publication **list,
    size_t count, enum apply_source source, bool from_other_zone)
{
	size_t first = 0;
	size_t applied = 0;

	for (size_t i = 0; i < count; i++) {
		if (!apply_publication(mesh, list[i], source))
			continue;
		if (applied == 0)
			first = i;
		applied++;
	}
	if (applied == 0)
		return;
	members_refresh(&mesh->members, mesh->snapshot);
	if (mesh->state != MESH_READY)
		return;
	mesh_spread_publications(mesh, list + first, applied,
	    from_other_zone || source == APPLY_PLATFORM);
	mesh_notify_observer(mesh);
}

/*
 * Replace the state by a full one if that takes precedence over it; takes
 * ownership of the reference. The ring starts over after the new state.
 */
bool
mesh_adopt_state(struct mesh *mesh, struct snapshot *snapshot)
{
	struct state_id id = snapshot_id(snapshot);

	if (state_id_compare(id, snapshot_id(mesh->snapshot)) <= 0) {
		snapshot_unref(snapshot);
		return false;
	}
	set_snapshot(mesh, snapshot);
	publication_ring_clear(&mesh->ring);
	members_refresh(&mesh->members, mesh->snapshot);
	counter_add(&mesh->counters, MESH_COUNTER_ADOPTED, 1);
	event_record(mesh->env.events, EVENT_STATE_ADOPTED, id.version, 0,
	    (int64_t)id.base, str_from(""));
	if (mesh->state == MESH_READY)
		mesh_announce_state(mesh);
	mesh_notify_observer(mesh);
	return true;
}
