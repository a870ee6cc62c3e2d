#ifndef TREFOILHILL_CONFIG_DRAFT_H
#define TREFOILHILL_CONFIG_DRAFT_H

#include "config/snapshot.h"
#include "config/table.h"

/*
 * A configuration under change. Every step keeps all references whole, so a
 * draft may become a snapshot at any moment.
 */
struct draft {
	struct digest digest;
	struct table *tables[RECORD_KIND_COUNT];
	struct table *routes; /* by authority, prefix and name */
};

void draft_init(struct draft *draft);
void draft_init_from(struct draft *draft, const struct draft *base);
void draft_clear(struct draft *draft);
/* NULL, or why the step was not taken. */
struct refusal *draft_put(struct draft *draft, struct record *record);
struct refusal *draft_remove(
    struct draft *draft, enum record_kind kind, struct str name);
struct str route_key(const struct record *route);

#endif
