#include <string.h>

#include "harness.h"
#include "fleet/source.h"
#include "platform/item_page.h"

enum {
	NESTING = 100000, /* far beyond what a JSON parser follows */
	GOOD_COUNT = 3,
};

static const char *const good[GOOD_COUNT] = {
	"{\"key\":\"servers/a\",\"value\":\"e30=\",\"revision\":3}",
	"{\"key\":\"servers/b\",\"value\":\"\",\"revision\":9,\"lease\":0}",
	"{\"key\":\"servers/c\",\"revision\":12,\"deleted\":true}",
};

/* Elements that hold no item; %s is replaced by deep nesting. */
static const char *const odd[] = {
	"null",
	"1",
	"\"x\"",
	"[]",
	"{}",
	"{\"key\":\"k\",\"value\":\"e30=\"}",
	"{\"key\":\"k\",\"revision\":4}",
	"{\"key\":\"\",\"value\":\"e30=\",\"revision\":4}",
	"{\"key\":7,\"value\":\"e30=\",\"revision\":4}",
	"{\"key\":null,\"value\":\"e30=\",\"revision\":4}",
	"{\"key\":\"a\\u0000b\",\"value\":\"e30=\",\"revision\":4}",
	"{\"key\":\"\\u0000\",\"value\":\"e30=\",\"revision\":4}",
	"{\"key\":\"\\ud800\",\"value\":\"e30=\",\"revision\":4}",
	"{\"key\":\"\xff\",\"value\":\"e30=\",\"revision\":4}",
	"{\"key\":\"k\",\"value\":7,\"revision\":4}",
	"{\"key\":\"k\",\"value\":null,\"revision\":4}",
	"{\"key\":\"k\",\"value\":\"e30=\",\"revision\":-1}",
	"{\"key\":\"k\",\"value\":\"e30=\",\"revision\":4.5}",
	"{\"key\":\"k\",\"value\":\"e30=\",\"revision\":\"4\"}",
	"{\"key\":\"k\",\"value\":\"e30=\",\"revision\":9223372036854775808}",
	"{\"key\":\"k\",\"value\":\"e30=\",\"revision\":1e400}",
	"{\"key\":\"k\",\"value\":\"e30=\",\"revision\":4,\"x\":%s}",
	"{\"key\":%s,\"value\":\"e30=\",\"revision\":4}",
	"%s",
};

/* Return an element with deep nesting filled in, to be freed with g_free. */
static char *
make_odd(const char *format)
{
	char *open = g_strnfill(NESTING, '[');
	char *close = g_strnfill(NESTING, ']');
	char *deep = g_strconcat(open, close, NULL);
	char **parts = g_strsplit(format, "%s", 2);
	char *text = g_strjoinv(deep, parts);

	g_strfreev(parts);
	g_free(deep);
	g_free(close);
	g_free(open);
	return text;
}

/* Return a page of the good elements with one more before them, or after. */
static char *
make_page(const char *element, size_t before)
{
	GString *text = g_string_new("{\"items\":[");

	for (size_t i = 0; i <= GOOD_COUNT; i++) {
		if (i == before)
			g_string_append_printf(
			    text, "%s%s", i > 0 ? "," : "", element);
		if (i < GOOD_COUNT)
			g_string_append_printf(text, "%s%s",
			    i > 0 || before == 0 ? "," : "", good[i]);
	}
	g_string_append(text, "],\"hasMore\":true,\"at\":530}");
	return g_string_free(text, FALSE);
}

static void
check_good(const GPtrArray *items)
{
	static const char *const keys[GOOD_COUNT] = {
		"servers/a",
		"servers/b",
		"servers/c",
	};

	CU_ASSERT_EQUAL_FATAL(items->len, GOOD_COUNT);
	for (guint i = 0; i < GOOD_COUNT; i++) {
		const struct replica_item *item = items->pdata[i];

		CU_ASSERT_STRING_EQUAL(item->key, keys[i]);
		CU_ASSERT_EQUAL(item->value == NULL, i == 2);
	}
}

/*
 * One element that can't be decoded, at any place, must not cost the others:
 * a node that rejects the page stops following the store.
 */
static void
test_odd_element_costs_no_other(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		char *element = make_odd(odd[i]);

		for (size_t before = 0; before <= GOOD_COUNT; before++) {
			char *text = make_page(element, before);
			GPtrArray *items =
			    g_ptr_array_new_with_free_func(replica_item_free);
			struct item_page page;
			GError *error = NULL;

			CU_ASSERT_TRUE(item_page_read(
			    str_from(text), "items", items, &page, &error));
			CU_ASSERT_PTR_NULL(error);
			CU_ASSERT_EQUAL(page.skipped_count, 1);
			CU_ASSERT_EQUAL(page.revision, 530);
			CU_ASSERT_TRUE(page.has_more);
			check_good(items);
			item_page_clear(&page);
			g_ptr_array_unref(items);
			g_free(text);
		}
		g_free(element);
	}
}

/* The next page begins behind the last key, also if that names no item. */
static void
test_last_key(void)
{
	static const char text[] =
	    "{\"at\":1,\"items\":[{\"key\":\"a\",\"value\":\"\","
	    "\"revision\":1},{\"key\":\"b/\\u0000 c\",\"revision\":1},7]}";
	GPtrArray *items = g_ptr_array_new_with_free_func(replica_item_free);
	struct item_page page;

	CU_ASSERT_TRUE_FATAL(
	    item_page_read(str_from(text), "items", items, &page, NULL));
	CU_ASSERT_STRING_EQUAL(page.last_key, "b%2F%00%20c");
	CU_ASSERT_EQUAL(items->len, 1);
	CU_ASSERT_EQUAL(page.skipped_count, 2);
	CU_ASSERT_FALSE(page.has_more);
	item_page_clear(&page);
	g_ptr_array_unref(items);
}

/* Without its revision or its list, or cut off, a page says nothing. */
static void
test_malformed_page_is_rejected(void)
{
	static const char *const pages[] = {
		"",
		"null",
		"[]",
		"{}",
		"{\"at\":1}",
		"{\"items\":[]}",
		"{\"at\":1,\"items\":{}}",
		"{\"at\":1,\"items\":[]",
		"{\"at\":1,\"items\":[}",
		"{\"at\":1,\"items\":[]}}",
		"{\"at\":-1,\"items\":[]}",
		"{\"at\":1.5,\"items\":[]}",
		"{\"at\":\"1\",\"items\":[]}",
		"{\"at\":99999999999999999999,\"items\":[]}",
		"{\"at\":1,\"items\":[{\"key\":\"a\"",
		"{\"at\":1,\"events\":[]}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
		GPtrArray *items =
		    g_ptr_array_new_with_free_func(replica_item_free);
		struct item_page page;
		GError *error = NULL;

		CU_ASSERT_FALSE(item_page_read(
		    str_from(pages[i]), "items", items, &page, &error));
		CU_ASSERT_PTR_NOT_NULL(error);
		g_clear_error(&error);
		item_page_clear(&page);
		g_ptr_array_unref(items);
	}
}

static const struct test_case cases[] = {
	{ "odd element costs no other", test_odd_element_costs_no_other },
	{ "last key", test_last_key },
	{ "malformed page is rejected", test_malformed_page_is_rejected },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("item page", cases);
}
