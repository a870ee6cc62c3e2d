#include <string.h>

#include "config/change.h"
#include "fleet.h"

enum {
	TIMEOUT_MS = 2000,
	SLOTS = 12,
	CONNECTIONS = 110,
	BYTE_BITS = 8,
	BYTE_MASK = 255,
	ENVELOPE_BYTES = 16, /* upper bound of the JSON around the records */
};

/*
 * Initialize a fleet. The number of services is proportional to the number of
 * upstreams, up to FLEET_SERVICES.
 */
void
fleet_init(struct fleet *fleet, size_t upstreams, size_t zones)
{
	size_t services = upstreams / FLEET_UPSTREAMS_PER_SERVICE;

	fleet->zones = zones;
	fleet->upstreams = upstreams;
	fleet->services = CLAMP(services, 1, (size_t)FLEET_SERVICES);
}

/*
 * Return a zone record as JSON: state "in" for variant 0, "out" for others. The
 * caller frees it.
 */
char *
fleet_zone(size_t zone, unsigned int variant)
{
	return g_strdup_printf("{\"schema\":2,\"kind\":\"zone\","
			       "\"name\":\"zone-%02zu\",\"state\":\"%s\","
			       "\"region\":\"region-%zu\"}",
	    zone, variant == 0 ? "in" : "out", zone % 5);
}

/*
 * Return a service record as JSON; the variant is added to its timeout in ms.
 * The caller frees it.
 */
char *
fleet_service(size_t service, unsigned int variant)
{
	return g_strdup_printf(
	    "{\"schema\":2,\"kind\":\"service\",\"name\":\"service-%04zu\","
	    "\"timeout_ms\":%u,\"idempotent_retries\":1}",
	    service, TIMEOUT_MS + variant);
}

/*
 * Return a host record as JSON: state "in" for variant 0, "out" for others. The
 * caller frees it.
 */
char *
fleet_host(const struct fleet *fleet, size_t host, unsigned int variant)
{
	return g_strdup_printf(
	    "{\"schema\":2,\"kind\":\"host\",\"name\":\"host-%05zu\","
	    "\"zone\":\"zone-%02zu\",\"node\":\"10.%zu.%zu.%zu:7001\","
	    "\"state\":\"%s\"}",
	    host, host % fleet->zones, host >> 2 * BYTE_BITS,
	    host >> BYTE_BITS & BYTE_MASK, host & BYTE_MASK,
	    variant == 0 ? "in" : "out");
}

/*
 * Return an upstream record as JSON; the variant is added to its connections.
 * The caller frees it.
 */
char *
fleet_upstream(const struct fleet *fleet, size_t upstream, unsigned int variant)
{
	return g_strdup_printf(
	    "{\"schema\":2,\"kind\":\"upstream\",\"name\":\"upstream-%05zu\","
	    "\"service\":\"service-%04zu\",\"host\":\"host-%05zu\","
	    "\"address\":\"127.0.0.1:7003\",\"slots\":%d,"
	    "\"connections\":%u}",
	    upstream, upstream % fleet->services, upstream, SLOTS,
	    CONNECTIONS + variant);
}

/*
 * Return a route record as JSON. Each service has two routes: one by authority,
 * then one by path prefix. The caller frees it.
 */
char *
fleet_route(const struct fleet *fleet, size_t route)
{
	size_t service = route % fleet->services;

	if (route < fleet->services)
		return g_strdup_printf(
		    "{\"schema\":2,\"kind\":\"route\","
		    "\"name\":\"authority-%04zu\","
		    "\"service\":\"service-%04zu\","
		    "\"authority\":\"service-%04zu.example\"}",
		    service, service, service);
	return g_strdup_printf("{\"schema\":2,\"kind\":\"route\","
			       "\"name\":\"prefix-%04zu\","
			       "\"service\":\"service-%04zu\","
			       "\"prefix\":\"/v1/service-%04zu/\"}",
	    service, service, service);
}

static void
flush_records(GPtrArray *log, GString *records)
{
	char *json;

	if (records->len == 0)
		return;
	json = g_strdup_printf("{\"set\":[%s]}", records->str);
	g_ptr_array_add(log,
	    publication_new(
		log->len + 1, g_bytes_new_take(json, strlen(json))));
	g_string_truncate(records, 0);
}

static void
append_record(GPtrArray *log, GString *records, char *record)
{
	if (records->len + strlen(record) + ENVELOPE_BYTES >
	    PUBLICATION_BYTES_MAX)
		flush_records(log, records);
	if (records->len > 0)
		g_string_append_c(records, ',');
	g_string_append(records, record);
	g_free(record);
}

/*
 * Return the publications that create the fleet. The caller unreferences the
 * array.
 */
GPtrArray *
fleet_publications(const struct fleet *fleet)
{
	GPtrArray *log =
	    g_ptr_array_new_with_free_func((GDestroyNotify)publication_unref);
	GString *records = g_string_new("");

	g_assert(fleet->zones > 0 && fleet->services > 0);
	for (size_t i = 0; i < fleet->zones; i++)
		append_record(log, records, fleet_zone(i, 0));
	for (size_t i = 0; i < fleet->services; i++)
		append_record(log, records, fleet_service(i, 0));
	for (size_t i = 0; i < fleet->upstreams; i++)
		append_record(log, records, fleet_host(fleet, i, 0));
	for (size_t i = 0; i < fleet->upstreams; i++)
		append_record(log, records, fleet_upstream(fleet, i, 0));
	for (size_t i = 0; i < 2 * fleet->services; i++)
		append_record(log, records, fleet_route(fleet, i));
	flush_records(log, records);
	g_string_free(records, TRUE);
	return log;
}
