#ifndef TREFOILHILL_MESH_HANDOVER_H
#define TREFOILHILL_MESH_HANDOVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "config/snapshot.h"
#include "mesh/message.h"

enum {
	/* Of whole states that begin to be given; the last may go beyond. */
	HANDOVER_BYTES_PER_S = 16 * 1024 * 1024,
	HANDOVER_KEEP_MS = 2000, /* after the last part was asked for */
	HANDOVER_AGE_MAX_MS = 20000,
};

/* Giving side: one serialized state, kept while somebody fetches it. */
struct handover {
	GBytes *bytes;
	struct state_id id;
	struct timespec serialized_at;
	struct timespec last_request;
	struct timespec
	    interval_start; /* of the bytes that began to be given */
	size_t interval_bytes;
};

/* Taking side: one whole state arriving in parts. */
struct handover_receiver {
	GByteArray *bytes; /* NULL: no transfer */
	struct state_id id;
	uint64_t total;
};

enum handover_receive_result {
	HANDOVER_RECEIVE_MORE,
	HANDOVER_RECEIVE_COMPLETE,
	HANDOVER_RECEIVE_DUPLICATE, /* arrived already */
	HANDOVER_RECEIVE_RESTART, /* not the part that was due; ask from offset
				     0 */
};

void handover_release(struct handover *handover);
bool handover_may_begin(struct handover *handover, struct timespec now);
void handover_prepare(struct handover *handover, struct snapshot *snapshot,
    struct state_id want, bool exact, struct timespec now);
bool handover_part(
    struct handover *handover, uint64_t offset, struct mesh_state_part *part);
void handover_expire(struct handover *handover, struct timespec now);

void handover_receiver_reset(struct handover_receiver *receiver);
enum handover_receive_result handover_receiver_add(
    struct handover_receiver *receiver, const struct mesh_state_part *part);
struct snapshot *handover_receiver_finish(
    struct handover_receiver *receiver, GError **error);

#endif
