#ifndef TREFOILHILL_GUARD_COLD_CHECK_H
#define TREFOILHILL_GUARD_COLD_CHECK_H

#include <stdbool.h>
#include <stdint.h>

/*
 * When to ask an upstream whether it is cold. Addresses a zone that is cut off
 * or a store that is down: the upstream may have become cold, and its
 * registration can't tell. While the copy of the store is confirmed, nothing is
 * asked.
 */
struct cold_check {
	int64_t asked_ms; /* last; 0: never */
};

/* Is the upstream to be asked now? copy_age_ms -1: never confirmed. */
bool cold_check_take(
    struct cold_check *check, int64_t copy_age_ms, int64_t now_ms);

#endif
