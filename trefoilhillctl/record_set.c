#include "config/record.h"
#include "trefoilhillctl/publication_draft.h"
#include "trefoilhillctl/record_set.h"

/*
 * Initialises an empty set.
 */
void
record_set_init(struct record_set *set)
{
	set->records = json_object();
}

/*
 * Initialises a set with the records of another one. The records are shared.
 */
void
record_set_init_from(struct record_set *set, const struct record_set *base)
{
	set->records = json_copy(base->records);
}

/*
 * Releases the memory held by the set.
 */
void
record_set_clear(struct record_set *set)
{
	json_decref(set->records);
}

/*
 * Adds a record of any schema version, replacing a record of the same kind and
 * name. Returns false with a CONFIG_ERROR if the record is invalid.
 */
bool
record_set_put(struct record_set *set, const json_t *json, GError **error)
{
	struct record *record = record_parse(json, 0, error);
	char *key;

	if (record == NULL)
		return false;
	key = record_key(json);
	json_object_set_new(set->records, key, record_to_json(record));
	g_free(key);
	record_unref(record);
	return true;
}

bool
record_set_put_all(
    struct record_set *set, const json_t *records, GError **error)
{
	json_t *record;
	size_t i;

	json_array_foreach (records, i, record)
		if (!record_set_put(set, record, error))
			return false;
	return true;
}

/*
 * Removes the records identified by objects with the members kind and name.
 */
void
record_set_remove_all(struct record_set *set, const json_t *names)
{
	json_t *name;
	size_t i;

	json_array_foreach (names, i, name) {
		char *key = record_key(name);

		if (key != NULL)
			json_object_del(set->records, key);
		g_free(key);
	}
}

/*
 * Returns the members that differ, each as [before, after] with null for an
 * absent value.
 */
static json_t *
fields_diff(const json_t *before, const json_t *after)
{
	json_t *merged = json_copy((json_t *)before);
	json_t *fields = json_object();
	const char *key;
	json_t *value;

	json_object_update_missing(merged, (json_t *)after);
	json_object_foreach (merged, key, value) {
		json_t *old = json_object_get(before, key);
		json_t *new = json_object_get(after, key);

		if (!json_equal(old, new))
			json_object_set_new(
			    fields, key, json_pack("[O?,O?]", old, new));
	}
	json_decref(merged);
	return fields;
}

static int
compare_keys(const void *a, const void *b)
{
	return g_strcmp0(*(const char *const *)a, *(const char *const *)b);
}

/* Returns the sorted, unique keys of both sets, borrowed from the sets. */
static GPtrArray *
all_keys(const json_t *a, const json_t *b)
{
	GPtrArray *keys = g_ptr_array_new();
	const char *key;
	json_t *value;

	json_object_foreach ((json_t *)a, key, value)
		g_ptr_array_add(keys, (char *)key);
	json_object_foreach ((json_t *)b, key, value)
		if (json_object_get(a, key) == NULL)
			g_ptr_array_add(keys, (char *)key);
	g_ptr_array_sort(keys, compare_keys);
	return keys;
}

json_t *
record_set_diff(const struct record_set *from, const struct record_set *to)
{
	GPtrArray *keys = all_keys(from->records, to->records);
	json_t *changes = json_array();

	for (guint i = 0; i < keys->len; i++) {
		const char *key = keys->pdata[i];
		json_t *before = json_object_get(from->records, key);
		json_t *after = json_object_get(to->records, key);
		const char *change = before == NULL ? "added"
		    : after == NULL                 ? "removed"
						    : "changed";

		if (json_equal(before, after))
			continue;
		json_array_append_new(changes,
		    json_pack("{s:s,s:s,s:o}", "record", key, "change", change,
			"fields", fields_diff(before, after)));
	}
	g_ptr_array_unref(keys);
	return changes;
}
