#ifndef TREFOILHILL_ACCOUNT_TRIM_POLICY_H
#define TREFOILHILL_ACCOUNT_TRIM_POLICY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * When the heap returns free memory to the system, without I/O. Load pattern: a
 * crowd that has left. The heap keeps what is free between blocks in use, so
 * that the process stays as large as at its peak.
 */

/* Initialized with zeros. */
struct trim_policy {
	uint64_t peak; /* bytes in use, since the last trim */
	int64_t trimmed_ms;
};

/*
 * Is it time to trim, with so many bytes in use, and so many at most since the
 * last check? The peak may be much shorter than the time between checks.
 */
bool trim_policy_check(struct trim_policy *policy, uint64_t used,
    uint64_t used_peak, int64_t now_ms);

#endif
