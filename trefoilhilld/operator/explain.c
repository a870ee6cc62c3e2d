#include <jansson.h>

#include "trefoilhilld/node.h"
#include "trefoilhilld/operator.h"

enum {
	STATUS_UNAVAILABLE = 503,
};

/* Return why a request to this node may use the upstreams of a host, or not. */
static const char *
eligibility_reason(
    const struct snapshot *snapshot, const struct record *host, struct str zone)
{
	const struct record *zone_record =
	    snapshot_find(snapshot, RECORD_ZONE, host->host.zone);

	if (host->host.out)
		return "host is out of service";
	if (zone_record == NULL || zone_record->zone.out)
		return "availability zone is out of service";
	if (!str_equal(host->host.zone, zone))
		return "in another availability zone: chosen when this zone "
		       "lacks capacity";
	return "in this availability zone: chosen first";
}

static json_t *
upstreams_to_json(
    const struct snapshot *snapshot, struct str service, struct str zone)
{
	const struct service_view *view = snapshot_service(snapshot, service);
	json_t *upstreams = json_array();

	for (size_t i = 0; view != NULL && i < view->upstream_count; i++) {
		const struct record *upstream = view->upstreams[i];
		const struct record *host = view->hosts[i];

		json_array_append_new(upstreams,
		    json_pack("{s:s%,s:s%,s:s%,s:b,s:s}", "upstream",
			upstream->name.ptr, upstream->name.len, "host",
			host->name.ptr, host->name.len, "zone",
			host->host.zone.ptr, host->host.zone.len, "eligible",
			!snapshot_host_is_out(snapshot, host), "reason",
			eligibility_reason(snapshot, host, zone)));
	}
	return upstreams;
}

static json_t *
explanation_to_json(const struct snapshot *snapshot, struct str authority,
    struct str path, struct str zone)
{
	const struct record *route =
	    snapshot_match_route(snapshot, authority, path);

	if (route == NULL)
		return json_pack("{s:I,s:n,s:n,s:[],s:s}", "version",
		    (json_int_t)snapshot_id(snapshot).version, "route",
		    "service", "upstreams", "reason",
		    "no route has this authority or a prefix of this path");
	return json_pack("{s:I,s:s%,s:s%,s:o}", "version",
	    (json_int_t)snapshot_id(snapshot).version, "route", route->name.ptr,
	    route->name.len, "service", route->route.service.ptr,
	    route->route.service.len, "upstreams",
	    upstreams_to_json(snapshot, route->route.service, zone));
}

/*
 * GET /v1/explain?authority=A&path=P: returns the route, the service and the
 * upstreams for such a request to this node, with the reason why each upstream
 * is eligible or not.
 */
void
handle_explain(
    const struct operator_request *request, struct operator_response *response)
{
	struct snapshot *snapshot = node_snapshot(request->node);
	char *authority = operator_query_value(request->query, "authority");
	char *path = operator_query_value(request->query, "path");

	if (snapshot == NULL) {
		operator_response_set_error(response, STATUS_UNAVAILABLE,
		    "not-ready", "no configuration yet");
		goto done;
	}
	operator_response_set_json(response,
	    explanation_to_json(snapshot, str_from(authority),
		str_from(path == NULL ? "/" : path),
		node_settings(request->node)->node.zone));
done:
	if (snapshot != NULL)
		snapshot_unref(snapshot);
	g_free(authority);
	g_free(path);
}
