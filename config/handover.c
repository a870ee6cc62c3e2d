#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "config/digest.h"
#include "config/record_reader.h"
#include "config/snapshot_new.h"

enum {
	HANDOVER_BYTES_MAX = 64 * 1024 * 1024,
};

/*
 * Write a whole accepted state for a peer: its version and base, and every
 * record with the version that set it, those first that others refer to.
 */
GBytes *
snapshot_serialize(const struct snapshot *snapshot)
{
	struct state_id id = snapshot_id(snapshot);
	json_t *records = json_array();
	json_t *root;
	char *text;

	for (size_t kind = 0; kind < RECORD_KIND_COUNT; kind++) {
		size_t count;
		struct record *const *list =
		    snapshot_records(snapshot, (enum record_kind)kind, &count);

		for (size_t i = 0; i < count; i++)
			json_array_append_new(records,
			    json_pack("[I, o]", (json_int_t)list[i]->version,
				record_to_json(list[i])));
	}
	root = json_pack("{s:I, s:I, s:o}", "version", (json_int_t)id.version,
	    "base", (json_int_t)id.base, "records", records);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

/*
 * Put one record of a hand-over into the draft.
 */
static struct refusal *
enter(struct draft *draft, const json_t *pair, uint64_t version_max)
{
	const json_t *version = json_array_get(pair, 0);
	struct refusal *refusal = NULL;
	struct record *record;

	if (json_array_size(pair) != 2 || !json_is_integer(version) ||
	    json_integer_value(version) <= 0 ||
	    (uint64_t)json_integer_value(version) > version_max)
		return refusal_new(CONFIG_ERROR_FIELD, "records",
		    "must be pairs of a version and a record");
	record = record_read(json_array_get(pair, 1),
	    (uint64_t)json_integer_value(version), &refusal);
	if (record == NULL)
		return refusal;
	if (table_find(draft->tables[record->kind], record->name) != NULL)
		refusal = refusal_new(
		    CONFIG_ERROR_NAME, "name", "stands twice in a hand-over");
	else
		refusal = draft_put(draft, record);
	record_unref(record);
	return refusal;
}

static struct refusal *
enter_all(
    struct draft *draft, const json_t *root, const struct state_id *expected)
{
	const json_t *records = json_object_get(root, "records");
	const json_t *pair;
	size_t i;

	if ((uint64_t)json_integer_value(json_object_get(root, "version")) !=
		expected->version ||
	    (uint64_t)json_integer_value(json_object_get(root, "base")) !=
		expected->base)
		return refusal_new(CONFIG_ERROR_ORDER, "version",
		    "and base are not those expected");
	if (!json_is_array(records))
		return refusal_new(
		    CONFIG_ERROR_FIELD, "records", "must be a list");
	json_array_foreach (records, i, pair) {
		struct refusal *refusal = enter(draft, pair, expected->version);

		if (refusal != NULL)
			return refusal;
	}
	if (digest_compare(draft->digest, expected->digest) != 0)
		return refusal_new(CONFIG_ERROR_ORDER, "digest",
		    "of the records is not the one expected");
	return NULL;
}

static json_t *
load(GBytes *bytes, GError **error)
{
	json_error_t fault;
	json_t *root;
	gsize len;
	const char *text = g_bytes_get_data(bytes, &len);

	if (len > HANDOVER_BYTES_MAX) {
		g_set_error(error, CONFIG_ERROR, CONFIG_ERROR_TOO_LARGE,
		    "a hand-over of %zu bytes is too large", len);
		return NULL;
	}
	root = json_loadb(
	    text == NULL ? "" : text, len, JSON_REJECT_DUPLICATES, &fault);
	if (root == NULL)
		g_set_error(error, CONFIG_ERROR, CONFIG_ERROR_SYNTAX,
		    "byte %d: %s", fault.position, fault.text);
	return root;
}

/*
 * Read a whole accepted state from a peer. It is taken only if it is exactly
 * the expected one: version, base, digest, and every reference met. Return
 * NULL and set a CONFIG_ERROR otherwise.
 */
struct snapshot *
snapshot_deserialize(struct state_id expected, GBytes *bytes, GError **error)
{
	json_t *root = load(bytes, error);
	struct refusal *refusal;
	struct draft draft;

	if (root == NULL)
		return NULL;
	draft_init(&draft);
	refusal = enter_all(&draft, root, &expected);
	json_decref(root);
	if (refusal == NULL)
		return snapshot_new(expected.version, expected.base, &draft);
	refusal_to_error(refusal, error);
	refusal_free(refusal);
	draft_clear(&draft);
	return NULL;
}
