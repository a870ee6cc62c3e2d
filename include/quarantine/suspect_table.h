#ifndef TREFOILHILL_QUARANTINE_SUSPECT_TABLE_H
#define TREFOILHILL_QUARANTINE_SUSPECT_TABLE_H

#include "quarantine/suspect.h"

/*
 * A bounded table of suspects by their keys. When it is full, one in quarantine
 * is kept rather than another, then one with more crashes, then the one that
 * came last.
 */
struct suspect_table {
	GHashTable *by_key; /* its own key to struct suspect */
	GPtrArray *all;     /* struct suspect, owned */
};

struct suspect_table *suspect_table_new(void);
void suspect_table_free(struct suspect_table *table);
/* NULL: not in the table. */
struct suspect *suspect_table_find(
    const struct suspect_table *table, struct request_key key);
struct suspect *suspect_table_find_or_add(
    struct suspect_table *table, struct request_key key);
/* Remove the suspect at an index of all; the last one takes its place. */
void suspect_table_remove_at(struct suspect_table *table, guint index);

#endif
