#ifndef TREFOILHILL_MESH_HANDOVER_H
#define TREFOILHILL_MESH_HANDOVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "config/snapshot.h"
#include "mesh/message.h"

enum {
	/*
	 * Size of the states whose transfer begins within one second. The last
	 * transfer admitted may exceed it.
	 */
	HANDOVER_BYTES_PER_S = 16 * 1024 * 1024,
	HANDOVER_IDLE_MAX_MS = 2000, /* since the last request for a part */
	HANDOVER_AGE_MAX_MS = 20000,
};

/* Sending side: one serialized state, kept while peers fetch it. */
struct handover {
	GBytes *bytes;
	struct state_id id;
	struct timespec serialized_at;
	struct timespec last_request;
	struct timespec interval_start; /* of the rate limit */
	size_t interval_bytes;
};

/* Receiving side: one full state that arrives in parts. */
struct handover_receiver {
	GByteArray *bytes; /* NULL: no transfer */
	struct state_id id;
	uint64_t total;
};

enum handover_receive_result {
	HANDOVER_RECEIVE_MORE,
	HANDOVER_RECEIVE_COMPLETE,
	HANDOVER_RECEIVE_DUPLICATE, /* part received before */
	HANDOVER_RECEIVE_RESTART, /* unexpected part; start over at offset 0 */
};

void handover_release(struct handover *handover);
bool handover_may_begin(struct handover *handover, struct timespec now);
void handover_prepare(struct handover *handover, struct snapshot *snapshot,
    struct state_id want, bool resuming, struct timespec now);
bool handover_fill_part(
    struct handover *handover, uint64_t offset, struct mesh_state_part *part);
void handover_expire(struct handover *handover, struct timespec now);

void handover_receiver_reset(struct handover_receiver *receiver);
enum handover_receive_result handover_receiver_add(
    struct handover_receiver *receiver, const struct mesh_state_part *part);
struct snapshot *handover_receiver_finish(
    struct handover_receiver *receiver, GError **error);

#endif
