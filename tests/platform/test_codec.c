#include <glib.h>
#include <string.h>

#include "harness.h"
#include "platform/codec.h"
#include "platform/headers.h"

static const char valid_config[] =
    "{\"version\":\"r7\",\"routes\":{"
    "\"r-1\":{\"host\":\"Orders.example\",\"prefix\":\"/a/\","
    "\"kind\":\"unsafe\",\"timeoutMs\":1200,\"targetLatencyMs\":400,"
    "\"priority\":1,\"service\":\"orders\",\"maxAttempts\":2},"
    "\"r-2\":{\"host\":\"orders.example\",\"prefix\":\"/a/b/\","
    "\"kind\":\"download\",\"timeoutMs\":1000,\"targetLatencyMs\":300,"
    "\"priority\":2,\"maxAttempts\":2,\"weightedServices\":["
    "{\"service\":\"orders\",\"weight\":90},"
    "{\"service\":\"drafts\",\"weight\":10}]}},"
    "\"services\":{"
    "\"orders\":{\"healthPath\":\"/h\",\"maxConnections\":120,"
    "\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.5,"
    "\"coldPerS\":26.0},"
    "\"drafts\":{\"healthPath\":\"/h\",\"maxConnections\":120,"
    "\"coldStartS\":3,\"coldPerS\":26}},"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

static const char valid_upstream[] =
    "{\"address\":\"10.1.0.9:8080\",\"born\":1700000000000,"
    "\"info\":{\"service\":\"orders\",\"version\":\"v1\",\"zone\":\"a\","
    "\"slots\":12},"
    "\"status\":{\"state\":\"ready\",\"seq\":4,\"coldRemainingMs\":250.5}}";

/* Return text with the first old replaced by new, to be freed with g_free. */
static char *
replace_text(const char *text, const char *old, const char *new)
{
	char **parts = g_strsplit(text, old, 2);
	char *joined;

	CU_ASSERT_PTR_NOT_NULL_FATAL(parts[1]);
	joined = g_strjoinv(new, parts);
	g_strfreev(parts);
	return joined;
}

static enum catalog_change_kind
decode(const char *key, const char *text, struct catalog_change *change)
{
	GBytes *value = text == NULL ? NULL : g_bytes_new(text, strlen(text));

	platform_decode_item(key, value, NULL, change);
	if (value != NULL)
		g_bytes_unref(value);
	return change->kind;
}

static void
test_config(void)
{
	struct catalog_change change;
	const struct mesh_route *route;
	const struct mesh_service *service;

	CU_ASSERT_EQUAL_FATAL(
	    decode("op/config", valid_config, &change), CATALOG_CONFIG);
	route = mesh_config_match(change.config, str_from("ORDERS.example:80"),
	    str_from("/a/x?q=/a/b/"));
	CU_ASSERT_STRING_EQUAL(route->name, "r-1");
	CU_ASSERT_FALSE(route->idempotent);
	CU_ASSERT_EQUAL(route->timeout_ms, 1200);
	CU_ASSERT_EQUAL(route->objective_ms, 400);
	route = mesh_config_match(
	    change.config, str_from("orders.example"), str_from("/a/b/"));
	CU_ASSERT_STRING_EQUAL(route->name, "r-2");
	CU_ASSERT_TRUE(route->idempotent && route->bulk);
	CU_ASSERT_EQUAL(route->destinations->len, 2);
	CU_ASSERT_PTR_NULL(mesh_config_match(
	    change.config, str_from("orders.example"), str_from("/a")));
	CU_ASSERT_PTR_NULL(mesh_config_match(
	    change.config, str_from("other.example"), str_from("/a/")));
	service = mesh_config_service(change.config, "orders");
	CU_ASSERT_EQUAL(service->cold_ms, 3500);
	CU_ASSERT_EQUAL(change.config->limits.idle_timeout_ms, 15000);
	catalog_change_clear(&change);
}

static void
test_invalid_config_is_rejected(void)
{
	static const char *const mutations[][2] = {
		{ "\"unsafe\"", "\"fast\"" },
		{ "\"prefix\":\"/a/\"", "\"prefix\":\"/a\"" },
		{ "\"prefix\":\"/a/\"", "\"prefix\":\"a/\"" },
		{ "\"maxAttempts\":2},", "\"maxAttempts\":-1}," },
		{ "\"service\":\"orders\",\"maxA", "\"service\":\"x\",\"maxA" },
		{ "\"weight\":90", "\"weight\":\"90\"" },
		{ "\"limits\"", "\"bounds\"" },
		{ "\"version\":\"r7\"", "\"version\":7" },
		{ "\"coldPerS\":26.0", "\"coldPerS\":-1" },
		{ "15000}}", "15000}" },
		{ "15000}}", "15000}}}" },
		{ "\"priority\":1,", "\"priority\":1,," },
		{ "\"r-2\":", "\"r-2\"" },
		{ "},\"r-2\"", "\"r-2\"" },
		{ "},\"r-2\"", "}\"r-2\"" },
		{ "2},\"r-2\"", "2},,\"r-2\"" },
		{ "10}]}}", "10}]},}" },
	};
	struct catalog_change change;

	for (size_t i = 0; i < G_N_ELEMENTS(mutations); i++) {
		char *text = replace_text(
		    valid_config, mutations[i][0], mutations[i][1]);

		CU_ASSERT_EQUAL(
		    decode("op/config", text, &change), CATALOG_INVALID);
		CU_ASSERT_PTR_NOT_NULL(change.reason);
		CU_ASSERT_PTR_NULL(change.config);
		catalog_change_clear(&change);
		g_free(text);
	}
}

/* A time or a weight that is a fraction must not cost the configuration. */
static void
test_fractions_are_taken(void)
{
	static const char *const mutations[][2] = {
		{ "\"timeoutMs\":1200", "\"timeoutMs\":1200.5" },
		{ "\"timeoutMs\":1200", "\"timeoutMs\":1.2e3" },
		{ "\"targetLatencyMs\":400", "\"targetLatencyMs\":400.25" },
		{ "\"weight\":90", "\"weight\":0.9" },
		{ "\"weight\":10", "\"weight\":10.0" },
		{ "\"headerTimeoutMs\":3000", "\"headerTimeoutMs\":3000.5" },
		{ "\"idleTimeoutMs\":15000", "\"idleTimeoutMs\":1.5e4" },
	};
	struct catalog_change change;

	for (size_t i = 0; i < G_N_ELEMENTS(mutations); i++) {
		char *text = replace_text(
		    valid_config, mutations[i][0], mutations[i][1]);

		CU_ASSERT_STRING_NOT_EQUAL(text, valid_config);
		CU_ASSERT_EQUAL(
		    decode("op/config", text, &change), CATALOG_CONFIG);
		catalog_change_clear(&change);
		g_free(text);
	}
}

/* Unchanged routes are shared with the last configuration, others decoded. */
static void
test_unchanged_routes_are_shared(void)
{
	char *text =
	    replace_text(valid_config, "\"weight\":90", "\"weight\":80");
	GBytes *value = g_bytes_new(text, strlen(text));
	struct catalog_change first, second;

	CU_ASSERT_EQUAL_FATAL(
	    decode("op/config", valid_config, &first), CATALOG_CONFIG);
	platform_decode_item("op/config", value, first.config, &second);
	CU_ASSERT_EQUAL_FATAL(second.kind, CATALOG_CONFIG);
	CU_ASSERT_PTR_EQUAL(mesh_config_route(first.config, "r-1"),
	    mesh_config_route(second.config, "r-1"));
	CU_ASSERT_PTR_NOT_EQUAL(mesh_config_route(first.config, "r-2"),
	    mesh_config_route(second.config, "r-2"));
	catalog_change_clear(&first);
	CU_ASSERT_STRING_EQUAL(
	    mesh_config_route(second.config, "r-1")->prefix, "/a/");
	catalog_change_clear(&second);
	g_bytes_unref(value);
	g_free(text);
}

static void
test_upstream(void)
{
	struct catalog_change change;

	CU_ASSERT_EQUAL_FATAL(
	    decode("servers/i-1", valid_upstream, &change), CATALOG_UPSTREAM);
	CU_ASSERT_STRING_EQUAL(change.entry.id, "i-1");
	CU_ASSERT_STRING_EQUAL(change.entry.service, "orders");
	CU_ASSERT_EQUAL(change.entry.slots, 12);
	CU_ASSERT_EQUAL(change.entry.sequence, 4);
	CU_ASSERT_EQUAL(change.entry.cold_ms, 250);
	CU_ASSERT_EQUAL(change.entry.started_ms, 1700000000000);
	CU_ASSERT_EQUAL(ntohs(change.entry.address.sin_port), 8080);
	catalog_change_clear(&change);
}

/* A key with a line break would add header fields to requests. */
static void
test_id_fits_in_a_header_field(void)
{
	static const char *const keys[] = {
		"servers/",
		"servers/a b",
		"servers/a\r\nX-Expected-Instance: b",
		"servers/a\n",
		"servers/\x7f",
		"servers/\303\251",
	};
	struct catalog_change change;

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		CU_ASSERT_EQUAL(
		    decode(keys[i], valid_upstream, &change), CATALOG_INVALID);
		CU_ASSERT_PTR_NULL(change.entry.id);
		catalog_change_clear(&change);
	}
}

static void
test_invalid_upstreams_are_rejected(void)
{
	static const char *const mutations[][2] = {
		{ "\"ready\"", "\"resting\"" },
		{ "\"slots\":12", "\"slots\":\"12\"" },
		{ "\"slots\":12", "\"slots\":0" },
		{ "\"seq\":4", "\"seq\":4.5" },
		{ "\"seq\":4,", "" },
		{ "10.1.0.9:8080", "10.1.0.9" },
		{ "10.1.0.9:8080", "10.1.0.9:99999" },
		{ "1700000000000", "1700000000000.5" },
		{ "1700000000000", "\"now\"" },
		{ "250.5", "-1" },
		{ "\"zone\":\"a\",", "" },
		{ "\"version\":\"v1\",", "" },
		{ "\"version\":\"v1\"", "\"version\":1" },
		{ "}}", "}" },
	};
	struct catalog_change change;

	for (size_t i = 0; i < G_N_ELEMENTS(mutations); i++) {
		char *text = replace_text(
		    valid_upstream, mutations[i][0], mutations[i][1]);

		CU_ASSERT_EQUAL(
		    decode("servers/i-1", text, &change), CATALOG_INVALID);
		CU_ASSERT_STRING_EQUAL(change.subject, "i-1");
		CU_ASSERT_PTR_NULL(change.entry.id);
		catalog_change_clear(&change);
		g_free(text);
	}
	CU_ASSERT_EQUAL(
	    decode("servers/i-1", "\xff\xfe{", &change), CATALOG_INVALID);
	catalog_change_clear(&change);
}

static void
test_other_keys(void)
{
	struct catalog_change change;

	CU_ASSERT_EQUAL(
	    decode("servers/i-1", NULL, &change), CATALOG_UPSTREAM_GONE);
	CU_ASSERT_STRING_EQUAL(change.subject, "i-1");
	catalog_change_clear(&change);
	CU_ASSERT_EQUAL(
	    decode("op/evacuate/a", "{}", &change), CATALOG_ZONE_OUT);
	CU_ASSERT_STRING_EQUAL(change.subject, "a");
	catalog_change_clear(&change);
	CU_ASSERT_EQUAL(
	    decode("op/evacuate/a", NULL, &change), CATALOG_ZONE_IN);
	catalog_change_clear(&change);
	CU_ASSERT_EQUAL(decode("my/leader", "x", &change), CATALOG_OTHER);
	catalog_change_clear(&change);
}

static void
test_headers(void)
{
	struct http_head *head = http_head_new(NULL);
	struct platform_request_headers request;
	struct platform_response_headers response;
	GString *text = g_string_new(NULL);
	struct platform_forward_headers forward = {
		.deadline_ms = 1500,
		.instance = str_from("i-1"),
		.caller = str_from("orders"),
	};

	platform_parse_request_headers(head, &request);
	CU_ASSERT_EQUAL(request.deadline_ms, -1);
	CU_ASSERT_EQUAL(request.id.len, 0);
	http_head_add(head, str_from("x-attempt-id"), str_from("9c41"));
	http_head_add(head, str_from("X-DEADLINE"), str_from("250.75"));
	platform_parse_request_headers(head, &request);
	CU_ASSERT_EQUAL(request.deadline_ms, 250);
	CU_ASSERT_TRUE(str_equal(request.id, str_from("9c41")));
	platform_parse_response_headers(head, &response);
	CU_ASSERT_FALSE(response.is_signed || response.not_run);
	http_head_add(head, str_from("X-Not-Executed"), str_from(""));
	platform_parse_response_headers(head, &response);
	CU_ASSERT_TRUE(response.not_run);
	/* Two responses run into one: what is signed has run. */
	http_head_add(head, str_from("X-Response-Signature"), str_from("3e"));
	platform_parse_response_headers(head, &response);
	CU_ASSERT_TRUE(response.is_signed && !response.not_run);
	platform_write_forward_headers(text, &forward);
	CU_ASSERT_STRING_EQUAL(text->str,
	    "X-Deadline: 1500\r\nX-Expected-Instance: i-1\r\n"
	    "X-Caller-Service: orders\r\n");
	CU_ASSERT_TRUE(
	    platform_header_is_managed(str_from("x-caller-service")));
	forward.workspace = str_from("acme");
	g_string_truncate(text, 0);
	platform_write_forward_headers(text, &forward);
	CU_ASSERT_TRUE(g_str_has_suffix(text->str, "\r\nX-Tenant: acme\r\n"));
	g_string_free(text, TRUE);
	http_head_free(head);
}

/*
 * A key must not pass under another spelling, nor a caller name a workspace
 * itself by a field that an upstream takes for the proxy's.
 */
static void
test_workspace_headers(void)
{
	static const char *const dropped[] = { "Api-Key", "API-KEY", "api_key",
		"X-Tenant", "x-tenant", "X_TENANT" };
	static const char *const kept[] = { "Api-Keys", "X-Api-Key", "Tenant",
		"X-Tenan", "" };

	for (size_t i = 0; i < G_N_ELEMENTS(dropped); i++)
		CU_ASSERT_TRUE(
		    platform_header_is_workspace(str_from(dropped[i])));
	for (size_t i = 0; i < G_N_ELEMENTS(kept); i++)
		CU_ASSERT_FALSE(
		    platform_header_is_workspace(str_from(kept[i])));
}

/* Of two keys none is taken: callers and upstreams may mean different ones. */
static void
test_request_key(void)
{
	struct http_head *head = http_head_new(NULL);

	CU_ASSERT_EQUAL(platform_request_key(head).len, 0);
	http_head_add(head, str_from("X-Api-Key"), str_from("other"));
	http_head_add(head, str_from("api-KEY"), str_from("k 1 \t"));
	CU_ASSERT_TRUE(str_equal(platform_request_key(head), str_from("k 1")));
	http_head_add(head, str_from("Api-Key"), str_from("k 1"));
	CU_ASSERT_EQUAL(platform_request_key(head).len, 0);
	http_head_clear(head);
	http_head_add(head, str_from("Api-Key"), str_from(" \t"));
	CU_ASSERT_EQUAL(platform_request_key(head).len, 0);
	http_head_free(head);
}

static struct upstream_notice
parse_notice(const char *limit, const char *leaving)
{
	struct http_head *head = http_head_new(NULL);
	struct platform_response_headers response;

	if (limit != NULL)
		http_head_add(head, str_from("server-limit"), str_from(limit));
	if (leaving != NULL)
		http_head_add(
		    head, str_from("Server-Leaving"), str_from(leaving));
	platform_parse_response_headers(head, &response);
	http_head_free(head);
	return response.notice;
}

/* A limit that can't be read is told from one that is absent. */
static void
test_notice(void)
{
	static const char *const invalid[] = { "", "x", "-1", "nan", "inf",
		"100000000000000000000000000" };
	struct upstream_notice notice = parse_notice(NULL, NULL);

	CU_ASSERT_FALSE(notice.has_rate_limit || notice.rate_limit_invalid ||
	    notice.leaving);
	notice = parse_notice("16.4", "1");
	CU_ASSERT_TRUE(notice.has_rate_limit && notice.leaving);
	CU_ASSERT_EQUAL(notice.rate_limit_per_ks, 16400);
	notice = parse_notice("0", "0");
	CU_ASSERT_TRUE(notice.has_rate_limit && !notice.leaving);
	CU_ASSERT_EQUAL(notice.rate_limit_per_ks, 0);
	notice = parse_notice("1e11", NULL);
	CU_ASSERT_EQUAL(notice.rate_limit_per_ks, UINT32_MAX);
	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		notice = parse_notice(invalid[i], NULL);
		CU_ASSERT_TRUE(
		    notice.rate_limit_invalid && !notice.has_rate_limit);
	}
}

static const struct test_case cases[] = {
	{ "configuration", test_config },
	{ "an invalid configuration is rejected as a whole",
	    test_invalid_config_is_rejected },
	{ "fractions are taken", test_fractions_are_taken },
	{ "unchanged routes are shared", test_unchanged_routes_are_shared },
	{ "upstream", test_upstream },
	{ "invalid upstreams are rejected",
	    test_invalid_upstreams_are_rejected },
	{ "an id fits in a header field", test_id_fits_in_a_header_field },
	{ "other keys", test_other_keys },
	{ "headers", test_headers },
	{ "headers of keys and workspaces", test_workspace_headers },
	{ "key of a request", test_request_key },
	{ "notices of an upstream", test_notice },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("platform codec", cases);
}
