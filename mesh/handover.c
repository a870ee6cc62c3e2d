#include "common/clock.h"
#include "mesh/handover.h"

enum {
	MS_PER_S = 1000,
};

/*
 * Drop the serialized state.
 */
void
handover_release(struct handover *handover)
{
	if (handover->bytes != NULL)
		g_bytes_unref(handover->bytes);
	handover->bytes = NULL;
}

/*
 * Tell whether one more transfer may begin now. The bytes are bounded for
 * each second, so that a herd of joiners spreads over the nodes that have a
 * state already.
 */
bool
handover_may_begin(struct handover *handover, struct timespec now)
{
	if (timespec_ms_between(handover->interval_start, now) >= MS_PER_S) {
		handover->interval_start = now;
		handover->interval_bytes = 0;
	}
	return handover->interval_bytes < HANDOVER_BYTES_PER_S;
}

static bool
handover_can_reuse(
    const struct handover *handover, struct state_id want, bool exact)
{
	int order;

	if (handover->bytes == NULL)
		return false;
	order = state_id_compare(handover->id, want);
	return exact ? order == 0 : order >= 0;
}

/*
 * Have a serialized state at hand. A transfer that goes on (exact) needs the
 * very state that it began with; one that begins takes any that is at least
 * as good as the wanted one. Else the current state is serialized now.
 */
void
handover_prepare(struct handover *handover, struct snapshot *snapshot,
    struct state_id want, bool exact, struct timespec now)
{
	handover->last_request = now;
	if (handover_can_reuse(handover, want, exact))
		return;
	handover_release(handover);
	handover->bytes = snapshot_serialize(snapshot);
	handover->id = snapshot_id(snapshot);
	handover->serialized_at = now;
}

/*
 * Fill in the part at an offset; its bytes are a reference that the caller
 * drops. False when the offset is beyond the state's end. The first part
 * counts for the whole transfer.
 */
bool
handover_part(
    struct handover *handover, uint64_t offset, struct mesh_state_part *part)
{
	size_t total = g_bytes_get_size(handover->bytes);

	if (offset > total)
		return false;
	if (offset == 0)
		handover->interval_bytes += total;
	part->id = handover->id;
	part->total = total;
	part->offset = offset;
	part->bytes = g_bytes_new_from_bytes(handover->bytes, offset,
	    MIN(total - offset, (size_t)MESH_PART_BYTES));
	return true;
}

/*
 * Give the memory back when nobody has asked for a while.
 */
void
handover_expire(struct handover *handover, struct timespec now)
{
	if (handover->bytes != NULL &&
	    (timespec_ms_between(handover->last_request, now) >
		    HANDOVER_KEEP_MS ||
		timespec_ms_between(handover->serialized_at, now) >
		    HANDOVER_AGE_MAX_MS))
		handover_release(handover);
}
