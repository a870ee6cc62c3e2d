#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/source.h"
#include "counted_json.h"
#include "harness.h"
#include "platform/codec.h"
#include "platform/item_page.h"

/*
 * Guards against values of the store that take many times their size in memory:
 * a node that exceeds its limit is killed, and reads them again at its start.
 */
enum {
	VALUE_BYTES = 1 << 20, /* the store's limit */
	LIST_BYTES = 256 * 1024,
	RATIO_MAX = 32,         /* of memory to the size of a value */
	FREE_BYTES = 64 * 1024, /* that a value of any size may take */
	KEPT_BYTES_MAX = 64 * 1024,
};

/* What is repeated in a JSON list to fill a value. */
static const char *const elements[] = {
	"{}",
	"[]",
	"[[]]",
	"{\"\":0}",
	"{\"a\":{}}",
	"\"\"",
	"0",
	"1e9",
	"[0]",
	"null",
};

/* Values with one list each, in place of %s. */
static const struct {
	const char *key;
	const char *format;
} values[] = {
	{ "servers/i-1", "%s" },
	{ "servers/i-1", "{\"info\":%s}" },
	{ "servers/i-1", "{\"info\":{\"service\":\"desk\",\"slots\":%s}}" },
	{ "op/config", "%s" },
	{ "op/config", "{\"version\":\"r1\",\"limits\":%s,\"routes\":{}}" },
	{ "op/config", "{\"version\":\"r1\",\"routes\":{\"r\":%s}}" },
	{ "op/config",
	    "{\"version\":\"r1\",\"routes\":{},\"services\":{\"s\":%s},"
	    "\"limits\":{\"maxHeaderBytes\":1,\"maxBodyBytes\":1,"
	    "\"headerTimeoutMs\":1,\"idleTimeoutMs\":1}}" },
};

/* Return a list of LIST_BYTES of an element, to be freed with g_free. */
static char *
make_list(const char *element)
{
	GString *text = g_string_new("[");

	while (text->len + strlen(element) + 2 < LIST_BYTES)
		g_string_append_printf(text, "%s,", element);
	g_string_append_printf(text, "%s]", element);
	return g_string_free(text, FALSE);
}

static char *
fill_in(const char *format, const char *list)
{
	char **parts = g_strsplit(format, "%s", 2);
	char *text = g_strjoinv(list, parts);

	g_strfreev(parts);
	return text;
}

static size_t
memory_max(size_t len)
{
	return RATIO_MAX * len + FREE_BYTES;
}

static void
check_value(const char *key, const char *text, const char *element)
{
	size_t len = strlen(text);
	GBytes *value = g_bytes_new_static(text, len);
	struct catalog_change change;

	counted_json_reset_peak();
	platform_decode_item(key, value, NULL, &change);
	CU_ASSERT_EQUAL(change.kind, CATALOG_INVALID);
	if (counted_json_peak > memory_max(len))
		printf("%s with %s: %zu bytes for %zu\n", key, element,
		    counted_json_peak, len);
	CU_ASSERT_TRUE(counted_json_peak <= memory_max(len));
	catalog_change_clear(&change);
	g_bytes_unref(value);
	CU_ASSERT_EQUAL(counted_json_bytes, 0);
}

static void
test_values(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(elements); i++) {
		char *list = make_list(elements[i]);

		for (size_t j = 0; j < G_N_ELEMENTS(values); j++) {
			char *text = fill_in(values[j].format, list);

			check_value(values[j].key, text, elements[i]);
			g_free(text);
		}
		g_free(list);
	}
}

/* An element of a page that is no item, or has a member that nobody asks for.
 */
static void
test_elements_of_a_page(void)
{
	static const char *const formats[] = {
		"{\"items\":[%s],\"hasMore\":false,\"at\":7}",
		"{\"items\":[{\"key\":\"k\",\"value\":\"\",\"revision\":4,"
		"\"x\":%s}],\"hasMore\":false,\"at\":7}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(elements); i++) {
		char *list = make_list(elements[i]);

		for (size_t j = 0; j < G_N_ELEMENTS(formats); j++) {
			char *text = fill_in(formats[j], list);
			GPtrArray *items =
			    g_ptr_array_new_with_free_func(replica_item_free);
			struct item_page page;

			counted_json_reset_peak();
			CU_ASSERT_TRUE(item_page_read(
			    str_from(text), "items", items, &page, NULL));
			CU_ASSERT_TRUE(
			    counted_json_peak <= memory_max(strlen(text)));
			item_page_clear(&page);
			g_ptr_array_unref(items);
			g_free(text);
		}
		g_free(list);
	}
}

/* Return the bytes kept of the value of an item with a key. */
static size_t
kept_bytes(const char *key, size_t value_bytes)
{
	guchar *value = g_malloc0(value_bytes);
	char *encoded = g_base64_encode(value, value_bytes);
	char *text =
	    g_strdup_printf("{\"items\":[{\"key\":\"%s\",\"value\":\"%s\","
			    "\"revision\":4}],\"hasMore\":false,\"at\":7}",
		key, encoded);
	GPtrArray *items = g_ptr_array_new_with_free_func(replica_item_free);
	const struct replica_item *item;
	struct item_page page;
	size_t kept = 0;

	CU_ASSERT_TRUE(
	    item_page_read(str_from(text), "items", items, &page, NULL));
	CU_ASSERT_EQUAL_FATAL(items->len, 1);
	item = items->pdata[0];
	CU_ASSERT_PTR_NOT_NULL_FATAL(item->value);
	kept = g_bytes_get_size(item->value);
	item_page_clear(&page);
	g_ptr_array_unref(items);
	g_free(text);
	g_free(encoded);
	g_free(value);
	return kept;
}

/*
 * Any number of large values may be in the store: those that name no upstream
 * are not kept.
 */
static void
test_unused_values_are_not_kept(void)
{
	CU_ASSERT_EQUAL(kept_bytes("op/config", VALUE_BYTES), VALUE_BYTES);
	CU_ASSERT_EQUAL(kept_bytes("servers/i-1", 400), 400);
	CU_ASSERT_TRUE(kept_bytes("servers/i-1", VALUE_BYTES) < KEPT_BYTES_MAX);
	CU_ASSERT_TRUE(kept_bytes("elsewhere", VALUE_BYTES) < KEPT_BYTES_MAX);
	CU_ASSERT_TRUE(
	    kept_bytes("op/evacuate/a", VALUE_BYTES) < KEPT_BYTES_MAX);
}

static const struct test_case cases[] = {
	{ "values", test_values },
	{ "elements of a page", test_elements_of_a_page },
	{ "unused values are not kept", test_unused_values_are_not_kept },
	{ NULL, NULL },
};

int
main(void)
{
	counted_json_init();
	return harness_run("item memory", cases);
}
