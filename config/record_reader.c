#include <string.h>

#include "config/digest.h"
#include "config/field_reader.h"
#include "config/record_reader.h"

enum {
	SCHEMA_V1 = 1,
	SCHEMA_V2 = 2,
	TIMEOUT_S_MAX = 3600,
	MS_PER_S = 1000,
	RETRIES_MAX = 3,
	RETRIES_DEFAULT = 1,
	SLOTS_MAX = 100000,
	CONNECTIONS_MAX = 100000,
	CANONICAL_BYTES_TYPICAL = 256, /* holds most records */
};

static void
read_out_state(struct field_reader *reader, uint32_t schema, bool *out)
{
	if (schema == SCHEMA_V1)
		field_read_bool(reader, "out", out);
	else
		field_read_in_or_out(reader, "state", out);
}

static void
read_zone(struct field_reader *reader, uint32_t schema, struct record *record)
{
	read_out_state(reader, schema, &record->zone.out);
	if (field_reader_has(reader, "region"))
		field_read_name(reader, "region", &record->zone.region);
}

static void
read_host(struct field_reader *reader, uint32_t schema, struct record *record)
{
	field_read_name(reader, "zone", &record->host.zone);
	field_read_address(reader, "node", &record->host.node);
	read_out_state(reader, schema, &record->host.out);
}

static void
read_service(
    struct field_reader *reader, uint32_t schema, struct record *record)
{
	struct service_record *service = &record->service;

	if (schema == SCHEMA_V1) {
		field_read_number(
		    reader, "timeout", 1, TIMEOUT_S_MAX, &service->timeout_ms);
		service->timeout_ms *= MS_PER_S;
	} else {
		field_read_number(reader, "timeout_ms", 1,
		    TIMEOUT_S_MAX * MS_PER_S, &service->timeout_ms);
	}
	service->idempotent_retries = RETRIES_DEFAULT;
	if (field_reader_has(reader, "idempotent_retries"))
		field_read_number(reader, "idempotent_retries", 0, RETRIES_MAX,
		    &service->idempotent_retries);
}

static void
read_upstream(
    struct field_reader *reader, uint32_t schema, struct record *record)
{
	struct upstream_record *upstream = &record->upstream;

	field_read_name(reader, "service", &upstream->service);
	field_read_name(reader, "host", &upstream->host);
	field_read_address(reader, schema == SCHEMA_V1 ? "addr" : "address",
	    &upstream->address);
	field_read_number(reader, "slots", 1, SLOTS_MAX, &upstream->slots);
	field_read_number(
	    reader, "connections", 1, CONNECTIONS_MAX, &upstream->connections);
}

static void
read_route(struct field_reader *reader, uint32_t schema, struct record *record)
{
	const char *authority =
	    schema == SCHEMA_V1 ? "host_header" : "authority";
	bool has_authority = field_reader_has(reader, authority);
	bool has_prefix = field_reader_has(reader, "prefix");

	field_read_name(reader, "service", &record->route.service);
	if (has_authority)
		field_read_authority(
		    reader, authority, &record->route.authority);
	if (has_prefix)
		field_read_prefix(reader, "prefix", &record->route.prefix);
	if (reader->refusal == NULL && !has_authority && !has_prefix)
		reader->refusal = refusal_new(
		    CONFIG_ERROR_FIELD, authority, "or prefix must be given");
}

typedef void (*read_kind)(
    struct field_reader *reader, uint32_t schema, struct record *record);

static const read_kind read_by_kind[RECORD_KIND_COUNT] = {
	[RECORD_ZONE] = read_zone,
	[RECORD_HOST] = read_host,
	[RECORD_SERVICE] = read_service,
	[RECORD_UPSTREAM] = read_upstream,
	[RECORD_ROUTE] = read_route,
};

/*
 * Read the fields that all kinds share: schema, kind and name.
 */
static void
read_common(
    struct field_reader *reader, uint32_t *schema, struct record *record)
{
	const char *field = "schema";
	struct str kind = { 0 };

	field_read_number(reader, field, SCHEMA_V1, SCHEMA_V2, schema);
	if (reader->refusal != NULL &&
	    g_str_equal(reader->refusal->field, field))
		reader->refusal->code = CONFIG_ERROR_SCHEMA;
	field_read_name(reader, "kind", &kind);
	if (reader->refusal == NULL && !record_kind_parse(kind, &record->kind))
		reader->refusal = refusal_new(CONFIG_ERROR_KIND, "kind",
		    "must be zone, host, service, upstream or route");
	field_read_name(reader, "name", &record->name);
}

/*
 * Return a copy of a record that owns its strings; those of the view belong to
 * a JSON value.
 */
static struct record *
copy_view(const struct record *view)
{
	struct record *record = g_memdup2(view, sizeof(*view));

	record->refs = 1;
	record->name = str_dup(view->name);
	switch (view->kind) {
	case RECORD_ZONE:
		record->zone.region = str_dup(view->zone.region);
		break;
	case RECORD_HOST:
		record->host.zone = str_dup(view->host.zone);
		record->host.node = str_dup(view->host.node);
		break;
	case RECORD_SERVICE:
		break;
	case RECORD_UPSTREAM:
		record->upstream.service = str_dup(view->upstream.service);
		record->upstream.host = str_dup(view->upstream.host);
		record->upstream.address = str_dup(view->upstream.address);
		break;
	case RECORD_ROUTE:
		record->route.service = str_dup(view->route.service);
		record->route.authority = str_dup(view->route.authority);
		record->route.prefix = str_dup(view->route.prefix);
		break;
	case RECORD_KIND_COUNT:
		break;
	}
	return record;
}

/*
 * Set the record of a refusal, if the JSON value has a usable kind and name.
 */
static void
set_refused_record(struct refusal *refusal, const json_t *json)
{
	const char *kind = json_string_value(json_object_get(json, "kind"));
	const char *name = json_string_value(json_object_get(json, "name"));

	if (kind != NULL && name != NULL && strlen(kind) <= FIELD_NAME_MAX &&
	    strlen(name) <= FIELD_NAME_MAX)
		refusal_set_record(refusal, kind, name);
}

/*
 * Return the digest of a record: the hash of its canonical form. Records that
 * differ only in schema or in the order of fields have the same digest.
 */
static struct digest
record_digest(const struct record *record)
{
	GString *text = g_string_sized_new(CANONICAL_BYTES_TYPICAL);
	struct digest digest;

	record_append_json(record, text);
	digest = digest_of_bytes(str_make(text->str, text->len));
	g_string_free(text, TRUE);
	return digest;
}

/*
 * Parse one record strictly. On failure return NULL and set *refusal, which
 * the caller frees, to the record, the field and the reason; on success
 * *refusal is NULL.
 */
struct record *
record_read(const json_t *json, uint64_t version, struct refusal **refusal)
{
	struct record view = { .version = version };
	struct field_reader reader;
	struct record *record;
	uint32_t schema = 0;

	field_reader_init(&reader, json);
	read_common(&reader, &schema, &view);
	if (reader.refusal == NULL)
		read_by_kind[view.kind](&reader, schema, &view);
	field_reader_finish(&reader);
	*refusal = reader.refusal;
	if (reader.refusal != NULL) {
		set_refused_record(reader.refusal, json);
		return NULL;
	}
	record = copy_view(&view);
	record->digest = record_digest(record);
	return record;
}
