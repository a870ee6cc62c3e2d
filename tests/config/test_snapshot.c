#include <stdlib.h>
#include <string.h>

#include "config/digest.h"
#include "fixture.h"
#include "harness.h"

static void
test_publication_is_applied(void)
{
	struct snapshot *state = sample_snapshot_new();
	const struct service_view *view =
	    snapshot_service(state, str_from("orders"));

	CU_ASSERT_EQUAL(snapshot_id(state).version, 1);
	CU_ASSERT_EQUAL_FATAL(view->upstream_count, 2);
	CU_ASSERT(str_equal(view->upstreams[1]->name, str_from("u2")));
	CU_ASSERT(str_equal(view->hosts[1]->name, str_from("h2")));
	CU_ASSERT_EQUAL(view->service->service.idempotent_retries, 1);
	CU_ASSERT(snapshot_is_consistent(state));
	snapshot_unref(state);
}

static void
test_schemas_share_a_digest(void)
{
	struct snapshot *state = sample_snapshot_new();
	struct digest before = snapshot_id(state).digest;

	CU_ASSERT_EQUAL(
	    apply_json(&state,
		"{\"set\":[{\"schema\":2,\"kind\":\"zone\","
		"\"name\":\"zb\",\"state\":\"in\"},"
		"{\"schema\":1,\"kind\":\"service\",\"name\":\"orders\","
		"\"timeout\":2},"
		"{\"schema\":1,\"kind\":\"route\",\"name\":\"r\","
		"\"service\":\"orders\",\"host_header\":\"orders\"}]}"),
	    VERDICT_ACCEPTED);
	CU_ASSERT_EQUAL(snapshot_id(state).version, 2);
	CU_ASSERT_EQUAL(digest_compare(snapshot_id(state).digest, before), 0);
	CU_ASSERT(snapshot_is_consistent(state));
	snapshot_unref(state);
}

/* One invalid change refuses the publication; the version still advances. */
static void
test_refusal_is_atomic(void)
{
	static const char *const invalid[] = {
		/* a route to an absent service next to a valid zone */
		"{\"set\":[{\"schema\":2,\"kind\":\"zone\",\"name\":\"zc\","
		"\"state\":\"in\"},{\"schema\":2,\"kind\":\"route\","
		"\"name\":\"x\",\"service\":\"none\",\"prefix\":\"/\"}]}",
		/* removals of records that others refer to */
		"{\"remove\":[{\"kind\":\"service\",\"name\":\"orders\"}]}",
		"{\"remove\":[{\"kind\":\"host\",\"name\":\"h1\"}]}",
		"{\"remove\":[{\"kind\":\"zone\",\"name\":\"za\"}]}",
		/* a service removed with its upstreams but not its route */
		"{\"remove\":[{\"kind\":\"service\",\"name\":\"orders\"},"
		"{\"kind\":\"upstream\",\"name\":\"u1\"},"
		"{\"kind\":\"upstream\",\"name\":\"u2\"}]}",
		/* a record set and removed in one publication */
		"{\"set\":[{\"schema\":2,\"kind\":\"zone\",\"name\":\"zc\","
		"\"state\":\"in\"}],\"remove\":[{\"kind\":\"zone\","
		"\"name\":\"zc\"}]}",
		"{\"remove\":[{\"kind\":\"gate\",\"name\":\"x\"}]}",
		"{\"remove\":[{\"kind\":\"zone\"}]}",
		"{\"sets\":[]}",
		"{\"set\":{}}",
		"{\"revision\":77}",
		"[]",
		"",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		struct snapshot *state = sample_snapshot_new();
		struct digest before = snapshot_id(state).digest;

		CU_ASSERT_EQUAL(
		    apply_json(&state, invalid[i]), VERDICT_REFUSED);
		CU_ASSERT_EQUAL(snapshot_id(state).version, 2);
		CU_ASSERT_EQUAL(
		    digest_compare(snapshot_id(state).digest, before), 0);
		CU_ASSERT(snapshot_is_consistent(state));
		CU_ASSERT_EQUAL(apply_json(&state,
				    "{\"set\":[{\"schema\":2,"
				    "\"kind\":\"zone\",\"name\":\"za\","
				    "\"state\":\"out\"}]}"),
		    VERDICT_ACCEPTED);
		snapshot_unref(state);
	}
}

static void
test_remove_everything(void)
{
	struct snapshot *state = sample_snapshot_new();
	struct snapshot *empty = snapshot_empty_new();

	CU_ASSERT_EQUAL(apply_json(&state,
			    "{\"remove\":[{\"kind\":\"zone\",\"name\":\"za\"},"
			    "{\"kind\":\"zone\",\"name\":\"zb\"},"
			    "{\"kind\":\"host\",\"name\":\"h1\"},"
			    "{\"kind\":\"host\",\"name\":\"h2\"},"
			    "{\"kind\":\"service\",\"name\":\"orders\"},"
			    "{\"kind\":\"upstream\",\"name\":\"u1\"},"
			    "{\"kind\":\"upstream\",\"name\":\"u2\"},"
			    "{\"kind\":\"route\",\"name\":\"r\"},"
			    "{\"kind\":\"route\",\"name\":\"never-was\"}]}"),
	    VERDICT_ACCEPTED);
	CU_ASSERT_EQUAL(digest_compare(snapshot_id(state).digest,
			    snapshot_id(empty).digest),
	    0);
	CU_ASSERT(snapshot_is_consistent(state));
	snapshot_unref(state);
	snapshot_unref(empty);
}

static void
test_version_order(void)
{
	struct snapshot *state = sample_snapshot_new();
	struct publication *same = publication_from_string(1, "{}");
	struct publication *ahead = publication_from_string(3, "{}");
	struct verdict verdict;
	struct snapshot *next = snapshot_apply(state, same, &verdict);

	CU_ASSERT_EQUAL(verdict.kind, VERDICT_IGNORED);
	CU_ASSERT_PTR_EQUAL(next, state);
	snapshot_unref(next);
	next = snapshot_apply(state, ahead, &verdict);
	CU_ASSERT_EQUAL(verdict.kind, VERDICT_GAP);
	CU_ASSERT_PTR_EQUAL(next, state);
	snapshot_unref(next);
	publication_unref(same);
	publication_unref(ahead);
	snapshot_unref(state);
}

static void
test_refusal_location(void)
{
	struct snapshot *state = sample_snapshot_new();
	struct publication *publication = publication_from_string(2,
	    "{\"set\":[{\"schema\":2,\"kind\":\"host\",\"name\":\"h1\","
	    "\"zone\":\"zx\",\"node\":\"127.0.0.1:1\",\"state\":\"in\"}]}");
	struct verdict verdict;
	struct snapshot *next = snapshot_apply(state, publication, &verdict);
	const struct refusal *refusal;

	CU_ASSERT_EQUAL_FATAL(verdict.kind, VERDICT_REFUSED);
	refusal = verdict.refusals->pdata[0];
	CU_ASSERT_STRING_EQUAL(refusal->record, "host/h1");
	CU_ASSERT_STRING_EQUAL(refusal->field, "zone");
	CU_ASSERT_EQUAL(refusal->code, CONFIG_ERROR_REFERENCE);
	verdict_clear(&verdict);
	publication_unref(publication);
	snapshot_unref(next);
	snapshot_unref(state);
}

static void
test_host_changes_zone_and_state(void)
{
	struct snapshot *state = sample_snapshot_new();
	const struct service_view *view;
	size_t count;

	apply_json(&state,
	    "{\"set\":[{\"schema\":2,\"kind\":\"host\",\"name\":\"h2\","
	    "\"zone\":\"za\",\"node\":\"127.0.0.1:7002\","
	    "\"state\":\"out\"}]}");
	view = snapshot_service(state, str_from("orders"));
	CU_ASSERT(snapshot_host_is_out(state, view->hosts[1]));
	CU_ASSERT(!snapshot_host_is_out(state, view->hosts[0]));
	snapshot_zone_hosts(state, str_from("za"), &count);
	CU_ASSERT_EQUAL(count, 2);
	snapshot_zone_hosts(state, str_from("zb"), &count);
	CU_ASSERT_EQUAL(count, 0);
	apply_json(&state,
	    "{\"set\":[{\"schema\":2,\"kind\":\"zone\",\"name\":\"za\","
	    "\"state\":\"out\"}],"
	    "\"remove\":[{\"kind\":\"zone\",\"name\":\"zb\"}]}");
	view = snapshot_service(state, str_from("orders"));
	CU_ASSERT(snapshot_host_is_out(state, view->hosts[0]));
	CU_ASSERT(snapshot_is_consistent(state));
	snapshot_unref(state);
}

/* Later publications do not change an older snapshot. */
static void
test_old_snapshot_is_unchanged(void)
{
	struct snapshot *old = sample_snapshot_new();
	struct snapshot *state = snapshot_ref(old);
	struct state_id before = snapshot_id(old);

	apply_json(
	    &state, "{\"remove\":[{\"kind\":\"upstream\",\"name\":\"u1\"}]}");
	apply_json(&state,
	    "{\"set\":[{\"schema\":2,\"kind\":\"host\",\"name\":\"h2\","
	    "\"zone\":\"za\",\"node\":\"127.0.0.1:7002\","
	    "\"state\":\"out\"}]}");
	CU_ASSERT(snapshot_is_consistent(state));
	CU_ASSERT(snapshot_is_consistent(old));
	CU_ASSERT_EQUAL(state_id_compare(snapshot_id(old), before), 0);
	CU_ASSERT_EQUAL(
	    snapshot_service(old, str_from("orders"))->upstream_count, 2);
	CU_ASSERT(!snapshot_host_is_out(
	    old, snapshot_service(old, str_from("orders"))->hosts[1]));
	snapshot_unref(state);
	snapshot_unref(old);
}

static void
expect_route(struct snapshot *state, const char *authority, const char *path,
    const char *name)
{
	const struct record *route =
	    snapshot_match_route(state, str_from(authority), str_from(path));

	if (name == NULL) {
		CU_ASSERT_PTR_NULL(route);
	} else {
		CU_ASSERT(
		    route != NULL && str_equal(route->name, str_from(name)));
	}
}

static void
test_route_match(void)
{
	struct snapshot *state = sample_snapshot_new();

	CU_ASSERT_EQUAL(
	    apply_json(&state,
		"{\"set\":[{\"schema\":2,\"kind\":\"route\",\"name\":\"b\","
		"\"service\":\"orders\",\"prefix\":\"/reels\"},"
		"{\"schema\":2,\"kind\":\"route\",\"name\":\"a\","
		"\"service\":\"orders\",\"prefix\":\"/reels\"},"
		"{\"schema\":2,\"kind\":\"route\",\"name\":\"long\","
		"\"service\":\"orders\",\"prefix\":\"/reels/hd\"},"
		"{\"schema\":2,\"kind\":\"route\",\"name\":\"below\","
		"\"service\":\"orders\",\"prefix\":\"/below/\"},"
		"{\"schema\":2,\"kind\":\"route\",\"name\":\"both\","
		"\"service\":\"orders\",\"authority\":\"orders\","
		"\"prefix\":\"/reels\"},"
		"{\"schema\":2,\"kind\":\"route\",\"name\":\"port\","
		"\"service\":\"orders\",\"authority\":\"orders:81\"}]}"),
	    VERDICT_ACCEPTED);
	expect_route(state, "orders", "/x", "r");
	expect_route(state, "Orders:80", "/x", "r");
	expect_route(state, "orders:81", "/x", "port");
	expect_route(state, "orders", "/reels/1", "both");
	expect_route(state, "orders", "/reels/hd", "both");
	expect_route(state, "other", "/reels", "a");
	expect_route(state, "", "/reels?q=/reels/hd", "a");
	expect_route(state, "", "/reels/hd/1", "long");
	expect_route(state, "", "/reelsize", NULL);
	expect_route(state, "", "/below", NULL);
	expect_route(state, "", "/below/x", "below");
	expect_route(state, "", "", NULL);
	snapshot_unref(state);
}

static void
test_handover(void)
{
	struct snapshot *state = sample_snapshot_new();
	struct state_id id = snapshot_id(state);
	GBytes *bytes = snapshot_serialize(state);
	struct snapshot *copy = snapshot_deserialize(id, bytes, NULL);
	GError *error = NULL;

	CU_ASSERT_PTR_NOT_NULL_FATAL(copy);
	CU_ASSERT(has_same_id(state, copy));
	CU_ASSERT(snapshot_is_consistent(copy));
	id.digest.low++;
	CU_ASSERT_PTR_NULL(snapshot_deserialize(id, bytes, &error));
	CU_ASSERT(g_error_matches(error, CONFIG_ERROR, CONFIG_ERROR_ORDER));
	g_clear_error(&error);
	id = snapshot_id(state);
	id.base++;
	CU_ASSERT_PTR_NULL(snapshot_deserialize(id, bytes, &error));
	CU_ASSERT(g_error_matches(error, CONFIG_ERROR, CONFIG_ERROR_ORDER));
	g_clear_error(&error);
	snapshot_unref(copy);
	snapshot_unref(state);
	g_bytes_unref(bytes);
}

static void
test_state_order(void)
{
	struct state_id a = { .version = 5, .base = 3 };
	struct state_id b = { .version = 5, .base = 4 };
	struct state_id c = { .version = 6, .base = 9 };
	struct state_id d = { .version = 5, .base = 3, .digest = { .low = 1 } };

	CU_ASSERT(state_id_compare(a, b) > 0);
	CU_ASSERT(state_id_compare(b, c) < 0);
	CU_ASSERT(state_id_compare(a, d) > 0);
	CU_ASSERT_EQUAL(state_id_compare(a, a), 0);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "a publication is applied", test_publication_is_applied },
		{ "schemas share a digest", test_schemas_share_a_digest },
		{ "a refusal covers the whole publication",
		    test_refusal_is_atomic },
		{ "all records can be removed at once",
		    test_remove_everything },
		{ "versions are applied in order", test_version_order },
		{ "a refusal names record and field", test_refusal_location },
		{ "a host changes zone and state",
		    test_host_changes_zone_and_state },
		{ "an older snapshot is unchanged",
		    test_old_snapshot_is_unchanged },
		{ "routes are matched by precedence", test_route_match },
		{ "a handover is verified", test_handover },
		{ "states are ordered", test_state_order },
		{ NULL, NULL },
	};

	return harness_run("snapshot", cases);
}
