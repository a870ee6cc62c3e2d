#include <inttypes.h>
#include <string.h>

#include "common/json_parse.h"
#include "config/digest.h"
#include "config/record_reader.h"
#include "config/snapshot_private.h"

enum {
	HANDOVER_BYTES_MAX = 64 * 1024 * 1024,
	LINE_BYTES_MAX = 4 * 1024,
	LINE_BYTES_TYPICAL = 192, /* holds most records */
};

static size_t
count_records(const struct snapshot *snapshot)
{
	size_t count = 0;

	for (size_t kind = 0; kind < RECORD_KIND_COUNT; kind++)
		count += snapshot_count(snapshot, (enum record_kind)kind);
	return count;
}

/*
 * Serialize an accepted state for a peer, one JSON value per line: first the
 * version and base, then every record with the version that set it, after the
 * records that it refers to. The caller owns the bytes.
 */
GBytes *
snapshot_serialize(const struct snapshot *snapshot)
{
	struct state_id id = snapshot_id(snapshot);
	GString *out = g_string_sized_new(
	    (count_records(snapshot) + 1) * LINE_BYTES_TYPICAL);
	gsize len;

	g_string_append_printf(out,
	    "{\"version\":%" PRIu64 ",\"base\":%" PRIu64 "}\n", id.version,
	    id.base);
	for (size_t kind = 0; kind < RECORD_KIND_COUNT; kind++) {
		size_t count;
		struct record *const *records =
		    snapshot_records(snapshot, (enum record_kind)kind, &count);

		for (size_t i = 0; i < count; i++) {
			g_string_append_printf(
			    out, "[%" PRIu64 ",", records[i]->version);
			record_append_json(records[i], out);
			g_string_append(out, "]\n");
		}
	}
	len = out->len;
	return g_bytes_new_take(g_realloc(g_string_free(out, FALSE), len), len);
}

/*
 * Add one record of a handover to the tables. The caller frees the refusal.
 */
static struct refusal *
add_record(
    struct record_tables *tables, const json_t *pair, uint64_t version_max)
{
	const json_t *version = json_array_get(pair, 0);
	struct refusal *refusal = NULL;
	struct record *record;

	if (json_array_size(pair) != 2 || !json_is_integer(version) ||
	    json_integer_value(version) <= 0 ||
	    (uint64_t)json_integer_value(version) > version_max)
		return refusal_new(
		    CONFIG_ERROR_FIELD, "", "must be a version and a record");
	record = record_read(json_array_get(pair, 1),
	    (uint64_t)json_integer_value(version), &refusal);
	if (record == NULL)
		return refusal;
	if (table_find(tables->by_kind[record->kind], record->name) != NULL)
		refusal = refusal_new(
		    CONFIG_ERROR_NAME, "name", "appears twice in a handover");
	else
		refusal = record_tables_put(tables, record);
	record_unref(record);
	return refusal;
}

/*
 * Parse the first line of the text as JSON and remove it from the text. A line
 * holds at most one record, so a peer can make this node use no more memory
 * than that of the records which it accepts. Return NULL and set the refusal
 * on failure.
 */
static json_t *
parse_line(struct str *text, struct refusal **refusal)
{
	const char *end = text->len == 0
	    ? NULL
	    : memchr(text->ptr, '\n', MIN(text->len, (size_t)LINE_BYTES_MAX));
	json_error_t error;
	json_t *json;
	size_t len;

	if (end == NULL) {
		*refusal = refusal_new(CONFIG_ERROR_SYNTAX, "",
		    "a line is truncated or longer than %d bytes",
		    LINE_BYTES_MAX);
		return NULL;
	}
	len = (size_t)(end - text->ptr);
	json = json_parse(
	    str_make(text->ptr, len), JSON_REJECT_DUPLICATES, &error);
	if (json == NULL)
		*refusal = refusal_new(CONFIG_ERROR_SYNTAX, "", "byte %d: %s",
		    error.position, error.text);
	*text = str_make(end + 1, text->len - len - 1);
	return json;
}

static bool
is_number_equal(const json_t *json, uint64_t expected)
{
	return json_is_integer(json) && json_integer_value(json) >= 0 &&
	    (uint64_t)json_integer_value(json) == expected;
}

static struct refusal *
check_header(struct str *text, const struct state_id *expected)
{
	struct refusal *refusal = NULL;
	json_t *header = parse_line(text, &refusal);

	if (header == NULL)
		return refusal;
	if (!is_number_equal(
		json_object_get(header, "version"), expected->version) ||
	    !is_number_equal(json_object_get(header, "base"), expected->base))
		refusal = refusal_new(CONFIG_ERROR_ORDER, "version",
		    "and base do not match the expected state");
	json_decref(header);
	return refusal;
}

static struct refusal *
read_state(struct record_tables *tables, struct str text,
    const struct state_id *expected)
{
	struct refusal *refusal = check_header(&text, expected);

	while (refusal == NULL && text.len > 0) {
		json_t *pair = parse_line(&text, &refusal);

		if (pair != NULL)
			refusal = add_record(tables, pair, expected->version);
		json_decref(pair);
	}
	if (refusal == NULL &&
	    digest_compare(tables->digest, expected->digest) != 0)
		refusal = refusal_new(CONFIG_ERROR_ORDER, "digest",
		    "does not match the expected state");
	return refusal;
}

/*
 * Read an accepted state from a peer. It must be exactly the expected one:
 * version, base and digest match, and every reference resolves. Otherwise
 * return NULL and set a CONFIG_ERROR.
 */
struct snapshot *
snapshot_deserialize(struct state_id expected, GBytes *bytes, GError **error)
{
	struct refusal *refusal;
	struct record_tables tables;
	gsize len;
	const char *text = g_bytes_get_data(bytes, &len);

	if (len > HANDOVER_BYTES_MAX) {
		g_set_error(error, CONFIG_ERROR, CONFIG_ERROR_TOO_LARGE,
		    "a handover of %zu bytes is too large", len);
		return NULL;
	}
	record_tables_init(&tables);
	refusal = read_state(&tables, str_make(text, len), &expected);
	if (refusal == NULL)
		return snapshot_new(expected.version, expected.base, &tables);
	refusal_to_error(refusal, error);
	refusal_free(refusal);
	record_tables_clear(&tables);
	return NULL;
}
