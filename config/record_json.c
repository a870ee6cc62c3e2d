#include "common/json_parse.h"
#include "config/record.h"

enum {
	SCHEMA_CANONICAL = 2,
};

/*
 * Append the name of a member to an object that ends in '{' or a member.
 */
static void
append_field(GString *out, const char *field)
{
	if (out->str[out->len - 1] != '{')
		g_string_append_c(out, ',');
	g_string_append_c(out, '"');
	g_string_append(out, field);
	g_string_append(out, "\":");
}

/*
 * Append a string member. Strings of records are printable ASCII, in which
 * JSON escapes only two characters.
 */
static void
append_string(GString *out, const char *field, struct str text)
{
	append_field(out, field);
	g_string_append_c(out, '"');
	for (size_t i = 0; i < text.len; i++) {
		if (text.ptr[i] == '"' || text.ptr[i] == '\\')
			g_string_append_c(out, '\\');
		g_string_append_c(out, text.ptr[i]);
	}
	g_string_append_c(out, '"');
}

static void
append_number(GString *out, const char *field, uint32_t number)
{
	append_field(out, field);
	g_string_append_printf(out, "%u", number);
}

static void
append_kind_and_name(GString *out, const struct record *record)
{
	append_string(out, "kind", str_from(record_kind_name(record->kind)));
	append_string(out, "name", record->name);
}

static void
append_state(GString *out, bool is_out)
{
	append_number(out, "schema", SCHEMA_CANONICAL);
	append_string(out, "state", str_from(is_out ? "out" : "in"));
}

static void
append_zone(GString *out, const struct record *record)
{
	append_kind_and_name(out, record);
	if (record->zone.region.len > 0)
		append_string(out, "region", record->zone.region);
	append_state(out, record->zone.out);
}

static void
append_host(GString *out, const struct record *record)
{
	append_kind_and_name(out, record);
	append_string(out, "node", record->host.node);
	append_state(out, record->host.out);
	append_string(out, "zone", record->host.zone);
}

static void
append_service(GString *out, const struct record *record)
{
	append_number(
	    out, "idempotent_retries", record->service.idempotent_retries);
	append_kind_and_name(out, record);
	append_number(out, "schema", SCHEMA_CANONICAL);
	append_number(out, "timeout_ms", record->service.timeout_ms);
}

static void
append_upstream(GString *out, const struct record *record)
{
	append_string(out, "address", record->upstream.address);
	append_number(out, "connections", record->upstream.connections);
	append_string(out, "host", record->upstream.host);
	append_kind_and_name(out, record);
	append_number(out, "schema", SCHEMA_CANONICAL);
	append_string(out, "service", record->upstream.service);
	append_number(out, "slots", record->upstream.slots);
}

static void
append_route(GString *out, const struct record *record)
{
	if (record->route.authority.len > 0)
		append_string(out, "authority", record->route.authority);
	append_kind_and_name(out, record);
	if (record->route.prefix.len > 0)
		append_string(out, "prefix", record->route.prefix);
	append_number(out, "schema", SCHEMA_CANONICAL);
	append_string(out, "service", record->route.service);
}

typedef void (*append_kind)(GString *out, const struct record *record);

static const append_kind append_by_kind[RECORD_KIND_COUNT] = {
	[RECORD_ZONE] = append_zone,
	[RECORD_HOST] = append_host,
	[RECORD_SERVICE] = append_service,
	[RECORD_UPSTREAM] = append_upstream,
	[RECORD_ROUTE] = append_route,
};

/*
 * Append the canonical form of a record: a JSON object of the newest schema
 * with explicit defaults, sorted keys and no white space.
 */
void
record_append_json(const struct record *record, GString *out)
{
	g_string_append_c(out, '{');
	append_by_kind[record->kind](out, record);
	g_string_append_c(out, '}');
}

/*
 * Return the canonical form as a JSON value; the caller owns it.
 */
json_t *
record_to_json(const struct record *record)
{
	GString *text = g_string_new(NULL);
	json_t *json;

	record_append_json(record, text);
	json = json_parse(str_make(text->str, text->len), 0, NULL);
	g_string_free(text, TRUE);
	return json;
}
