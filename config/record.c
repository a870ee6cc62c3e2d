#include <string.h>

#include "config/record_reader.h"

enum {
	SCHEMA_WRITTEN = 2,
};

static const char *const kind_names[RECORD_KIND_COUNT] = {
	[RECORD_ZONE] = "zone",
	[RECORD_HOST] = "host",
	[RECORD_SERVICE] = "service",
	[RECORD_UPSTREAM] = "upstream",
	[RECORD_ROUTE] = "route",
};

/*
 * Return the name of a kind as records spell it.
 */
const char *
record_kind_name(enum record_kind kind)
{
	return kind < RECORD_KIND_COUNT ? kind_names[kind] : "unknown";
}

/*
 * Find the kind of a name; false when there is none.
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
 * Read one record of schema 1 or 2. Return NULL and set a CONFIG_ERROR when
 * it has an unknown field, a wrong type or a value out of bounds.
 */
struct record *
record_parse(const json_t *json, uint64_t version, GError **error)
{
	struct refusal *fault = NULL;
	struct record *record = record_read(json, version, &fault);

	if (record == NULL)
		refusal_to_error(fault, error);
	refusal_free(fault);
	return record;
}

static void
set_text(json_t *json, const char *field, struct str text)
{
	json_object_set_new(json, field, json_stringn(text.ptr, text.len));
}

static void
set_number(json_t *json, const char *field, uint32_t number)
{
	json_object_set_new(json, field, json_integer(number));
}

static void
set_state(json_t *json, bool out)
{
	set_text(json, "state", str_from(out ? "out" : "in"));
}

/*
 * Return the record as a JSON object of the newest schema, with defaults
 * filled in; the caller owns it.
 */
json_t *
record_to_json(const struct record *record)
{
	json_t *json = json_object();

	set_number(json, "schema", SCHEMA_WRITTEN);
	set_text(json, "kind", str_from(record_kind_name(record->kind)));
	set_text(json, "name", record->name);
	switch (record->kind) {
	case RECORD_ZONE:
		set_state(json, record->zone.out);
		if (record->zone.region.len > 0)
			set_text(json, "region", record->zone.region);
		break;
	case RECORD_HOST:
		set_text(json, "zone", record->host.zone);
		set_text(json, "node", record->host.node);
		set_state(json, record->host.out);
		break;
	case RECORD_SERVICE:
		set_number(json, "timeout_ms", record->service.timeout_ms);
		set_number(json, "idempotent_retries",
		    record->service.idempotent_retries);
		break;
	case RECORD_UPSTREAM:
		set_text(json, "service", record->upstream.service);
		set_text(json, "host", record->upstream.host);
		set_text(json, "address", record->upstream.address);
		set_number(json, "slots", record->upstream.slots);
		set_number(json, "connections", record->upstream.connections);
		break;
	case RECORD_ROUTE:
		set_text(json, "service", record->route.service);
		if (record->route.authority.len > 0)
			set_text(json, "authority", record->route.authority);
		if (record->route.prefix.len > 0)
			set_text(json, "prefix", record->route.prefix);
		break;
	case RECORD_KIND_COUNT:
		break;
	}
	return json;
}

/*
 * Take one more reference.
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
