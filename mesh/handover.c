#include "common/clock.h"
#include "mesh/handover.h"

enum {
	MS_PER_S = 1000,
};

/*
 * Free the serialized state.
 */
void
handover_release(struct handover *handover)
{
	if (handover->bytes != NULL)
		g_bytes_unref(handover->bytes);
	handover->bytes = NULL;
}

/*
 * Tell whether another transfer may begin now. The bytes per second are
 * limited, so that many nodes joining at once spread over all nodes that
 * already have a state.
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
    const struct handover *handover, struct state_id want, bool resuming)
{
	int order;

	if (handover->bytes == NULL)
		return false;
	order = state_id_compare(handover->id, want);
	return resuming ? order == 0 : order >= 0;
}

/*
 * Make sure that a serialized state is available. A transfer in progress
 * (resuming) needs the same state that it began with; a new one accepts any
 * state at least as new as the wanted one. Otherwise the current state is
 * serialized.
 */
void
handover_prepare(struct handover *handover, struct snapshot *snapshot,
    struct state_id want, bool resuming, struct timespec now)
{
	handover->last_request = now;
	if (handover_can_reuse(handover, want, resuming))
		return;
	handover_release(handover);
	handover->bytes = snapshot_serialize(snapshot);
	handover->id = snapshot_id(snapshot);
	handover->serialized_at = now;
}

/*
 * Fill in the part at an offset; the caller owns the reference in part->bytes.
 * Return false if the offset is past the end of the state. The first part
 * charges the whole transfer to the rate limit.
 */
bool
handover_fill_part(
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
 * Free the serialized state when it was not requested for a while or is too
 * old.
 */
void
handover_expire(struct handover *handover, struct timespec now)
{
	if (handover->bytes != NULL &&
	    (timespec_ms_between(handover->last_request, now) >
		    HANDOVER_IDLE_MAX_MS ||
		timespec_ms_between(handover->serialized_at, now) >
		    HANDOVER_AGE_MAX_MS))
		handover_release(handover);
}
