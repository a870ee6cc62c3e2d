#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/json_parse.h"
#include "common/rng.h"
#include "counted_json.h"
#include "harness.h"

/*
 * Guards against JSON that takes many times its size in memory, and against a
 * bound that is below what jansson really takes or that refuses tables as they
 * are used.
 */
enum {
	DOCUMENTS = 2000,
	DEPTH_MAX = 4,
	CHILDREN_MAX = 12,
	TABLE_BYTES = 1 << 20,
};

static void
append_string(GString *text, struct rng *rng)
{
	static const char *const pieces[] = { "a", "\\\"", "\\u00e9", "\\\\",
		" ", "{", "]", ":", "longer than the others" };
	uint64_t count = rng_below(rng, rng_below(rng, 20) == 0 ? 400 : 6);

	g_string_append_c(text, '"');
	for (uint64_t i = 0; i < count; i++)
		g_string_append(
		    text, pieces[rng_below(rng, G_N_ELEMENTS(pieces))]);
	g_string_append_c(text, '"');
}

static void append_value(GString *text, struct rng *rng, int depth);

static void
append_table(GString *text, struct rng *rng, int depth, bool is_object)
{
	uint64_t count = rng_below(rng, CHILDREN_MAX);

	g_string_append_c(text, is_object ? '{' : '[');
	for (uint64_t i = 0; i < count; i++) {
		if (i > 0)
			g_string_append(text, rng_below(rng, 2) ? "," : " ,\n");
		if (is_object) {
			append_string(text, rng);
			g_string_append(text, rng_below(rng, 2) ? ":" : " : ");
		}
		append_value(text, rng, depth + 1);
	}
	g_string_append_c(text, is_object ? '}' : ']');
}

static void
append_value(GString *text, struct rng *rng, int depth)
{
	static const char *const scalars[] = { "0", "-12", "1.5e3", "true",
		"null" };
	uint64_t kind = rng_below(rng, depth >= DEPTH_MAX ? 2 : 5);

	if (kind == 0)
		g_string_append(
		    text, scalars[rng_below(rng, G_N_ELEMENTS(scalars))]);
	else if (kind == 1)
		append_string(text, rng);
	else if (depth < 2 || rng_below(rng, 3) == 0)
		append_table(text, rng, depth, kind == 2);
	else
		g_string_append(text, kind == 2 ? "{}" : "[]");
}

/* Parse without a bound and compare with the bound. */
static void
check_bound(struct str text)
{
	counted_json_reset_peak();
	json_decref(json_loadb(text.ptr, text.len, JSON_DECODE_ANY, NULL));
	CU_ASSERT_TRUE(counted_json_peak <= json_memory_bytes(text));
	CU_ASSERT_EQUAL(counted_json_bytes, 0);
}

static void
test_bound_is_above_the_memory_taken(void)
{
	struct rng *rng = rng_seeded_new(1);

	for (int i = 0; i < DOCUMENTS; i++) {
		GString *text = g_string_new(NULL);
		json_t *json;

		append_value(text, rng, 0);
		check_bound(str_make(text->str, text->len));
		/* Cut anywhere, it is malformed. */
		check_bound(str_make(text->str, rng_below(rng, text->len + 1)));
		json = json_parse(
		    str_make(text->str, text->len), JSON_DECODE_ANY, NULL);
		CU_ASSERT_TRUE(json != NULL ||
		    json_memory_bytes(str_make(text->str, text->len)) >
			JSON_MEMORY_FREE_BYTES);
		json_decref(json);
		g_string_free(text, TRUE);
	}
	rng_free(rng);
}

/* Return entries until the text has TABLE_BYTES; %u is replaced by a number. */
static GString *
make_table(const char *open, const char *entry, const char *close)
{
	GString *text = g_string_new(open);

	for (unsigned i = 0; text->len < TABLE_BYTES; i++) {
		char *number = g_strdup_printf("%04u", i);
		char **parts = g_strsplit(entry, "%u", -1);
		char *filled = g_strjoinv(number, parts);

		g_string_append_printf(text, "%s%s", i > 0 ? "," : "", filled);
		g_free(filled);
		g_strfreev(parts);
		g_free(number);
	}
	g_string_append(text, close);
	return text;
}

static void
test_tables_in_use_are_parsed(void)
{
	static const char *const entries[] = {
		"\"s%u\":{\"healthPath\":\"/\",\"maxConnections\":1,"
		"\"coldStartS\":0,\"coldPerS\":0}",
		"\"w%u\":{\"apiKeys\":[\"k%u\"]}",
		"\"r%u\":{\"host\":\"a\",\"prefix\":\"/a/\",\"kind\":\"safe\","
		"\"timeoutMs\":1,\"targetLatencyMs\":1,\"priority\":1,"
		"\"service\":\"s\",\"maxAttempts\":1}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		GString *text = make_table("{", entries[i], "}");
		json_t *json =
		    json_parse(str_make(text->str, text->len), 0, NULL);

		CU_ASSERT_TRUE(json_is_object(json));
		json_decref(json);
		g_string_free(text, TRUE);
	}
}

static void
test_lists_of_empty_tables_are_refused(void)
{
	static const char *const entries[] = { "{}", "[]", "[[],{}]",
		"{\"\":{}}" };

	for (size_t i = 0; i < G_N_ELEMENTS(entries); i++) {
		GString *text = make_table("[", entries[i], "]");
		json_error_t error;

		counted_json_reset_peak();
		CU_ASSERT_PTR_NULL(
		    json_parse(str_make(text->str, text->len), 0, &error));
		CU_ASSERT_EQUAL(counted_json_peak, 0);
		CU_ASSERT_EQUAL(
		    json_error_code(&error), json_error_out_of_memory);
		CU_ASSERT_PTR_NOT_NULL(strstr(error.text, "in memory"));
		g_string_free(text, TRUE);
	}
}

static void
test_empty_text(void)
{
	json_error_t error;

	CU_ASSERT_PTR_NULL(json_parse((struct str){ 0 }, 0, &error));
	CU_ASSERT_PTR_NULL(json_parse(str_from("\""), JSON_DECODE_ANY, NULL));
	CU_ASSERT_PTR_NULL(json_parse(str_from("\"\\"), JSON_DECODE_ANY, NULL));
}

static const struct test_case cases[] = {
	{ "the bound is above the memory taken",
	    test_bound_is_above_the_memory_taken },
	{ "tables in use are parsed", test_tables_in_use_are_parsed },
	{ "lists of empty tables are refused",
	    test_lists_of_empty_tables_are_refused },
	{ "empty text", test_empty_text },
	{ NULL, NULL },
};

int
main(void)
{
	counted_json_init();
	return harness_run("json parse", cases);
}
