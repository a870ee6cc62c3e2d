#ifndef TREFOILHILL_GUARD_DEDUP_RECORD_H
#define TREFOILHILL_GUARD_DEDUP_RECORD_H

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
struct dedup_record;
struct dedup_entry;

enum dedup_verdict {
	DEDUP_NEW,       /* entered; the call may run */
	DEDUP_DUPLICATE, /* an earlier copy, or its key, runs or has run */
	DEDUP_REFUSED,   /* this attempt has been refused before */
	DEDUP_FULL,      /* every entry is within its lease */
};

struct dedup_record *dedup_record_new(
    size_t capacity, uint32_t ran_lease_ms, uint32_t refused_lease_ms);
void dedup_record_free(struct dedup_record *record);
/* Look a call up without entering it: any verdict but DEDUP_FULL. */
enum dedup_verdict dedup_record_check(struct dedup_record *record,
    struct str request, struct str key, uint32_t attempt, struct timespec now);
enum dedup_verdict dedup_record_insert(struct dedup_record *record,
    struct str request, struct str key, uint32_t attempt, struct timespec now,
    struct dedup_entry **entry);
/* The call may have run. */
void dedup_record_mark_ran(struct dedup_record *record,
    struct dedup_entry *entry, struct timespec now, struct timespec deadline);
/* The call surely did not run. */
void dedup_record_mark_not_run(struct dedup_record *record,
    struct dedup_entry *entry, struct timespec now);
/* Remember a refusal; false when there is no room. */
bool dedup_record_add_refusal(struct dedup_record *record, struct str request,
    uint32_t attempt, struct timespec now);
size_t dedup_record_count(const struct dedup_record *record);

#endif
