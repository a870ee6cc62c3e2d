#include <string.h>

#include "harness.h"
#include "standin-platform/change_log.h"

static uint64_t
publish(struct change_log *log, const char *text)
{
	json_t *json = json_loads(text, 0, NULL);
	uint64_t revision;

	CU_ASSERT_PTR_NOT_NULL_FATAL(json);
	revision = change_log_append(
	    log, json_object_get(json, "set"), json_object_get(json, "remove"));
	json_decref(json);
	return revision;
}

/* Check the changes after a revision; NULL expects compacted ones. */
static void
expect_changes(const struct change_log *log, uint64_t after, uint64_t visible,
    const char *expected)
{
	size_t len = 0;
	char *text = change_log_changes(log, after, visible, &len);

	CU_ASSERT_EQUAL(g_strcmp0(text, expected), 0);
	if (text != NULL)
		CU_ASSERT_EQUAL(len, strlen(text));
	g_free(text);
}

static void
expect_records(const struct change_log *log, const char *after, size_t limit,
    uint64_t at, const char *expected)
{
	json_t *page = change_log_records(log, after, limit, at);
	char *text = page == NULL ? NULL : json_dumps(page, JSON_COMPACT);

	CU_ASSERT_EQUAL(g_strcmp0(text, expected), 0);
	json_decref(page);
	free(text);
}

static void
test_changes_after_revision(void)
{
	struct change_log *log = change_log_new();

	expect_changes(log, 0, 0, "{\"revision\":0,\"changes\":[]}");
	CU_ASSERT_EQUAL(publish(log, "{\"set\":[1]}"), 1);
	CU_ASSERT_EQUAL(publish(log, "{\"remove\":[2]}"), 2);
	expect_changes(log, 1, 2,
	    "{\"revision\":2,\"changes\":"
	    "[{\"revision\":2,\"set\":[],\"remove\":[2]}]}");
	expect_changes(log, 0, 1,
	    "{\"revision\":1,\"changes\":"
	    "[{\"revision\":1,\"set\":[1],\"remove\":[]}]}");
	expect_changes(log, 2, 1, "{\"revision\":1,\"changes\":[]}");
	change_log_free(log);
}

static void
test_compaction(void)
{
	struct change_log *log = change_log_new();

	change_log_set_limit(log, 2);
	for (int i = 0; i < 4; i++)
		publish(log, "{}");
	expect_changes(log, 1, 4, NULL);
	expect_changes(log, 3, 4,
	    "{\"revision\":4,\"changes\":"
	    "[{\"revision\":4,\"set\":[],\"remove\":[]}]}");
	expect_records(log, "", 9, 1, NULL);
	expect_records(
	    log, "", 9, 2, "{\"revision\":2,\"records\":[],\"next\":null}");
	change_log_free(log);
}

static void
test_records_paged_at_revision(void)
{
	struct change_log *log = change_log_new();

	publish(log,
	    "{\"set\":[{\"kind\":\"zone\",\"name\":\"b\"},"
	    "{\"kind\":\"zone\",\"name\":\"a\"}]}");
	publish(log, "{\"remove\":[{\"kind\":\"zone\",\"name\":\"a\"}]}");
	expect_records(log, "", 1, 1,
	    "{\"revision\":1,\"records\":[{\"revision\":1,\"record\":"
	    "{\"kind\":\"zone\",\"name\":\"a\"}}],\"next\":\"zone/a\"}");
	expect_records(log, "zone/a", 1, 1,
	    "{\"revision\":1,\"records\":[{\"revision\":1,\"record\":"
	    "{\"kind\":\"zone\",\"name\":\"b\"}}],\"next\":null}");
	expect_records(log, "", 9, 2,
	    "{\"revision\":2,\"records\":[{\"revision\":1,\"record\":"
	    "{\"kind\":\"zone\",\"name\":\"b\"}}],\"next\":null}");
	expect_records(log, "", 9, 3, NULL);
	change_log_free(log);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "changes after a revision", test_changes_after_revision },
		{ "compaction", test_compaction },
		{ "records: pages as of a revision",
		    test_records_paged_at_revision },
		{ NULL, NULL },
	};

	return harness_run("change_log", cases);
}
