#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "oracle.h"

struct oracle_record {
	uint64_t revision;
	json_t *json;
	bool invalid; /* not a valid record by itself */
};

enum {
	CHANGES_MAX = 6,
	PERCENT = 100,
	REMOVE_PERCENT = 25,
	INVALID_PERCENT = 3,
	FIELDS_BYTES_MAX = 300,
};

static const char *const kinds[] = { "zone", "host", "service", "upstream",
	"route" };
static const unsigned int names_per_kind[] = { 4, 12, 5, 30, 8 };

static void
free_record(void *data)
{
	struct oracle_record *record = data;

	json_decref(record->json);
	g_free(record);
}

struct oracle *
oracle_new(void)
{
	struct oracle *oracle = g_new0(struct oracle, 1);

	oracle->platform =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_record);
	oracle->accepted =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_record);
	return oracle;
}

void
oracle_free(struct oracle *oracle)
{
	g_hash_table_unref(oracle->platform);
	g_hash_table_unref(oracle->accepted);
	g_free(oracle);
}

static unsigned int
random_below(struct rng *rng, unsigned int bound)
{
	return (unsigned int)rng_below(rng, bound);
}

static void
generate_fields(struct rng *rng, size_t kind, unsigned int name, char *text)
{
	unsigned int is_out = random_below(rng, 2);
	const char *state = is_out ? "out" : "in";
	const char *out = is_out ? "true" : "false";
	unsigned int zone = random_below(rng, names_per_kind[0]);
	unsigned int host = random_below(rng, names_per_kind[1]);
	unsigned int service = random_below(rng, names_per_kind[2]);

	if (kind == 0 && random_below(rng, 2))
		snprintf(
		    text, FIELDS_BYTES_MAX, "\"schema\":1,\"out\":%s", out);
	else if (kind == 0)
		snprintf(text, FIELDS_BYTES_MAX,
		    "\"schema\":2,\"state\":\"%s\"", state);
	else if (kind == 1)
		snprintf(text, FIELDS_BYTES_MAX,
		    "\"schema\":2,\"zone\":\"n%u\",\"state\":\"%s\","
		    "\"node\":\"127.0.0.1:%u\"",
		    zone, state, 1000 + name);
	else if (kind == 2)
		snprintf(text, FIELDS_BYTES_MAX, "\"schema\":1,\"timeout\":%u",
		    1 + random_below(rng, 3));
	else if (kind == 3)
		snprintf(text, FIELDS_BYTES_MAX,
		    "\"schema\":1,\"service\":\"n%u\",\"host\":\"n%u\","
		    "\"addr\":\"127.0.0.1:9\",\"slots\":%u,"
		    "\"connections\":5",
		    service, host, 1 + random_below(rng, 4));
	else
		snprintf(text, FIELDS_BYTES_MAX,
		    "\"schema\":2,\"service\":\"n%u\",\"prefix\":\"/%u\"",
		    service, random_below(rng, 4));
}

char *
oracle_generate(struct oracle *oracle, struct rng *rng)
{
	GString *sets = g_string_new("{\"set\":[");
	GString *removes = g_string_new("],\"remove\":[");
	unsigned int changes = 1 + random_below(rng, CHANGES_MAX);

	for (unsigned int i = 0; i < changes; i++) {
		size_t kind = random_below(rng, G_N_ELEMENTS(kinds));
		unsigned int name = random_below(rng, names_per_kind[kind]);
		bool is_remove = random_below(rng, PERCENT) < REMOVE_PERCENT;
		bool is_invalid = random_below(rng, PERCENT) < INVALID_PERCENT;
		GString *list = is_remove ? removes : sets;
		char fields[FIELDS_BYTES_MAX] = "";

		if (!is_remove)
			generate_fields(rng, kind, name, fields);
		g_string_append_printf(list,
		    "%s{\"kind\":\"%s\",\"name\":\"n%u\"%s%s%s}",
		    g_str_has_suffix(list->str, "}") ? "," : "", kinds[kind],
		    name, is_remove ? "" : ",", fields,
		    is_invalid && !is_remove ? ",\"odd\":1" : "");
	}
	g_string_append_printf(sets, "%s]}", removes->str);
	g_string_free(removes, TRUE);
	return g_string_free(sets, FALSE);
}

static char *
key_of(const json_t *json)
{
	return g_strdup_printf("%s/%s",
	    json_string_value(json_object_get(json, "kind")),
	    json_string_value(json_object_get(json, "name")));
}

static void
put_record(GHashTable *table, json_t *json, uint64_t revision)
{
	struct oracle_record *record = g_new0(struct oracle_record, 1);

	record->revision = revision;
	record->json = json_incref(json);
	record->invalid = json_object_get(json, "odd") != NULL;
	g_hash_table_replace(table, key_of(json), record);
}

static bool
apply_publication(GHashTable *table, const json_t *root, uint64_t revision)
{
	GHashTable *seen =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bool is_unique = true;
	json_t *json;
	size_t i;

	json_array_foreach (json_object_get(root, "set"), i, json) {
		is_unique &= g_hash_table_add(seen, key_of(json));
		put_record(table, json, revision);
	}
	json_array_foreach (json_object_get(root, "remove"), i, json) {
		char *key = key_of(json);

		g_hash_table_remove(table, key);
		is_unique &= g_hash_table_add(seen, key);
	}
	g_hash_table_unref(seen);
	return is_unique;
}

static bool
has_reference(GHashTable *table, const json_t *json, const char *kind)
{
	const json_t *name = json_object_get(json, kind);
	char *key;
	bool found;

	if (name == NULL)
		return true;
	key = g_strdup_printf("%s/%s", kind, json_string_value(name));
	found = g_hash_table_contains(table, key);
	g_free(key);
	return found;
}

static bool
is_record_valid(GHashTable *table, const struct oracle_record *record)
{
	return !record->invalid && has_reference(table, record->json, "zone") &&
	    has_reference(table, record->json, "host") &&
	    has_reference(table, record->json, "service");
}

static GHashTable *
copy_table(GHashTable *table)
{
	GHashTable *copy =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_record);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct oracle_record *record = value;

		put_record(copy, record->json, record->revision);
	}
	return copy;
}

/* Return any record that is invalid or has a dangling reference, or NULL. */
static const struct oracle_record *
find_invalid_record(GHashTable *table)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!is_record_valid(table, value))
			return value;
	}
	return NULL;
}

bool
oracle_publish(struct oracle *oracle, const char *json)
{
	json_t *root = json_loads(json, 0, NULL);
	GHashTable *next = copy_table(oracle->accepted);
	bool accept;

	oracle->revision++;
	apply_publication(oracle->platform, root, oracle->revision);
	accept = apply_publication(next, root, oracle->revision) &&
	    find_invalid_record(next) == NULL;
	if (accept) {
		g_hash_table_unref(oracle->accepted);
		oracle->accepted = next;
	} else {
		g_hash_table_unref(next);
	}
	json_decref(root);
	return accept;
}

char *
oracle_full_publication(struct oracle *oracle)
{
	json_t *sets = json_array();
	json_t *root = json_pack("{s:o}", "set", sets);
	GHashTableIter iter;
	gpointer value;
	char *text;

	g_hash_table_iter_init(&iter, oracle->accepted);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		json_array_append(sets, ((struct oracle_record *)value)->json);
	text = json_dumps(root, 0);
	json_decref(root);
	return text;
}

GArray *
oracle_raw_records(GHashTable *records, struct rng *rng)
{
	GArray *raw = g_array_new(FALSE, TRUE, sizeof(struct raw_record));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct oracle_record *record = value;
		struct raw_record raw_record = { .revision = record->revision,
			.record = record->json };

		g_array_insert_val(
		    raw, random_below(rng, raw->len + 1), raw_record);
	}
	return raw;
}

size_t
oracle_raw_record_count(struct oracle *oracle)
{
	GHashTable *remaining = copy_table(oracle->platform);
	const struct oracle_record *invalid;
	size_t count;

	while ((invalid = find_invalid_record(remaining)) != NULL) {
		uint64_t revision = invalid->revision;
		GHashTableIter iter;
		gpointer value;

		g_hash_table_iter_init(&iter, remaining);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			const struct oracle_record *record = value;

			if (record->revision == revision)
				g_hash_table_iter_remove(&iter);
		}
	}
	count = g_hash_table_size(remaining);
	g_hash_table_unref(remaining);
	return count;
}
