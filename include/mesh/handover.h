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
	struct timespec made;
	struct timespec used;
	struct timespec window; /* of the bytes that began to be given */
	size_t window_bytes;
};

/* Taking side: one whole state arriving in parts. */
struct intake {
	GByteArray *bytes; /* NULL: no transfer */
	struct state_id id;
	uint64_t total;
};

enum intake_result {
	INTAKE_MORE,
	INTAKE_COMPLETE,
	INTAKE_DOUBLED, /* arrived already */
	INTAKE_RESTART, /* not the part that was due; ask from offset 0 */
};

void handover_release(struct handover *handover);
bool handover_may_begin(struct handover *handover, struct timespec now);
void handover_prepare(struct handover *handover, struct snapshot *snapshot,
    struct state_id want, bool exact, struct timespec now);
bool handover_part(
    struct handover *handover, uint64_t offset, struct mesh_state_part *part);
void handover_expire(struct handover *handover, struct timespec now);

void intake_reset(struct intake *intake);
enum intake_result intake_add(
    struct intake *intake, const struct mesh_state_part *part);
struct snapshot *intake_finish(struct intake *intake, GError **error);

#endif
