#include <string.h>

#include "trefoilhill-config-check/check.h"

enum {
	QUOTA_WINDOW_S = 5, /* the default of window_ms in section [quota] */
};

/* A check of one entry: returns what is wrong with it, or NULL. */
struct entry_check {
	const char *name;
	char *(*describe)(const struct mesh_config *config, const void *entry);
};

static bool
route_matches_like(const struct mesh_route *a, const struct mesh_route *b)
{
	return strcmp(a->authority, b->authority) == 0 &&
	    strcmp(a->prefix, b->prefix) == 0;
}

/* Ask the proxy's own matching for the shortest path of the route. */
static char *
route_describe_unmatchable(const struct mesh_config *config, const void *entry)
{
	const struct mesh_route *route = entry;
	const struct mesh_route *match = mesh_config_match(
	    config, str_from(route->authority), str_from(route->prefix));

	if (match != NULL && route_matches_like(match, route))
		return NULL;
	return g_strdup_printf(
	    "no request can match host %s and prefix %s: hosts are matched "
	    "without a port, paths without a query",
	    route->authority, route->prefix);
}

/*
 * The order of routes with the same host and prefix is that of a hash table,
 * so it isn't told which one is used. The first by name has no finding.
 */
static char *
route_describe_shadowed(const struct mesh_config *config, const void *entry)
{
	const struct mesh_route *route = entry, *first = NULL;
	const GPtrArray *others =
	    g_hash_table_lookup(config->by_authority, route->authority);

	for (guint i = 0; i < others->len; i++) {
		const struct mesh_route *other = others->pdata[i];

		if (strcmp(other->prefix, route->prefix) == 0 &&
		    strcmp(other->name, route->name) < 0 &&
		    (first == NULL || strcmp(other->name, first->name) < 0))
			first = other;
	}
	if (first == NULL)
		return NULL;
	return g_strdup_printf(
	    "same host and prefix as route %s, so that only one of them is used",
	    first->name);
}

/*
 * With weight 0 everywhere the proxy uses the first destination, which is a
 * legal way to name a single one.
 */
static char *
route_describe_unused_destinations(
    const struct mesh_config *config, const void *entry)
{
	const struct mesh_route *route = entry;
	GString *unused = g_string_new(NULL);
	double total = 0;

	for (guint i = 0; i < route->destinations->len; i++)
		total += g_array_index(
		    route->destinations, struct route_destination, i)
			     .weight;
	for (guint i = total == 0 ? 1 : 0; i < route->destinations->len; i++) {
		const struct route_destination *destination = &g_array_index(
		    route->destinations, struct route_destination, i);

		if (destination->weight == 0)
			g_string_append_printf(unused, "%s%s",
			    unused->len == 0 ? "" : ", ", destination->service);
	}
	if (unused->len == 0) {
		g_string_free(unused, TRUE);
		return NULL;
	}
	g_string_prepend(unused, "weight 0, so that no request is sent to: ");
	return g_string_free(unused, FALSE);
}

static char *
route_describe_timeout(const struct mesh_config *config, const void *entry)
{
	const struct mesh_route *route = entry;

	return route->timeout_ms > 0
	    ? NULL
	    : g_strdup("timeoutMs is 0, so that every request fails");
}

static char *
route_describe_objective(const struct mesh_config *config, const void *entry)
{
	const struct mesh_route *route = entry;

	if (route->objective_ms <= route->timeout_ms)
		return NULL;
	return g_strdup_printf("targetLatencyMs %u is above timeoutMs %u",
	    route->objective_ms, route->timeout_ms);
}

/* 1 allows another upstream after a refusal, when nothing has run; 0 doesn't.
 */
static char *
route_describe_attempts(const struct mesh_config *config, const void *entry)
{
	const struct mesh_route *route = entry;

	return route->attempts_max > 0
	    ? NULL
	    : g_strdup("maxAttempts is 0, so that a refused request is never "
		       "sent to another upstream");
}

static char *
service_describe_unused(const struct mesh_config *config, const void *entry)
{
	const struct mesh_service *service = entry;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, config->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const GArray *destinations =
		    ((const struct mesh_route *)value)->destinations;

		for (guint i = 0; i < destinations->len; i++)
			if (strcmp(g_array_index(destinations,
				       struct route_destination, i)
				       .service,
				service->name) == 0)
				return NULL;
	}
	return g_strdup("no route uses it");
}

struct key_search {
	const struct workspace *workspace;
	bool found;
};

static void
visit_key(void *arg, struct str key, const struct workspace *workspace)
{
	struct key_search *search = arg;

	search->found = search->found || search->workspace == workspace;
}

static char *
workspace_describe_keys(const struct mesh_config *config, const void *entry)
{
	struct key_search search = { .workspace = entry };

	key_table_visit(config->keys, visit_key, &search);
	return search.found ? NULL
			    : g_strdup("no keys, so that no request is its");
}

static char *
workspace_describe_quota(const struct mesh_config *config, const void *entry)
{
	const struct workspace *workspace = entry;

	if (workspace->rate_per_s <= 0 ||
	    workspace->rate_per_s * QUOTA_WINDOW_S + workspace->burst >= 1)
		return NULL;
	return g_strdup_printf("ratePerS %g and burst %g are less than one "
			       "request in %d s",
	    workspace->rate_per_s, workspace->burst, QUOTA_WINDOW_S);
}

static char *
workspace_describe_burst(const struct mesh_config *config, const void *entry)
{
	const struct workspace *workspace = entry;

	if (workspace->rate_per_s > 0 || workspace->burst <= 0)
		return NULL;
	return g_strdup_printf(
	    "burst %g has no effect without ratePerS, which is unlimited",
	    workspace->burst);
}

static char *
config_describe_no_workspace(
    const struct mesh_config *config, const void *entry)
{
	if (!config->has_workspaces ||
	    g_hash_table_size(config->workspaces) > 0)
		return NULL;
	return g_strdup("tenants is empty, so that routes that are not public "
			"refuse all requests");
}

/* A body limit of 0 is a way to refuse bodies. */
static char *
limits_describe_sizes(const struct mesh_config *config, const void *entry)
{
	const struct caller_limits *limits = entry;

	if (limits->body_max_bytes == 0 ||
	    limits->header_max_bytes <= limits->body_max_bytes)
		return NULL;
	return g_strdup_printf(
	    "maxHeaderBytes %u is above maxBodyBytes %" G_GUINT64_FORMAT,
	    limits->header_max_bytes, (guint64)limits->body_max_bytes);
}

static char *
limits_describe_timeouts(const struct mesh_config *config, const void *entry)
{
	const struct caller_limits *limits = entry;

	if (limits->header_timeout_ms <= limits->idle_timeout_ms)
		return NULL;
	return g_strdup_printf("headerTimeoutMs %u is above idleTimeoutMs %u",
	    limits->header_timeout_ms, limits->idle_timeout_ms);
}

static char *
limits_describe_none(const struct mesh_config *config, const void *entry)
{
	const struct caller_limits *limits = entry;

	if (limits->header_max_bytes == 0)
		return g_strdup(
		    "maxHeaderBytes is 0, so that every request is refused");
	if (limits->header_timeout_ms > 0 && limits->idle_timeout_ms > 0)
		return NULL;
	return g_strdup_printf(
	    "%s is 0, so that connections are closed at once",
	    limits->header_timeout_ms == 0 ? "headerTimeoutMs"
					   : "idleTimeoutMs");
}

static const struct entry_check route_checks[] = {
	{ "route_unmatchable", route_describe_unmatchable },
	{ "route_shadowed", route_describe_shadowed },
	{ "destination_unused", route_describe_unused_destinations },
	{ "timeout_none", route_describe_timeout },
	{ "objective_above_timeout", route_describe_objective },
	{ "attempts_none", route_describe_attempts },
	{ NULL, NULL },
};

static const struct entry_check service_checks[] = {
	{ "service_unused", service_describe_unused },
	{ NULL, NULL },
};

static const struct entry_check workspace_checks[] = {
	{ "workspace_without_keys", workspace_describe_keys },
	{ "quota_admits_none", workspace_describe_quota },
	{ "burst_unused", workspace_describe_burst },
	{ NULL, NULL },
};

static const struct entry_check limits_checks[] = {
	{ "limits_admit_none", limits_describe_none },
	{ "header_limit_above_body", limits_describe_sizes },
	{ "header_timeout_above_idle", limits_describe_timeouts },
	{ NULL, NULL },
};

static const struct entry_check tenants_checks[] = {
	{ "no_workspace", config_describe_no_workspace },
	{ NULL, NULL },
};

static void
check_entry(const struct mesh_config *config, const struct entry_check *checks,
    const char *place, const char *name, const void *entry,
    struct finding_list *findings)
{
	for (; checks->name != NULL; checks++) {
		char *text = checks->describe(config, entry);

		if (text != NULL)
			finding_list_add(findings, FINDING_WARNING,
			    checks->name, g_strconcat(place, name, NULL), text);
	}
}

static void
check_table(const struct mesh_config *config, const struct entry_check *checks,
    const char *place, GHashTable *table, struct finding_list *findings)
{
	GList *names = config_sort_names(table);

	for (const GList *name = names; name != NULL; name = name->next)
		check_entry(config, checks, place, name->data,
		    g_hash_table_lookup(table, name->data), findings);
	g_list_free(names);
}

/*
 * Find entries without effect and limits that contradict each other.
 */
void
config_check_entries(
    const struct mesh_config *config, struct finding_list *findings)
{
	check_table(config, route_checks, "route ", config->routes, findings);
	check_table(
	    config, service_checks, "services ", config->services, findings);
	check_table(
	    config, workspace_checks, "tenants ", config->workspaces, findings);
	check_entry(
	    config, limits_checks, "limits", "", &config->limits, findings);
	check_entry(config, tenants_checks, "tenants", "", NULL, findings);
}
