#include <string.h>

#include "quarantine/crash_log.h"

/*
 * Add a crash; the oldest one makes room.
 */
void
crash_log_add(struct crash_log *log, const struct crash *crash)
{
	for (size_t i = 0; i < log->count; i++) {
		if (log->crashes[i].id == crash->id)
			return;
	}
	if (log->count == CRASH_LOG_MAX) {
		log->count--;
		memmove(&log->crashes[0], &log->crashes[1],
		    log->count * sizeof(struct crash));
	}
	log->crashes[log->count++] = *crash;
}
