#include <string.h>

#include "config/digest.h"
#include "fixture.h"

const char *const sample_publication =
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
publication_from_string(uint64_t version, const char *json)
{
	return publication_new(version, g_bytes_new(json, strlen(json)));
}

enum verdict_kind
apply_json(struct snapshot **state, const char *json)
{
	struct publication *publication =
	    publication_from_string(snapshot_id(*state).version + 1, json);
	struct verdict verdict;
	struct snapshot *next = snapshot_apply(*state, publication, &verdict);

	verdict_clear(&verdict);
	publication_unref(publication);
	snapshot_unref(*state);
	*state = next;
	return verdict.kind;
}

struct snapshot *
sample_snapshot_new(void)
{
	struct snapshot *state = snapshot_empty_new();

	apply_json(&state, sample_publication);
	return state;
}

bool
has_same_id(const struct snapshot *a, const struct snapshot *b)
{
	return state_id_compare(snapshot_id(a), snapshot_id(b)) == 0;
}

static bool
is_host_consistent(const struct snapshot *snapshot, const struct record *host)
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
is_upstream_consistent(
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
count_view_upstreams(const struct snapshot *snapshot)
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
snapshot_is_consistent(const struct snapshot *snapshot)
{
	struct digest digest = { 0 };
	size_t count;

	for (size_t kind = 0; kind < RECORD_KIND_COUNT; kind++) {
		struct record *const *records =
		    snapshot_records(snapshot, (enum record_kind)kind, &count);

		for (size_t i = 0; i < count; i++) {
			const struct record *record = records[i];

			digest = digest_add(digest, record->digest);
			if (snapshot_find(snapshot, kind, record->name) !=
			    record)
				return false;
			if (kind == RECORD_HOST &&
			    !is_host_consistent(snapshot, record))
				return false;
			if (kind == RECORD_UPSTREAM &&
			    !is_upstream_consistent(snapshot, record))
				return false;
			if (kind == RECORD_ROUTE &&
			    snapshot_service(snapshot, record->route.service) ==
				NULL)
				return false;
		}
	}
	return digest_compare(digest, snapshot_id(snapshot).digest) == 0 &&
	    count_view_upstreams(snapshot) ==
	    snapshot_count(snapshot, RECORD_UPSTREAM);
}
