#ifndef TREFOILHILL_GUARD_DEDUP_RECORD_H
#define TREFOILHILL_GUARD_DEDUP_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/str.h"

/*
 * Bounded record of recent calls that are not idempotent, to run each at most
 * once. A call that may have run is kept for a lease after its end, a refused
 * one until the fence rejects any copy of it.
 */
struct dedup_record;
struct dedup_entry;

enum dedup_verdict {
	DEDUP_NEW,       /* not seen before; the call may run */
	DEDUP_DUPLICATE, /* same request or key is running or has run */
	DEDUP_REFUSED,   /* this attempt has been refused before */
	DEDUP_FULL,      /* no entry has expired */
};

struct dedup_record *dedup_record_new(
    size_t capacity, uint32_t ran_lease_ms, uint32_t refused_lease_ms);
void dedup_record_free(struct dedup_record *record);
/* Look a call up without adding it: any verdict but DEDUP_FULL. */
enum dedup_verdict dedup_record_check(struct dedup_record *record,
    struct str request, struct str key, uint32_t attempt, struct timespec now);
/* Look a call up and add it if it is new. */
enum dedup_verdict dedup_record_insert(struct dedup_record *record,
    struct str request, struct str key, uint32_t attempt, struct timespec now,
    struct dedup_entry **entry);
/* To be called when a call ended that may have run. */
void dedup_record_mark_ran(struct dedup_record *record,
    struct dedup_entry *entry, struct timespec now, struct timespec deadline);
/* To be called when a call ended that certainly did not run. */
void dedup_record_mark_not_run(struct dedup_record *record,
    struct dedup_entry *entry, struct timespec now);
/* Add a refused call; false when the record is full. */
bool dedup_record_add_refusal(struct dedup_record *record, struct str request,
    uint32_t attempt, struct timespec now);
size_t dedup_record_count(const struct dedup_record *record);

#endif
