#include <jansson.h>
#include <string.h>

#include "config/change.h"
#include "config/field_reader.h"
#include "config/record_reader.h"

/* State of one reading. */
struct reading {
	struct change *change;
	GHashTable *seen; /* "kind/name" of every record named so far */
	GPtrArray *refusals;
};

static void
unref_record(gpointer record)
{
	record_unref(record);
}

/*
 * Begin with no change.
 */
void
change_init(struct change *change)
{
	for (size_t i = 0; i < RECORD_KIND_COUNT; i++) {
		change->sets[i] = g_ptr_array_new_with_free_func(unref_record);
		change->removes[i] = g_ptr_array_new_with_free_func(g_free);
	}
}

/*
 * Free what the change holds.
 */
void
change_clear(struct change *change)
{
	for (size_t i = 0; i < RECORD_KIND_COUNT; i++) {
		g_ptr_array_unref(change->sets[i]);
		g_ptr_array_unref(change->removes[i]);
	}
}

/*
 * Note that the publication names a record; naming one twice is a fault, as
 * the result would depend on the order.
 */
static void
note_named(struct reading *reading, enum record_kind kind, const char *name)
{
	char *key = g_strdup_printf("%s/%s", record_kind_name(kind), name);
	struct refusal *refusal;

	if (g_hash_table_add(reading->seen, key))
		return;
	refusal = refusal_new(
	    CONFIG_ERROR_NAME, "name", "stands twice in one publication");
	refusal_set_record(refusal, record_kind_name(kind), name);
	refusal_list_add(reading->refusals, refusal);
}

static void
read_set(struct reading *reading, const json_t *json, uint64_t version)
{
	struct refusal *fault = NULL;
	struct record *record = record_read(json, version, &fault);

	if (record == NULL) {
		refusal_list_add(reading->refusals, fault);
		return;
	}
	g_ptr_array_add(reading->change->sets[record->kind], record);
	note_named(reading, record->kind, record->name.ptr);
}

static void
read_remove(struct reading *reading, const json_t *json)
{
	struct field_reader reader;
	struct str kind_name = { 0 };
	struct str name = { 0 };
	enum record_kind kind = RECORD_ZONE;

	field_reader_init(&reader, json);
	field_read_name(&reader, "kind", &kind_name);
	if (reader.fault == NULL && !record_kind_parse(kind_name, &kind))
		reader.fault = refusal_new(
		    CONFIG_ERROR_KIND, "kind", "is not a known kind");
	field_read_name(&reader, "name", &name);
	field_reader_finish(&reader);
	if (reader.fault != NULL) {
		refusal_list_add(reading->refusals, reader.fault);
		return;
	}
	g_ptr_array_add(reading->change->removes[kind], str_dup_cstr(name));
	note_named(reading, kind, name.ptr);
}

/*
 * Return a list of the publication, an empty one when it is absent. NULL
 * after a refusal.
 */
static const json_t *
take_list(struct reading *reading, const json_t *root, const char *field)
{
	const json_t *list = json_object_get(root, field);

	if (list != NULL && !json_is_array(list)) {
		refusal_list_add(reading->refusals,
		    refusal_new(CONFIG_ERROR_FIELD, field, "must be a list"));
		return NULL;
	}
	return list;
}

static void
check_frame(struct reading *reading, const json_t *root, uint64_t version)
{
	static const char *const fields[] = { "revision", "set", "remove",
		NULL };
	const json_t *revision = json_object_get(root, "revision");
	const char *key;
	json_t *value;

	if (revision != NULL &&
	    (!json_is_integer(revision) ||
		json_integer_value(revision) != (json_int_t)version))
		refusal_list_add(reading->refusals,
		    refusal_new(CONFIG_ERROR_ORDER, "revision",
			"is not that of the publication"));
	json_object_foreach ((json_t *)root, key, value) {
		if (!g_strv_contains(fields, key))
			refusal_list_add(reading->refusals,
			    refusal_new(CONFIG_ERROR_FIELD, key,
				"is not a field of a publication"));
	}
}

static void
read_root(struct reading *reading, const json_t *root, uint64_t version)
{
	const json_t *sets = take_list(reading, root, "set");
	const json_t *removes = take_list(reading, root, "remove");
	const json_t *json;
	size_t i;

	check_frame(reading, root, version);
	json_array_foreach (sets, i, json)
		read_set(reading, json, version);
	json_array_foreach (removes, i, json)
		read_remove(reading, json);
}

/*
 * Read a publication strictly, without regard to any state. What is wrong
 * with it is appended to refusals, at most REFUSALS_MAX in all; the change is
 * only of use when there are none.
 */
void
change_read(struct change *change, const struct publication *publication,
    GPtrArray *refusals)
{
	struct reading reading = { .change = change, .refusals = refusals };
	json_error_t fault;
	json_t *root;
	gsize len;
	const char *text = g_bytes_get_data(publication->json, &len);

	if (len > PUBLICATION_BYTES_MAX) {
		refusal_list_add(refusals,
		    refusal_new(CONFIG_ERROR_TOO_LARGE, "",
			"has %zu bytes, at most %d are allowed", len,
			PUBLICATION_BYTES_MAX));
		return;
	}
	root = json_loadb(
	    text == NULL ? "" : text, len, JSON_REJECT_DUPLICATES, &fault);
	if (!json_is_object(root)) {
		refusal_list_add(refusals,
		    refusal_new(CONFIG_ERROR_SYNTAX, "", "byte %d: %s",
			root == NULL ? fault.position : 0,
			root == NULL ? fault.text : "must be an object"));
		json_decref(root);
		return;
	}
	reading.seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	read_root(&reading, root, publication->version);
	g_hash_table_unref(reading.seen);
	json_decref(root);
}
