#include <string.h>

#include "trefoilhill-config-check/check.h"
#include "trefoilhill-config-check/compare.h"

enum {
	MS_PER_S = 1000,
};

/* Define a function that formats an unsigned member of an entry. */
#define FORMAT_NUMBER(function, type, member)                       \
	static char *function(const void *entry)                    \
	{                                                           \
		return g_strdup_printf("%" G_GUINT64_FORMAT,        \
		    (guint64)((const struct type *)entry)->member); \
	}

FORMAT_NUMBER(route_format_timeout, mesh_route, timeout_ms)
FORMAT_NUMBER(route_format_objective, mesh_route, objective_ms)
FORMAT_NUMBER(route_format_attempts, mesh_route, attempts_max)
FORMAT_NUMBER(route_format_priority, mesh_route, priority)
FORMAT_NUMBER(service_format_connections, mesh_service, connections_max)
FORMAT_NUMBER(limits_format_header_bytes, caller_limits, header_max_bytes)
FORMAT_NUMBER(limits_format_body_bytes, caller_limits, body_max_bytes)
FORMAT_NUMBER(limits_format_header_timeout, caller_limits, header_timeout_ms)
FORMAT_NUMBER(limits_format_idle_timeout, caller_limits, idle_timeout_ms)

static char *
route_format_host(const void *entry)
{
	return g_strdup(((const struct mesh_route *)entry)->authority);
}

static char *
route_format_prefix(const void *entry)
{
	return g_strdup(((const struct mesh_route *)entry)->prefix);
}

static char *
route_format_public(const void *entry)
{
	const struct mesh_route *route = entry;

	return g_strdup(route->is_public ? "true" : "false");
}

static char *
route_format_kind(const void *entry)
{
	const struct mesh_route *route = entry;

	if (route->bulk)
		return g_strdup("download");
	return g_strdup(route->idempotent ? "safe" : "unsafe");
}

static char *
route_format_destinations(const void *entry)
{
	const GArray *destinations =
	    ((const struct mesh_route *)entry)->destinations;
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < destinations->len; i++) {
		const struct route_destination *destination =
		    &g_array_index(destinations, struct route_destination, i);

		g_string_append_printf(text, "%s%s %g", i == 0 ? "" : ", ",
		    destination->service, destination->weight);
	}
	return g_string_free(text, FALSE);
}

static const char *
route_risk_match(const void *before, const void *after)
{
	return "requests for the former host or prefix may have no route";
}

static const char *
route_risk_public(const void *before, const void *after)
{
	const struct mesh_route *route = after;

	return route->is_public ? "callers need no key any more"
				: "callers need a key if there are workspaces";
}

static const char *
route_risk_kind(const void *before, const void *after)
{
	const struct mesh_route *from = before, *to = after;

	return !from->idempotent && to->idempotent
	    ? "requests may run more than once"
	    : NULL;
}

static char *
service_format_health_path(const void *entry)
{
	return g_strdup(((const struct mesh_service *)entry)->health_path);
}

static char *
service_format_cold(const void *entry)
{
	const struct mesh_service *service = entry;

	return g_strdup_printf("%g", (double)service->cold_ms / MS_PER_S);
}

static char *
service_format_cold_per_s(const void *entry)
{
	return g_strdup_printf(
	    "%.10g", ((const struct mesh_service *)entry)->cold_per_s);
}

static const struct compared_field route_fields[] = {
	{ "host", route_format_host, route_risk_match },
	{ "prefix", route_format_prefix, route_risk_match },
	{ "kind", route_format_kind, route_risk_kind },
	{ "public", route_format_public, route_risk_public },
	{ "timeoutMs", route_format_timeout, NULL },
	{ "targetLatencyMs", route_format_objective, NULL },
	{ "maxAttempts", route_format_attempts, NULL },
	{ "priority", route_format_priority, NULL },
	{ "destinations", route_format_destinations, NULL },
	{ NULL, NULL, NULL },
};

static const struct compared_field service_fields[] = {
	{ "healthPath", service_format_health_path, NULL },
	{ "maxConnections", service_format_connections, NULL },
	{ "coldStartS", service_format_cold, NULL },
	{ "coldPerS", service_format_cold_per_s, NULL },
	{ NULL, NULL, NULL },
};

static const struct compared_field limits_fields[] = {
	{ "maxHeaderBytes", limits_format_header_bytes, NULL },
	{ "maxBodyBytes", limits_format_body_bytes, NULL },
	{ "headerTimeoutMs", limits_format_header_timeout, NULL },
	{ "idleTimeoutMs", limits_format_idle_timeout, NULL },
	{ NULL, NULL, NULL },
};

static const struct compared_kind route_kind = {
	.place = "route ",
	.added = "route_added",
	.removed = "route_removed",
	.changed = "route_changed",
	.risky = "route_risky",
	.removal_risk = "its requests may have no route",
	.fields = route_fields,
};

static const struct compared_kind service_kind = {
	.place = "services ",
	.added = "service_added",
	.removed = "service_removed",
	.changed = "service_changed",
	.fields = service_fields,
};

static const struct compared_kind limits_kind = {
	.changed = "limits_changed",
	.fields = limits_fields,
};

/*
 * Nodes refuse a lower number, and can't tell the order of versions without
 * one, which matters when the store is restored from a backup.
 */
static void
compare_versions(const struct mesh_config *before,
    const struct mesh_config *after, struct finding_list *findings)
{
	const char *reason = NULL;

	if (strcmp(before->label, after->label) != 0)
		finding_list_add(findings, FINDING_CHANGE, "version_changed",
		    g_strdup("version"),
		    g_strdup_printf("%s -> %s", before->label, after->label));
	if (after->version == 0)
		reason = "has no number, so that nodes can't tell its age";
	else if (after->version < before->version)
		reason = "is lower, so that nodes do not follow it";
	else if (after->version == before->version)
		reason = "does not rise";
	if (reason != NULL)
		finding_list_add(findings, FINDING_WARNING,
		    "version_not_rising", g_strdup("version"),
		    g_strdup_printf(
			"%s -> %s: %s", before->label, after->label, reason));
}

/*
 * Find what is different in services, routes, limits and the version.
 */
void
config_compare(const struct mesh_config *before,
    const struct mesh_config *after, struct finding_list *findings)
{
	compare_versions(before, after, findings);
	table_compare(&route_kind, before->routes, after->routes, findings);
	table_compare(
	    &service_kind, before->services, after->services, findings);
	entry_compare(
	    &limits_kind, "limits", &before->limits, &after->limits, findings);
}
