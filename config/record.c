#include <string.h>

#include "config/record_reader.h"

static const char *const kind_names[RECORD_KIND_COUNT] = {
	[RECORD_ZONE] = "zone",
	[RECORD_HOST] = "host",
	[RECORD_SERVICE] = "service",
	[RECORD_UPSTREAM] = "upstream",
	[RECORD_ROUTE] = "route",
};

/*
 * Return the name of a kind as used in records.
 */
const char *
record_kind_name(enum record_kind kind)
{
	return kind < RECORD_KIND_COUNT ? kind_names[kind] : "unknown";
}

/*
 * Look up a kind by its name; false when there is none.
 */
bool
record_kind_parse(struct str name, enum record_kind *kind)
{
	for (size_t i = 0; i < RECORD_KIND_COUNT; i++) {
		if (!str_equal(name, str_from(kind_names[i])))
			continue;
		*kind = (enum record_kind)i;
		return true;
	}
	return false;
}

/*
 * Parse one record of schema 1 or 2. Return NULL and set a CONFIG_ERROR when
 * it has an unknown field, a wrong type or a value out of range.
 */
struct record *
record_parse(const json_t *json, uint64_t version, GError **error)
{
	struct refusal *refusal = NULL;
	struct record *record = record_read(json, version, &refusal);

	if (record == NULL)
		refusal_to_error(refusal, error);
	refusal_free(refusal);
	return record;
}

/*
 * Add a reference; safe from any thread that holds one.
 */
struct record *
record_ref(struct record *record)
{
	g_atomic_int_inc(&record->refs);
	return record;
}

/*
 * Drop one reference and free the record with the last one.
 */
void
record_unref(struct record *record)
{
	if (!g_atomic_int_dec_and_test(&record->refs))
		return;
	str_release(&record->name);
	switch (record->kind) {
	case RECORD_ZONE:
		str_release(&record->zone.region);
		break;
	case RECORD_HOST:
		str_release(&record->host.zone);
		str_release(&record->host.node);
		break;
	case RECORD_SERVICE:
		break;
	case RECORD_UPSTREAM:
		str_release(&record->upstream.service);
		str_release(&record->upstream.host);
		str_release(&record->upstream.address);
		break;
	case RECORD_ROUTE:
		str_release(&record->route.service);
		str_release(&record->route.authority);
		str_release(&record->route.prefix);
		break;
	case RECORD_KIND_COUNT:
		break;
	}
	g_free(record);
}
