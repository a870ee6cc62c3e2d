#include <string.h>

#include "common/json_parse.h"
#include "config/change.h"
#include "config/field_reader.h"
#include "config/record_reader.h"

/* Context of one call of change_read. */
struct change_reader {
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
 * Initialize an empty change.
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
 * Free the records and names of a change.
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
 * Add a refusal when the publication names this record a second time: the
 * result would depend on the order.
 */
static void
check_named_once(
    struct change_reader *reader, enum record_kind kind, const char *name)
{
	char *key = g_strdup_printf("%s/%s", record_kind_name(kind), name);
	struct refusal *refusal;

	if (g_hash_table_add(reader->seen, key))
		return;
	refusal = refusal_new(
	    CONFIG_ERROR_NAME, "name", "stands twice in one publication");
	refusal_set_record(refusal, record_kind_name(kind), name);
	refusal_list_add(reader->refusals, refusal);
}

static void
read_set(struct change_reader *reader, const json_t *json, uint64_t version)
{
	struct refusal *refusal = NULL;
	struct record *record = record_read(json, version, &refusal);

	if (record == NULL) {
		refusal_list_add(reader->refusals, refusal);
		return;
	}
	g_ptr_array_add(reader->change->sets[record->kind], record);
	check_named_once(reader, record->kind, record->name.ptr);
}

static void
read_remove(struct change_reader *reader, const json_t *json)
{
	struct field_reader fields;
	struct str kind_name = { 0 };
	struct str name = { 0 };
	enum record_kind kind = RECORD_ZONE;

	field_reader_init(&fields, json);
	field_read_name(&fields, "kind", &kind_name);
	if (fields.refusal == NULL && !record_kind_parse(kind_name, &kind))
		fields.refusal = refusal_new(
		    CONFIG_ERROR_KIND, "kind", "is not a known kind");
	field_read_name(&fields, "name", &name);
	field_reader_finish(&fields);
	if (fields.refusal != NULL) {
		refusal_list_add(reader->refusals, fields.refusal);
		return;
	}
	g_ptr_array_add(reader->change->removes[kind], str_dup_cstr(name));
	check_named_once(reader, kind, name.ptr);
}

/*
 * Return a list of the publication, or NULL when it is absent or refused; the
 * jansson iterators treat NULL as an empty list.
 */
static const json_t *
get_list(struct change_reader *reader, const json_t *root, const char *field)
{
	const json_t *list = json_object_get(root, field);

	if (list != NULL && !json_is_array(list)) {
		refusal_list_add(reader->refusals,
		    refusal_new(CONFIG_ERROR_FIELD, field, "must be a list"));
		return NULL;
	}
	return list;
}

static void
check_fields(struct change_reader *reader, const json_t *root, uint64_t version)
{
	static const char *const fields[] = { "revision", "set", "remove",
		NULL };
	const json_t *revision = json_object_get(root, "revision");
	const char *key;
	json_t *value;

	if (revision != NULL &&
	    (!json_is_integer(revision) ||
		json_integer_value(revision) != (json_int_t)version))
		refusal_list_add(reader->refusals,
		    refusal_new(CONFIG_ERROR_ORDER, "revision",
			"is not that of the publication"));
	json_object_foreach ((json_t *)root, key, value) {
		if (!g_strv_contains(fields, key))
			refusal_list_add(reader->refusals,
			    refusal_new(CONFIG_ERROR_FIELD, key,
				"is not a field of a publication"));
	}
}

static void
read_root(struct change_reader *reader, const json_t *root, uint64_t version)
{
	const json_t *sets = get_list(reader, root, "set");
	const json_t *removes = get_list(reader, root, "remove");
	const json_t *json;
	size_t i;

	check_fields(reader, root, version);
	json_array_foreach (sets, i, json)
		read_set(reader, json, version);
	json_array_foreach (removes, i, json)
		read_remove(reader, json);
}

/*
 * Parse and validate a publication without regard to any state. Errors are
 * appended to refusals, at most REFUSALS_MAX in all; the change is only valid
 * when there are none.
 */
void
change_read(struct change *change, const struct publication *publication,
    GPtrArray *refusals)
{
	struct change_reader reader = { .change = change,
		.refusals = refusals };
	json_error_t error;
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
	root = json_parse(str_make(text, len), JSON_REJECT_DUPLICATES, &error);
	if (!json_is_object(root)) {
		refusal_list_add(refusals,
		    refusal_new(CONFIG_ERROR_SYNTAX, "", "byte %d: %s",
			root == NULL ? error.position : 0,
			root == NULL ? error.text : "must be an object"));
		json_decref(root);
		return;
	}
	reader.seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	read_root(&reader, root, publication->version);
	g_hash_table_unref(reader.seen);
	json_decref(root);
}
