#ifndef TREFOILHILL_GUARD_ADMITTED_CALL_H
#define TREFOILHILL_GUARD_ADMITTED_CALL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "guard/dedup_record.h"

enum admitted_call_phase {
	CALL_QUEUED,
	CALL_GRANTED, /* may run; nothing sent to the upstream yet */
	CALL_RUNNING,
};

/* A call from its admission to its end, queued ones included. */
struct admitted_call {
	uint64_t ticket;
	enum admitted_call_phase phase;
	uint64_t tick;       /* from the sender's last hint */
	uint64_t cold_epoch; /* of the guard when granted or confirmed */
	struct timespec deadline;
	struct timespec queue_deadline; /* refused if still queued then */
	struct dedup_entry *dedup;      /* NULL when idempotent */
	bool cancelled;
};

#endif
