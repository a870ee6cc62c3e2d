#ifndef TREFOILHILL_CONFIG_RECORD_TABLES_H
#define TREFOILHILL_CONFIG_RECORD_TABLES_H

#include "config/snapshot.h"
#include "config/table.h"

/*
 * All records of a configuration, by kind and name. Every change keeps all
 * references between records valid, so the tables may become those of a
 * snapshot after any of them.
 */
struct record_tables {
	struct digest digest;
	struct table *by_kind[RECORD_KIND_COUNT];
	struct table *routes; /* keyed by authority, prefix and name */
};

void record_tables_init(struct record_tables *tables);
void record_tables_init_copy(
    struct record_tables *tables, const struct record_tables *base);
void record_tables_clear(struct record_tables *tables);
/* Both return NULL, or why the record was not changed. */
struct refusal *record_tables_put(
    struct record_tables *tables, struct record *record);
struct refusal *record_tables_remove(
    struct record_tables *tables, enum record_kind kind, struct str name);
struct str route_key(const struct record *route);

#endif
