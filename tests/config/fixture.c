#include <string.h>

#include "config/digest.h"
#include "fixture.h"

const char *const small_mesh =
    "{\"set\":["
    "{\"schema\":2,\"kind\":\"zone\",\"name\":\"za\",\"state\":\"in\"},"
    "{\"schema\":1,\"kind\":\"zone\",\"name\":\"zb\",\"out\":false},"
    "{\"schema\":2,\"kind\":\"host\",\"name\":\"h1\",\"zone\":\"za\","
    "\"node\":\"127.0.0.1:7001\",\"state\":\"in\"},"
    "{\"schema\":1,\"kind\":\"host\",\"name\":\"h2\",\"zone\":\"zb\","
    "\"node\":\"127.0.0.1:7002\",\"out\":false},"
    "{\"schema\":2,\"kind\":\"service\",\"name\":\"orders\","
    "\"timeout_ms\":2000},"
    "{\"schema\":2,\"kind\":\"upstream\",\"name\":\"u1\","
    "\"service\":\"orders\",\"host\":\"h1\","
    "\"address\":\"127.0.0.1:8001\",\"slots\":12,\"connections\":120},"
    "{\"schema\":1,\"kind\":\"upstream\",\"name\":\"u2\","
    "\"service\":\"orders\",\"host\":\"h2\",\"addr\":\"127.0.0.1:8002\","
    "\"slots\":12,\"connections\":120},"
    "{\"schema\":2,\"kind\":\"route\",\"name\":\"r\","
    "\"service\":\"orders\",\"authority\":\"orders\"}]}";

struct publication *
publication_of(uint64_t version, const char *json)
{
	return publication_new(version, g_bytes_new(json, strlen(json)));
}

enum verdict_kind
apply(struct snapshot **state, const char *json)
{
	struct publication *publication =
	    publication_of(snapshot_id(*state).version + 1, json);
	struct verdict verdict;
	struct snapshot *next = snapshot_apply(*state, publication, &verdict);

	verdict_clear(&verdict);
	publication_unref(publication);
	snapshot_unref(*state);
	*state = next;
	return verdict.kind;
}

struct snapshot *
small_mesh_new(void)
{
	struct snapshot *state = snapshot_empty_new();

	apply(&state, small_mesh);
	return state;
}

bool
same_id(const struct snapshot *a, const struct snapshot *b)
{
	return state_id_compare(snapshot_id(a), snapshot_id(b)) == 0;
}

static bool
host_is_whole(const struct snapshot *snapshot, const struct record *host)
{
	size_t count;
	struct record *const *hosts =
	    snapshot_zone_hosts(snapshot, host->host.zone, &count);

	for (size_t i = 0; i < count; i++) {
		if (hosts[i] == host)
			return snapshot_find(snapshot, RECORD_ZONE,
				   host->host.zone) != NULL;
	}
	return false;
}

static bool
upstream_is_whole(
    const struct snapshot *snapshot, const struct record *upstream)
{
	const struct service_view *view =
	    snapshot_service(snapshot, upstream->upstream.service);

	for (size_t i = 0; view != NULL && i < view->upstream_count; i++) {
		if (view->upstreams[i] == upstream)
			return view->hosts[i] ==
			    snapshot_find(
				snapshot, RECORD_HOST, upstream->upstream.host);
	}
	return false;
}

static size_t
sum_of_views(const struct snapshot *snapshot)
{
	size_t count;
	size_t sum = 0;
	struct record *const *services =
	    snapshot_records(snapshot, RECORD_SERVICE, &count);

	for (size_t i = 0; i < count; i++)
		sum += snapshot_service(snapshot, services[i]->name)
			   ->upstream_count;
	return sum;
}

bool
is_whole(const struct snapshot *snapshot)
{
	struct digest digest = { 0 };
	size_t count;

	for (size_t kind = 0; kind < RECORD_KIND_COUNT; kind++) {
		struct record *const *records =
		    snapshot_records(snapshot, (enum record_kind)kind, &count);

		for (size_t i = 0; i < count; i++) {
			const struct record *r = records[i];

			digest = digest_add(digest, r->digest);
			if (snapshot_find(snapshot, kind, r->name) != r)
				return false;
			if (kind == RECORD_HOST && !host_is_whole(snapshot, r))
				return false;
			if (kind == RECORD_UPSTREAM &&
			    !upstream_is_whole(snapshot, r))
				return false;
			if (kind == RECORD_ROUTE &&
			    snapshot_service(snapshot, r->route.service) ==
				NULL)
				return false;
		}
	}
	return digest_compare(digest, snapshot_id(snapshot).digest) == 0 &&
	    sum_of_views(snapshot) == snapshot_count(snapshot, RECORD_UPSTREAM);
}
