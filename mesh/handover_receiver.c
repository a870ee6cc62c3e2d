#include "mesh/handover.h"

/*
 * Discard all parts received.
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
 * Add a part. The first one sets the state and its size; a part of another
 * state, or one out of order, discards the transfer. Memory grows only with the
 * bytes received.
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
 * Build a snapshot from a complete transfer and verify its digest against the
 * announced one; fails with an error of CONFIG_ERROR. The receiver is empty
 * afterwards in either case.
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
