#ifndef TREFOILHILL_GUARD_HELD_CALL_H
#define TREFOILHILL_GUARD_HELD_CALL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "guard/once.h"

enum held_phase {
	HELD_QUEUED,
	HELD_GRANTED, /* may run; not a byte has gone to the upstream */
	HELD_RUNNING,
};

/* One call between its admission and its end. */
struct held_call {
	uint64_t ticket;
	enum held_phase phase;
	uint64_t tick;  /* last tick that the sender saw */
	uint64_t epoch; /* of the guard when the call was granted */
	struct timespec deadline;
	struct timespec give_up; /* a queued call is refused then */
	struct once_entry *once; /* NULL when idempotent */
	bool cancelled;
};

#endif
