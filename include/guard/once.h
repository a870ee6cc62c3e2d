#ifndef TREFOILHILL_GUARD_ONCE_H
#define TREFOILHILL_GUARD_ONCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/str.h"

/*
 * Bounded record of recent calls that are not idempotent. A call that runs
 * or ran is kept for its lease, a refused one until the fence would refuse
 * any copy of it.
 */
struct once_record;
struct once_entry;

enum once_verdict {
	ONCE_NEW,       /* entered; the call may run */
	ONCE_DUPLICATE, /* an earlier copy, or its key, runs or has run */
	ONCE_REFUSED,   /* this attempt has been refused before */
	ONCE_FULL,      /* every entry is within its lease */
};

struct once_record *once_record_new(
    size_t capacity, uint32_t ran_lease_ms, uint32_t refused_lease_ms);
void once_record_free(struct once_record *record);
/* Look a call up without entering it: any verdict but ONCE_FULL. */
enum once_verdict once_record_check(struct once_record *record,
    struct str request, struct str key, uint32_t attempt, struct timespec now);
enum once_verdict once_record_enter(struct once_record *record,
    struct str request, struct str key, uint32_t attempt, struct timespec now,
    struct once_entry **entry);
/* The call may have run. */
void once_record_ran(struct once_record *record, struct once_entry *entry,
    struct timespec now, struct timespec deadline);
/* The call surely did not run. */
void once_record_not_run(
    struct once_record *record, struct once_entry *entry, struct timespec now);
/* Remember a refusal; false when there is no room. */
bool once_record_refuse(struct once_record *record, struct str request,
    uint32_t attempt, struct timespec now);
size_t once_record_count(const struct once_record *record);

#endif
