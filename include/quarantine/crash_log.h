#ifndef TREFOILHILL_QUARANTINE_CRASH_LOG_H
#define TREFOILHILL_QUARANTINE_CRASH_LOG_H

#include "quarantine/suspect.h"

enum {
	CRASH_LOG_MAX = 64,
};

/*
 * The latest crashes, in the order in which this node learned of them, also
 * those of which all suspects have been cleared. Zeroed before use.
 */
struct crash_log {
	struct crash crashes[CRASH_LOG_MAX];
	size_t count;
};

/* Does nothing if the crash is known. */
void crash_log_add(struct crash_log *log, const struct crash *crash);

#endif
