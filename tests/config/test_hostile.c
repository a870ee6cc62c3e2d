#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "config/change.h"
#include "fixture.h"
#include "harness.h"

struct invalid_record {
	const char *json;
	const char *field;
	enum config_error code;
};

#define ZONE "{\"schema\":2,\"kind\":\"zone\",\"name\":\"z\""
#define UPSTREAM                                              \
	"{\"schema\":2,\"kind\":\"upstream\",\"name\":\"u\"," \
	"\"service\":\"s\",\"host\":\"h\",\"slots\":1"
#define HOST "{\"schema\":2,\"kind\":\"host\",\"name\":\"h\",\"zone\":\"z\""
#define ROUTE "{\"schema\":2,\"kind\":\"route\",\"name\":\"r\""
#define SERVICE "{\"schema\":2,\"kind\":\"service\",\"name\":\"s\""
#define NAME_OF_64_BYTES \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

static const struct invalid_record invalid_records[] = {
	{ "[]", "", CONFIG_ERROR_SYNTAX },
	{ "{}", "schema", CONFIG_ERROR_SCHEMA },
	{ "{\"schema\":3,\"kind\":\"zone\",\"name\":\"z\",\"state\":\"in\"}",
	    "schema", CONFIG_ERROR_SCHEMA },
	{ "{\"schema\":\"2\"}", "schema", CONFIG_ERROR_SCHEMA },
	{ "{\"schema\":2,\"kind\":\"gate\",\"name\":\"z\"}", "kind",
	    CONFIG_ERROR_KIND },
	{ "{\"schema\":2,\"kind\":\"zone\",\"name\":\"\"}", "name",
	    CONFIG_ERROR_NAME },
	{ "{\"schema\":2,\"kind\":\"zone\",\"name\":\"A\"}", "name",
	    CONFIG_ERROR_NAME },
	{ "{\"schema\":2,\"kind\":\"zone\",\"name\":\"a/b\"}", "name",
	    CONFIG_ERROR_NAME },
	{ "{\"schema\":2,\"kind\":\"zone\",\"name\":\"" NAME_OF_64_BYTES "\"}",
	    "name", CONFIG_ERROR_NAME },
	{ ZONE "}", "state", CONFIG_ERROR_FIELD },
	{ ZONE ",\"state\":true}", "state", CONFIG_ERROR_FIELD },
	{ ZONE ",\"state\":\"gone\"}", "state", CONFIG_ERROR_FIELD },
	{ ZONE ",\"out\":true}", "state", CONFIG_ERROR_FIELD },
	{ ZONE ",\"state\":\"in\",\"x\":1}", "x", CONFIG_ERROR_FIELD },
	{ ZONE ",\"state\":\"in\",\"out\":false}", "out", CONFIG_ERROR_FIELD },
	{ "{\"schema\":1,\"kind\":\"zone\",\"name\":\"z\",\"state\":\"in\"}",
	    "out", CONFIG_ERROR_FIELD },
	{ HOST ",\"node\":\"localhost:1\",\"state\":\"in\"}", "node",
	    CONFIG_ERROR_FIELD },
	{ HOST ",\"node\":\"127.0.0.1\",\"state\":\"in\"}", "node",
	    CONFIG_ERROR_FIELD },
	{ HOST ",\"node\":\"127.0.0.1:0\",\"state\":\"in\"}", "node",
	    CONFIG_ERROR_FIELD },
	{ HOST ",\"node\":\"127.0.0.1:65536\",\"state\":\"in\"}", "node",
	    CONFIG_ERROR_FIELD },
	{ HOST ",\"node\":\":1\",\"state\":\"in\"}", "node",
	    CONFIG_ERROR_FIELD },
	{ HOST ",\"node\":\"[:1\",\"state\":\"in\"}", "node",
	    CONFIG_ERROR_FIELD },
	{ HOST ",\"node\":\"[0:0::1]:1\",\"state\":\"in\"}", "node",
	    CONFIG_ERROR_FIELD },
	{ UPSTREAM ",\"address\":\"127.0.0.1:1\",\"connections\":0}",
	    "connections", CONFIG_ERROR_FIELD },
	{ UPSTREAM ",\"address\":\"127.0.0.1:1\",\"connections\":100001}",
	    "connections", CONFIG_ERROR_FIELD },
	{ UPSTREAM ",\"address\":\"127.0.0.1:1\",\"connections\":1.0}",
	    "connections", CONFIG_ERROR_FIELD },
	{ SERVICE ",\"timeout_ms\":1,\"idempotent_retries\":\"0\"}",
	    "idempotent_retries", CONFIG_ERROR_FIELD },
	{ UPSTREAM ",\"address\":\"127.0.0.1:1\",\"connections\":-1}",
	    "connections", CONFIG_ERROR_FIELD },
	{ UPSTREAM ",\"address\":\"127.0.0.1:1\","
		   "\"connections\":9223372036854775807}",
	    "connections", CONFIG_ERROR_FIELD },
	{ UPSTREAM ",\"address\":\"127.0.0.1:1\",\"connections\":4294967297}",
	    "connections", CONFIG_ERROR_FIELD },
	{ UPSTREAM ",\"addr\":\"127.0.0.1:1\",\"connections\":1}", "address",
	    CONFIG_ERROR_FIELD },
	{ SERVICE ",\"timeout_ms\":0}", "timeout_ms", CONFIG_ERROR_FIELD },
	{ SERVICE ",\"timeout_ms\":3600001}", "timeout_ms",
	    CONFIG_ERROR_FIELD },
	{ SERVICE ",\"timeout_ms\":1,\"idempotent_retries\":4}",
	    "idempotent_retries", CONFIG_ERROR_FIELD },
	{ "{\"schema\":1,\"kind\":\"service\",\"name\":\"s\",\"timeout\":3601}",
	    "timeout", CONFIG_ERROR_FIELD },
	{ ROUTE ",\"service\":\"s\"}", "authority", CONFIG_ERROR_FIELD },
	{ ROUTE ",\"service\":\"s\",\"authority\":\"A\"}", "authority",
	    CONFIG_ERROR_FIELD },
	{ ROUTE ",\"service\":\"s\",\"prefix\":\"x\"}", "prefix",
	    CONFIG_ERROR_FIELD },
	{ ROUTE ",\"service\":\"s\",\"prefix\":\"/a b\"}", "prefix",
	    CONFIG_ERROR_FIELD },
	{ ROUTE ",\"service\":\"s\",\"prefix\":\"/a?b\"}", "prefix",
	    CONFIG_ERROR_FIELD },
	{ ROUTE ",\"service\":\"s\",\"prefix\":\"/a\\nb\"}", "prefix",
	    CONFIG_ERROR_FIELD },
	{ ROUTE ",\"prefix\":\"/\"}", "service", CONFIG_ERROR_FIELD },
};

static void
test_invalid_records(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_records); i++) {
		const struct invalid_record *invalid = &invalid_records[i];
		json_t *json = json_loads(invalid->json, 0, NULL);
		GError *error = NULL;
		struct record *record = record_parse(json, 1, &error);
		bool is_field_named = error != NULL &&
		    g_str_has_prefix(error->message, invalid->field);

		CU_ASSERT_PTR_NULL(record);
		if (!is_field_named ||
		    !g_error_matches(error, CONFIG_ERROR, (int)invalid->code))
			CU_FAIL(invalid->json);
		g_clear_error(&error);
		json_decref(json);
	}
}

/* The canonical form equals the compact output of jansson with sorted keys. */
static void
check_canonical(const struct record *record, const json_t *json)
{
	char *expected = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	GString *text = g_string_new(NULL);

	record_append_json(record, text);
	CU_ASSERT_STRING_EQUAL(text->str, expected);
	g_string_free(text, TRUE);
	free(expected);
}

static void
test_valid_record_round_trip(void)
{
	static const char *const valid[] = {
		HOST ",\"node\":\"127.0.0.1:1\",\"state\":\"in\"}",
		ROUTE ",\"service\":\"s\",\"prefix\":\"/a\\\"b\\\\c/~\"}",
		ROUTE ",\"service\":\"s\",\"authority\":\"[::1]:80\"}",
		ZONE ",\"state\":\"out\"}",
		HOST ",\"node\":\"[::1]:65535\",\"state\":\"out\"}",
		ROUTE ",\"service\":\"s\",\"authority\":\"a.b:80\","
		      "\"prefix\":\"/x\"}",
		SERVICE ",\"timeout_ms\":1,\"idempotent_retries\":0}",
		ZONE ",\"state\":\"in\",\"region\":\"lagos\"}",
		UPSTREAM ",\"address\":\"10.0.0.1:1\",\"connections\":1}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(valid); i++) {
		json_t *json = json_loads(valid[i], 0, NULL);
		struct record *record = record_parse(json, 1, NULL);
		json_t *copy;

		CU_ASSERT_PTR_NOT_NULL_FATAL(record);
		copy = record_to_json(record);
		CU_ASSERT(json_equal(json, copy));
		check_canonical(record, json);
		json_decref(copy);
		json_decref(json);
		record_unref(record);
	}
}

/* Every truncation of a valid publication is refused; the state is kept. */
static void
test_truncated_publication(void)
{
	struct snapshot *empty = snapshot_empty_new();

	for (size_t len = 0; len < strlen(sample_publication); len++) {
		struct publication *publication =
		    publication_new(1, g_bytes_new(sample_publication, len));
		struct verdict verdict;
		struct snapshot *next =
		    snapshot_apply(empty, publication, &verdict);

		CU_ASSERT_EQUAL(verdict.kind, VERDICT_REFUSED);
		CU_ASSERT_EQUAL(snapshot_count(next, RECORD_ZONE), 0);
		verdict_clear(&verdict);
		snapshot_unref(next);
		publication_unref(publication);
	}
	snapshot_unref(empty);
}

static enum config_error
refusal_code(const char *json, size_t len)
{
	struct snapshot *empty = snapshot_empty_new();
	struct publication *publication =
	    publication_new(1, g_bytes_new(json, len));
	struct verdict verdict;
	struct snapshot *next = snapshot_apply(empty, publication, &verdict);
	int code = -1;

	if (verdict.kind == VERDICT_REFUSED)
		code = ((struct refusal *)verdict.refusals->pdata[0])->code;
	verdict_clear(&verdict);
	snapshot_unref(next);
	publication_unref(publication);
	snapshot_unref(empty);
	return (enum config_error)code;
}

static void
test_deep_nesting(void)
{
	static const char *const openings[] = { "[", "{\"a\":" };

	for (size_t i = 0; i < G_N_ELEMENTS(openings); i++) {
		GString *text = g_string_new(NULL);

		for (int depth = 0; depth < 100000; depth++)
			g_string_append(text, openings[i]);
		CU_ASSERT_EQUAL(
		    refusal_code(text->str, text->len), CONFIG_ERROR_SYNTAX);
		g_string_free(text, TRUE);
	}
}

static void
test_size_limit(void)
{
	char *text = g_strdup_printf("{}%*s", PUBLICATION_BYTES_MAX - 1, "");

	CU_ASSERT_EQUAL(
	    refusal_code(text, PUBLICATION_BYTES_MAX), (enum config_error) - 1);
	CU_ASSERT_EQUAL(refusal_code(text, PUBLICATION_BYTES_MAX + 1),
	    CONFIG_ERROR_TOO_LARGE);
	g_free(text);
}

static void
test_invalid_syntax(void)
{
	static const char *const texts[] = {
		"{\"set\":[],\"set\":[]}",
		"{\"remove\":[{\"kind\":\"zone\",\"kind\":\"host\"}]}",
		"{\"set\":[]} x",
		"{\"revision\":1e999}",
		"{\"revision\":99999999999999999999999}",
		"{\"set\":[\"\\u0000\"]}",
		"{\"set\":[\"\xff\xfe\"]}",
		"null",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		CU_ASSERT_EQUAL(refusal_code(texts[i], strlen(texts[i])),
		    CONFIG_ERROR_SYNTAX);
}

/* Only the first errors of a publication are kept. */
static void
test_refusal_limit(void)
{
	GString *text = g_string_new("{\"set\":[0");
	struct snapshot *empty = snapshot_empty_new();
	struct publication *publication;
	struct verdict verdict;

	for (int i = 0; i < 100000; i++)
		g_string_append(text, ",0");
	g_string_append(text, "]}");
	publication = publication_from_string(1, text->str);
	snapshot_unref(snapshot_apply(empty, publication, &verdict));
	CU_ASSERT_EQUAL(verdict.refusals->len, REFUSALS_MAX);
	verdict_clear(&verdict);
	publication_unref(publication);
	snapshot_unref(empty);
	g_string_free(text, TRUE);
}

/* Untrusted text in a refusal is safe for logs and terminals. */
static void
test_refusal_text(void)
{
	char *json = g_strdup_printf("{\"set\":[{\"schema\":2,"
				     "\"kind\":\"zone\",\"name\":\"a\\nb\"},"
				     "{\"schema\":2,\"kind\":\"zone\","
				     "\"name\":\"z\",\"state\":\"in\","
				     "\"\\u001b[2J\\n%0200d\":1}]}",
	    0);
	struct snapshot *empty = snapshot_empty_new();
	struct publication *publication = publication_from_string(1, json);
	struct verdict verdict;
	const struct refusal *refusal;

	snapshot_unref(snapshot_apply(empty, publication, &verdict));
	CU_ASSERT_EQUAL(verdict.refusals->len, 2);
	refusal = verdict.refusals->pdata[0];
	CU_ASSERT_STRING_EQUAL(refusal->record, "zone/a?b");
	refusal = verdict.refusals->pdata[1];
	CU_ASSERT(g_str_has_prefix(refusal->field, "?[2J?000"));
	CU_ASSERT_EQUAL(strlen(refusal->field), 64);
	verdict_clear(&verdict);
	publication_unref(publication);
	snapshot_unref(empty);
	g_free(json);
}

static void
expect_list_error(const char *json, enum config_error code)
{
	GError *error = NULL;
	uint64_t head = 77;
	GPtrArray *list =
	    publication_list_parse(json, strlen(json), &head, &error);

	CU_ASSERT_PTR_NULL(list);
	CU_ASSERT(g_error_matches(error, CONFIG_ERROR, (int)code));
	CU_ASSERT_EQUAL(head, 77);
	g_clear_error(&error);
}

static void
test_change_list(void)
{
	const char *valid = "{\"revision\":9,\"changes\":["
			    "{\"revision\":8,\"set\":[]},"
			    "{\"revision\":9,\"set\":[3]}]}";
	uint64_t head = 0;
	GPtrArray *list =
	    publication_list_parse(valid, strlen(valid), &head, NULL);

	CU_ASSERT_EQUAL(head, 9);
	if (list == NULL || list->len != 2) {
		CU_FAIL("expected a list of two publications");
		return;
	}
	CU_ASSERT_EQUAL(((struct publication *)list->pdata[1])->version, 9);
	g_ptr_array_unref(list);
	expect_list_error("", CONFIG_ERROR_SYNTAX);
	expect_list_error("{\"revision\":9,\"changes\":[", CONFIG_ERROR_SYNTAX);
	expect_list_error(
	    "{\"revision\":-1,\"changes\":[]}", CONFIG_ERROR_FIELD);
	expect_list_error("{\"revision\":1}", CONFIG_ERROR_FIELD);
	expect_list_error(
	    "{\"revision\":1,\"changes\":[{}]}", CONFIG_ERROR_FIELD);
	expect_list_error("{\"revision\":1,\"changes\":[{\"revision\":0}]}",
	    CONFIG_ERROR_FIELD);
	expect_list_error("{\"revision\":2,\"changes\":["
			  "{\"revision\":2},{\"revision\":2}]}",
	    CONFIG_ERROR_ORDER);
}

static void
expect_handover_error(const char *json, enum config_error code)
{
	struct state_id id = { .version = 3 };
	GBytes *bytes = g_bytes_new(json, strlen(json));
	GError *error = NULL;

	CU_ASSERT_PTR_NULL(snapshot_deserialize(id, bytes, &error));
	CU_ASSERT(g_error_matches(error, CONFIG_ERROR, (int)code));
	g_clear_error(&error);
	g_bytes_unref(bytes);
}

static void
test_invalid_handover(void)
{
#define HANDOVER_HEADER "{\"version\":3,\"base\":0}\n"
#define VALID_ZONE ZONE ",\"state\":\"in\"}"
	expect_handover_error("", CONFIG_ERROR_SYNTAX);
	expect_handover_error("\n", CONFIG_ERROR_SYNTAX);
	expect_handover_error("{\"version\":3", CONFIG_ERROR_SYNTAX);
	expect_handover_error("{\"version\":3\n", CONFIG_ERROR_SYNTAX);
	expect_handover_error("[]\n", CONFIG_ERROR_ORDER);
	expect_handover_error("{\"version\":3}\n", CONFIG_ERROR_ORDER);
	expect_handover_error(
	    "{\"version\":2,\"base\":0}\n", CONFIG_ERROR_ORDER);
	expect_handover_error(
	    "{\"version\":3,\"base\":1}\n", CONFIG_ERROR_ORDER);
	expect_handover_error(
	    "{\"version\":3,\"base\":null}\n", CONFIG_ERROR_ORDER);
	expect_handover_error(HANDOVER_HEADER "{}\n", CONFIG_ERROR_FIELD);
	expect_handover_error(HANDOVER_HEADER "[7]\n", CONFIG_ERROR_FIELD);
	expect_handover_error(HANDOVER_HEADER "7\n", CONFIG_ERROR_SYNTAX);
	expect_handover_error(
	    HANDOVER_HEADER "[0," VALID_ZONE "]\n", CONFIG_ERROR_FIELD);
	expect_handover_error(
	    HANDOVER_HEADER "[4," VALID_ZONE "]\n", CONFIG_ERROR_FIELD);
	expect_handover_error(HANDOVER_HEADER "[1," VALID_ZONE
					      "]\n[1," VALID_ZONE "]\n",
	    CONFIG_ERROR_NAME);
	expect_handover_error(HANDOVER_HEADER
	    "[1," HOST ",\"node\":\"127.0.0.1:1\",\"state\":\"in\"}]\n",
	    CONFIG_ERROR_REFERENCE);
	expect_handover_error(
	    HANDOVER_HEADER "[1," VALID_ZONE "]\n", CONFIG_ERROR_ORDER);
	expect_handover_error(
	    HANDOVER_HEADER "[1," VALID_ZONE "]", CONFIG_ERROR_SYNTAX);
}

/*
 * A peer cannot make the reader hold more than one record: a longer line is
 * refused.
 */
static void
test_handover_line_limit(void)
{
	GString *text = g_string_new(HANDOVER_HEADER "[");

	while (text->len < 5000)
		g_string_append(text, "0,");
	g_string_append(text, "0]\n");
	expect_handover_error(text->str, CONFIG_ERROR_SYNTAX);
	g_string_free(text, TRUE);
}

/* Every truncation of a valid handover is refused. */
static void
test_truncated_handover(void)
{
	struct snapshot *state = sample_snapshot_new();
	GBytes *bytes = snapshot_serialize(state);
	size_t bytes_len = g_bytes_get_size(bytes);

	for (size_t len = 0; len < bytes_len; len++) {
		GBytes *part = g_bytes_new_from_bytes(bytes, 0, len);
		GError *error = NULL;

		CU_ASSERT_PTR_NULL(
		    snapshot_deserialize(snapshot_id(state), part, &error));
		CU_ASSERT_PTR_NOT_NULL(error);
		g_clear_error(&error);
		g_bytes_unref(part);
	}
	g_bytes_unref(bytes);
	snapshot_unref(state);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "invalid records are refused by field",
		    test_invalid_records },
		{ "a valid record survives a round trip",
		    test_valid_record_round_trip },
		{ "truncated publications are refused",
		    test_truncated_publication },
		{ "deep nesting is refused", test_deep_nesting },
		{ "publication size is limited", test_size_limit },
		{ "invalid syntax is refused", test_invalid_syntax },
		{ "the number of refusals is limited", test_refusal_limit },
		{ "refusals are safe to print", test_refusal_text },
		{ "lists of changes are validated", test_change_list },
		{ "invalid handovers are refused", test_invalid_handover },
		{ "the line length of handovers is limited",
		    test_handover_line_limit },
		{ "truncated handovers are refused", test_truncated_handover },
		{ NULL, NULL },
	};

	return harness_run("hostile", cases);
}
