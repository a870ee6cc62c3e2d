#include "mesh/handover.h"

/*
 * Drop what has arrived.
 */
void
handover_receiver_reset(struct handover_receiver *receiver)
{
	if (receiver->bytes != NULL)
		g_byte_array_unref(receiver->bytes);
	*receiver = (struct handover_receiver){ 0 };
}

static bool
handover_receiver_has(const struct handover_receiver *receiver,
    const struct mesh_state_part *part)
{
	return receiver->bytes != NULL &&
	    state_id_compare(part->id, receiver->id) == 0 &&
	    part->offset < receiver->bytes->len;
}

/*
 * Add a part. The first one names the state and its size; a part of another
 * state, or one that is not next, leaves nothing to go on with. Memory grows
 * only with the bytes that have arrived.
 */
enum handover_receive_result
handover_receiver_add(
    struct handover_receiver *receiver, const struct mesh_state_part *part)
{
	size_t len;
	const void *bytes = g_bytes_get_data(part->bytes, &len);

	if (handover_receiver_has(receiver, part))
		return HANDOVER_RECEIVE_DUPLICATE;
	if (part->offset == 0) {
		handover_receiver_reset(receiver);
		receiver->bytes = g_byte_array_new();
		receiver->id = part->id;
		receiver->total = part->total;
	}
	if (receiver->bytes == NULL || part->offset != receiver->bytes->len ||
	    part->total != receiver->total ||
	    state_id_compare(part->id, receiver->id) != 0 ||
	    (len == 0 && part->offset < part->total)) {
		handover_receiver_reset(receiver);
		return HANDOVER_RECEIVE_RESTART;
	}
	g_byte_array_append(receiver->bytes, bytes, (guint)len);
	return receiver->bytes->len == receiver->total
	    ? HANDOVER_RECEIVE_COMPLETE
	    : HANDOVER_RECEIVE_MORE;
}

/*
 * Turn a complete transfer into a snapshot whose digest is the announced one,
 * or fail with an error of CONFIG_ERROR. Either way the intake is empty.
 */
struct snapshot *
handover_receiver_finish(struct handover_receiver *receiver, GError **error)
{
	GBytes *bytes = g_byte_array_free_to_bytes(receiver->bytes);
	struct snapshot *snapshot =
	    snapshot_deserialize(receiver->id, bytes, error);

	receiver->bytes = NULL;
	g_bytes_unref(bytes);
	handover_receiver_reset(receiver);
	return snapshot;
}
