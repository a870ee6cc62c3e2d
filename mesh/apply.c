#include "mesh/mesh_private.h"

static void
mesh_set_snapshot(struct mesh *mesh, struct snapshot *snapshot)
{
	snapshot_unref(mesh->snapshot);
	mesh->snapshot = snapshot;
}

/*
 * Hand the state in force to the observer, once this node may serve it.
 */
void
mesh_publish(struct mesh *mesh)
{
	if (mesh->state == MESH_READY)
		mesh->env.observer->ops->publish(
		    mesh->env.observer, mesh->snapshot);
}

static void
record_verdict(struct mesh *mesh, uint64_t version,
    const struct verdict *verdict, enum take_source source)
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

/* True when the state moved on to the publication's version. */
static bool
take_one(
    struct mesh *mesh, struct publication *publication, enum take_source source)
{
	struct verdict verdict = { 0 };
	struct snapshot *next =
	    snapshot_apply(mesh->snapshot, publication, &verdict);
	bool taken =
	    verdict.kind == VERDICT_ACCEPTED || verdict.kind == VERDICT_REFUSED;

	if (verdict.kind == VERDICT_IGNORED)
		counter_add(&mesh->counters, MESH_COUNTER_IGNORED, 1);
	if (taken) {
		record_verdict(mesh, publication->version, &verdict, source);
		publication_ring_push(&mesh->ring, publication);
	}
	mesh_set_snapshot(mesh, next);
	verdict_clear(&verdict);
	return taken;
}

/*
 * Take publications in order, as far as they follow on the state. Peers are
 * told before the state is in force here, so that they remember it if this
 * process is replaced right after.
 */
void
mesh_take_publications(struct mesh *mesh, struct publication **list,
    size_t count, enum take_source source, bool from_elsewhere)
{
	size_t first = 0;
	size_t taken = 0;

	for (size_t i = 0; i < count; i++) {
		if (!take_one(mesh, list[i], source))
			continue;
		if (taken == 0)
			first = i;
		taken++;
	}
	if (taken == 0)
		return;
	members_refresh(&mesh->members, mesh->snapshot);
	if (mesh->state != MESH_READY)
		return;
	mesh_spread(mesh, list + first, taken,
	    from_elsewhere || source == TAKE_PLATFORM);
	mesh_publish(mesh);
}

/*
 * Take on a whole state if it is better than the one held; takes the
 * reference over. The ring begins anew behind it.
 */
bool
mesh_adopt(struct mesh *mesh, struct snapshot *snapshot)
{
	struct state_id id = snapshot_id(snapshot);

	if (state_id_compare(id, snapshot_id(mesh->snapshot)) <= 0) {
		snapshot_unref(snapshot);
		return false;
	}
	mesh_set_snapshot(mesh, snapshot);
	publication_ring_clear(&mesh->ring);
	members_refresh(&mesh->members, mesh->snapshot);
	counter_add(&mesh->counters, MESH_COUNTER_ADOPTED, 1);
	event_record(mesh->env.events, EVENT_STATE_ADOPTED, id.version, 0,
	    (int64_t)id.base, str_from(""));
	if (mesh->state == MESH_READY)
		mesh_announce_some(mesh);
	mesh_publish(mesh);
	return true;
}
