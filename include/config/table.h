#ifndef TREFOILHILL_CONFIG_TABLE_H
#define TREFOILHILL_CONFIG_TABLE_H

#include "config/entry.h"

/*
 * Ordered copy-on-write map from key to entry, shared between snapshots: a
 * change copies one block of entries and the list of blocks, never all
 * entries. Other holders of the table do not see the change.
 */
struct table;

struct table *table_new(void);
struct table *table_ref(struct table *table);
void table_unref(struct table *table);
size_t table_count(const struct table *table);
struct entry *table_find(const struct table *table, struct str key);
/*
 * First entry whose key is greater than or equal to the given one; NULL if
 * there is none.
 */
struct entry *table_find_from(const struct table *table, struct str key);
/* All records in the order of their keys; valid as long as the table. */
struct record *const *table_records(struct table *table);

/* Changes replace *table by a copy when it is shared. */
void table_put(struct table **table, struct entry *entry);
void table_remove(struct table **table, struct str key);
struct entry *table_edit(struct table **table, struct str key);

#endif
