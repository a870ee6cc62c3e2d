#ifndef TREFOILHILL_CONFIG_RECORD_TABLES_H
#define TREFOILHILL_CONFIG_RECORD_TABLES_H

#include "config/snapshot.h"
#include "config/table.h"

/*
 * A configuration under change. Every step keeps all references whole, so a
 * draft may become a snapshot at any moment.
 */
struct record_tables {
	struct digest digest;
	struct table *by_kind[RECORD_KIND_COUNT];
	struct table *routes; /* by authority, prefix and name */
};

void record_tables_init(struct record_tables *tables);
void record_tables_init_copy(
    struct record_tables *tables, const struct record_tables *base);
void record_tables_clear(struct record_tables *tables);
/* NULL, or why the step was not taken. */
struct refusal *record_tables_put(
    struct record_tables *tables, struct record *record);
struct refusal *record_tables_remove(
    struct record_tables *tables, enum record_kind kind, struct str name);
struct str route_key(const struct record *route);

#endif
