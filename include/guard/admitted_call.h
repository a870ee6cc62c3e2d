#ifndef TREFOILHILL_GUARD_ADMITTED_CALL_H
#define TREFOILHILL_GUARD_ADMITTED_CALL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "guard/dedup_record.h"

enum admitted_call_phase {
	CALL_QUEUED,
	CALL_GRANTED, /* may run; not a byte has gone to the upstream */
	CALL_RUNNING,
};

/* One call between its admission and its end. */
struct admitted_call {
	uint64_t ticket;
	enum admitted_call_phase phase;
	uint64_t tick;       /* last tick that the sender saw */
	uint64_t cold_epoch; /* of the guard when the call was granted */
	struct timespec deadline;
	struct timespec queue_deadline; /* a queued call is refused then */
	struct dedup_entry *dedup;      /* NULL when idempotent */
	bool cancelled;
};

#endif
