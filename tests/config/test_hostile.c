#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "config/change.h"
#include "fixture.h"
#include "harness.h"

struct bad_record {
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
#define LONG_NAME \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

static const struct bad_record bad_records[] = {
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
	{ "{\"schema\":2,\"kind\":\"zone\",\"name\":\"" LONG_NAME "\"}", "name",
	    CONFIG_ERROR_NAME },
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
test_bad_records(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(bad_records); i++) {
		const struct bad_record *bad = &bad_records[i];
		json_t *json = json_loads(bad->json, 0, NULL);
		GError *error = NULL;
		struct record *record = record_parse(json, 1, &error);
		bool named = error != NULL &&
		    g_str_has_prefix(error->message, bad->field);

		CU_ASSERT_PTR_NULL(record);
		if (!named ||
		    !g_error_matches(error, CONFIG_ERROR, (int)bad->code))
			CU_FAIL(bad->json);
		g_clear_error(&error);
		json_decref(json);
	}
}

/* The canonical form is what a JSON library makes of the same value. */
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
test_good_record_round_trip(void)
{
	static const char *const good[] = {
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

	for (size_t i = 0; i < G_N_ELEMENTS(good); i++) {
		json_t *json = json_loads(good[i], 0, NULL);
		struct record *record = record_parse(json, 1, NULL);
		json_t *back;

		CU_ASSERT_PTR_NOT_NULL_FATAL(record);
		back = record_to_json(record);
		CU_ASSERT(json_equal(json, back));
		check_canonical(record, json);
		json_decref(back);
		json_decref(json);
		record_unref(record);
	}
}

/* Every truncation of a good publication is refused, the state is kept. */
static void
test_truncated(void)
{
	struct snapshot *empty = snapshot_empty_new();

	for (size_t len = 0; len < strlen(small_mesh); len++) {
		struct publication *publication =
		    publication_new(1, g_bytes_new(small_mesh, len));
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
test_bad_syntax(void)
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

/* A publication full of faults names only the first ones. */
static void
test_refusals_are_bounded(void)
{
	GString *text = g_string_new("{\"set\":[0");
	struct snapshot *empty = snapshot_empty_new();
	struct publication *publication;
	struct verdict verdict;

	for (int i = 0; i < 100000; i++)
		g_string_append(text, ",0");
	g_string_append(text, "]}");
	publication = publication_of(1, text->str);
	snapshot_unref(snapshot_apply(empty, publication, &verdict));
	CU_ASSERT_EQUAL(verdict.refusals->len, REFUSALS_MAX);
	verdict_clear(&verdict);
	publication_unref(publication);
	snapshot_unref(empty);
	g_string_free(text, TRUE);
}

/* What a refusal quotes from outside is safe for a log and a terminal. */
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
	struct publication *publication = publication_of(1, json);
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
test_list_of_changes(void)
{
	const char *good = "{\"revision\":9,\"changes\":["
			   "{\"revision\":8,\"set\":[]},"
			   "{\"revision\":9,\"set\":[3]}]}";
	uint64_t head = 0;
	GPtrArray *list =
	    publication_list_parse(good, strlen(good), &head, NULL);

	CU_ASSERT_EQUAL(head, 9);
	if (list == NULL || list->len != 2) {
		CU_FAIL("the list has two publications");
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
expect_hand_over_error(const char *json, enum config_error code)
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
test_bad_hand_over(void)
{
#define HEAD "{\"version\":3,\"base\":0}\n"
#define GOOD_ZONE ZONE ",\"state\":\"in\"}"
	expect_hand_over_error("", CONFIG_ERROR_SYNTAX);
	expect_hand_over_error("\n", CONFIG_ERROR_SYNTAX);
	expect_hand_over_error("{\"version\":3", CONFIG_ERROR_SYNTAX);
	expect_hand_over_error("{\"version\":3\n", CONFIG_ERROR_SYNTAX);
	expect_hand_over_error("[]\n", CONFIG_ERROR_ORDER);
	expect_hand_over_error("{\"version\":3}\n", CONFIG_ERROR_ORDER);
	expect_hand_over_error(
	    "{\"version\":2,\"base\":0}\n", CONFIG_ERROR_ORDER);
	expect_hand_over_error(
	    "{\"version\":3,\"base\":1}\n", CONFIG_ERROR_ORDER);
	expect_hand_over_error(
	    "{\"version\":3,\"base\":null}\n", CONFIG_ERROR_ORDER);
	expect_hand_over_error(HEAD "{}\n", CONFIG_ERROR_FIELD);
	expect_hand_over_error(HEAD "[7]\n", CONFIG_ERROR_FIELD);
	expect_hand_over_error(HEAD "7\n", CONFIG_ERROR_SYNTAX);
	expect_hand_over_error(HEAD "[0," GOOD_ZONE "]\n", CONFIG_ERROR_FIELD);
	expect_hand_over_error(HEAD "[4," GOOD_ZONE "]\n", CONFIG_ERROR_FIELD);
	expect_hand_over_error(
	    HEAD "[1," GOOD_ZONE "]\n[1," GOOD_ZONE "]\n", CONFIG_ERROR_NAME);
	expect_hand_over_error(HEAD
	    "[1," HOST ",\"node\":\"127.0.0.1:1\",\"state\":\"in\"}]\n",
	    CONFIG_ERROR_REFERENCE);
	expect_hand_over_error(HEAD "[1," GOOD_ZONE "]\n", CONFIG_ERROR_ORDER);
	expect_hand_over_error(HEAD "[1," GOOD_ZONE "]", CONFIG_ERROR_SYNTAX);
}

/* What a peer sends can't make the reader hold more than one record. */
static void
test_hand_over_lines_are_bounded(void)
{
	GString *text = g_string_new(HEAD "[");

	while (text->len < 5000)
		g_string_append(text, "0,");
	g_string_append(text, "0]\n");
	expect_hand_over_error(text->str, CONFIG_ERROR_SYNTAX);
	g_string_free(text, TRUE);
}

/* Every truncation of a good hand-over is refused. */
static void
test_truncated_hand_over(void)
{
	struct snapshot *state = small_mesh_new();
	GBytes *whole = snapshot_serialize(state);
	size_t whole_len = g_bytes_get_size(whole);

	for (size_t len = 0; len < whole_len; len++) {
		GBytes *part = g_bytes_new_from_bytes(whole, 0, len);
		GError *error = NULL;

		CU_ASSERT_PTR_NULL(
		    snapshot_deserialize(snapshot_id(state), part, &error));
		CU_ASSERT_PTR_NOT_NULL(error);
		g_clear_error(&error);
		g_bytes_unref(part);
	}
	g_bytes_unref(whole);
	snapshot_unref(state);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "bad records are refused by field", test_bad_records },
		{ "a good record comes back", test_good_record_round_trip },
		{ "every truncation is refused", test_truncated },
		{ "deep nesting is refused", test_deep_nesting },
		{ "size is limited", test_size_limit },
		{ "bad syntax is refused", test_bad_syntax },
		{ "refusals are bounded", test_refusals_are_bounded },
		{ "refusals are safe to print", test_refusal_text },
		{ "lists of changes are checked", test_list_of_changes },
		{ "bad hand-overs are refused", test_bad_hand_over },
		{ "lines of hand-overs are bounded",
		    test_hand_over_lines_are_bounded },
		{ "every truncated hand-over is refused",
		    test_truncated_hand_over },
		{ NULL, NULL },
	};

	return harness_run("hostile", cases);
}
