#include "mesh/handover.h"

/*
 * Drop what has arrived.
 */
void
intake_reset(struct intake *intake)
{
	if (intake->bytes != NULL)
		g_byte_array_unref(intake->bytes);
	*intake = (struct intake){ 0 };
}

static bool
intake_has(const struct intake *intake, const struct mesh_state_part *part)
{
	return intake->bytes != NULL &&
	    state_id_compare(part->id, intake->id) == 0 &&
	    part->offset < intake->bytes->len;
}

/*
 * Add a part. The first one names the state and its size; a part of another
 * state, or one that is not next, leaves nothing to go on with. Memory grows
 * only with the bytes that have arrived.
 */
enum intake_result
intake_add(struct intake *intake, const struct mesh_state_part *part)
{
	size_t len;
	const void *bytes = g_bytes_get_data(part->bytes, &len);

	if (intake_has(intake, part))
		return INTAKE_DOUBLED;
	if (part->offset == 0) {
		intake_reset(intake);
		intake->bytes = g_byte_array_new();
		intake->id = part->id;
		intake->total = part->total;
	}
	if (intake->bytes == NULL || part->offset != intake->bytes->len ||
	    part->total != intake->total ||
	    state_id_compare(part->id, intake->id) != 0 ||
	    (len == 0 && part->offset < part->total)) {
		intake_reset(intake);
		return INTAKE_RESTART;
	}
	g_byte_array_append(intake->bytes, bytes, (guint)len);
	return intake->bytes->len == intake->total ? INTAKE_COMPLETE
						   : INTAKE_MORE;
}

/*
 * Turn a complete transfer into a snapshot whose digest is the announced one,
 * or fail with an error of CONFIG_ERROR. Either way the intake is empty.
 */
struct snapshot *
intake_finish(struct intake *intake, GError **error)
{
	GBytes *bytes = g_byte_array_free_to_bytes(intake->bytes);
	struct snapshot *snapshot =
	    snapshot_deserialize(intake->id, bytes, error);

	intake->bytes = NULL;
	g_bytes_unref(bytes);
	intake_reset(intake);
	return snapshot;
}
