#include <string.h>

#include "config/entry.h"

/*
 * Return an entry without members whose key is the record's name.
 */
struct entry *
entry_new(struct record *record)
{
	struct entry *entry = g_new0(struct entry, 1);

	entry->refs = 1;
	entry->record = record_ref(record);
	entry->key = record->name;
	entry->view.service = record;
	return entry;
}

/*
 * Return an entry with a key of its own; takes ownership of the key.
 */
struct entry *
entry_new_keyed(struct record *record, struct str key)
{
	struct entry *entry = entry_new(record);

	entry->key = key;
	entry->owns_key = true;
	return entry;
}

/*
 * Update the service view after the record or the members have changed.
 */
static void
update_view(struct entry *entry)
{
	entry->view.service = entry->record;
	entry->view.upstreams = entry->members;
	entry->view.upstream_count = entry->member_count;
}

static void
reserve_members(struct entry *entry, size_t capacity)
{
	if (capacity <= entry->member_capacity)
		return;
	capacity = MAX(capacity, 2 * entry->member_capacity);
	entry->members = g_renew(struct record *, entry->members, capacity);
	if (entry->record->kind == RECORD_SERVICE)
		entry->view.hosts =
		    g_renew(struct record *, entry->view.hosts, capacity);
	entry->member_capacity = capacity;
}

/*
 * Return a mutable copy. Its key is the record's name.
 */
struct entry *
entry_copy(const struct entry *entry)
{
	struct entry *copy = entry_new(entry->record);
	size_t size = entry->member_count * sizeof(struct record *);

	copy->route_count = entry->route_count;
	if (entry->member_count > 0) {
		reserve_members(copy, entry->member_count);
		memcpy(copy->members, entry->members, size);
		if (copy->view.hosts != NULL)
			memcpy(copy->view.hosts, entry->view.hosts, size);
	}
	copy->member_count = entry->member_count;
	update_view(copy);
	return copy;
}

/*
 * Add a reference; safe from any thread that holds one.
 */
struct entry *
entry_ref(struct entry *entry)
{
	g_atomic_int_inc(&entry->refs);
	return entry;
}

/*
 * Drop one reference and free the entry with the last one.
 */
void
entry_unref(struct entry *entry)
{
	if (!g_atomic_int_dec_and_test(&entry->refs))
		return;
	if (entry->owns_key)
		str_release(&entry->key);
	record_unref(entry->record);
	g_free(entry->members);
	g_free(entry->view.hosts);
	g_free(entry);
}

/*
 * Replace the record of an entry by one of the same kind and name; adds a
 * reference to it.
 */
void
entry_set_record(struct entry *entry, struct record *record)
{
	record_ref(record);
	record_unref(entry->record);
	entry->record = record;
	entry->key = record->name;
	update_view(entry);
}

/*
 * Find a member by name. Sets index to its position, or to the one where it
 * would be inserted; returns whether it exists.
 */
static bool
find_member(const struct entry *entry, struct str name, size_t *index)
{
	size_t low = 0;
	size_t high = entry->member_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		int order = str_compare(entry->members[middle]->name, name);

		if (order == 0) {
			*index = middle;
			return true;
		}
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	*index = low;
	return false;
}

static void
move_records(struct record **array, size_t from, size_t to, size_t count)
{
	memmove(&array[to], &array[from], count * sizeof(struct record *));
}

/*
 * Add a member, or replace the one of that name. The host is that of an
 * upstream; only the entries of services store it.
 */
void
entry_add_member(
    struct entry *entry, struct record *member, struct record *host)
{
	size_t index;

	if (!find_member(entry, member->name, &index)) {
		size_t tail = entry->member_count - index;

		reserve_members(entry, entry->member_count + 1);
		move_records(entry->members, index, index + 1, tail);
		if (entry->view.hosts != NULL)
			move_records(entry->view.hosts, index, index + 1, tail);
		entry->member_count++;
	}
	entry->members[index] = member;
	if (entry->view.hosts != NULL)
		entry->view.hosts[index] = host;
	update_view(entry);
}

/*
 * Remove the member of a name, if there is one.
 */
void
entry_remove_member(struct entry *entry, struct str name)
{
	size_t index;
	size_t tail;

	if (!find_member(entry, name, &index))
		return;
	entry->member_count--;
	tail = entry->member_count - index;
	move_records(entry->members, index + 1, index, tail);
	if (entry->view.hosts != NULL)
		move_records(entry->view.hosts, index + 1, index, tail);
	update_view(entry);
}

/*
 * Return whether another record refers to this one.
 */
bool
entry_is_used(const struct entry *entry)
{
	return entry->member_count > 0 || entry->route_count > 0;
}
