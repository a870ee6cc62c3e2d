#ifndef TREFOILHILL_CONFIG_ENTRY_H
#define TREFOILHILL_CONFIG_ENTRY_H

#include "config/record.h"
#include "config/snapshot.h"

/*
 * A record together with the records that refer to it. Reference-counted and,
 * once a snapshot shares it, immutable. The members are borrowed: every
 * snapshot that holds the entry also holds them, in the tables of their kinds.
 */
struct entry {
	int refs;
	struct str key; /* the record's name, or owned by the entry */
	bool owns_key;
	struct record *record;
	/* zone: its hosts; host and service: their upstreams; sorted by name */
	struct record **members;
	size_t member_count;
	size_t member_capacity;
	size_t route_count;       /* service: routes that refer to it */
	struct service_view view; /* service: the members with their hosts */
};

struct entry *entry_new(struct record *record);
struct entry *entry_new_keyed(struct record *record, struct str key);
struct entry *entry_copy(const struct entry *entry);
struct entry *entry_ref(struct entry *entry);
void entry_unref(struct entry *entry);
void entry_set_record(struct entry *entry, struct record *record);
void entry_add_member(
    struct entry *entry, struct record *member, struct record *host);
void entry_remove_member(struct entry *entry, struct str name);
bool entry_is_used(const struct entry *entry);

#endif
