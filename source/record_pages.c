#include "common/json_parse.h"
#include "source/response_reader.h"
#include "source/error.h"

/*
 * Return a read without pages, to be freed with record_pages_free.
 */
struct record_pages *
record_pages_new(void)
{
	struct record_pages *pages = g_new0(struct record_pages, 1);

	pages->records = g_array_new(FALSE, FALSE, sizeof(struct raw_record));
	return pages;
}

/*
 * Free a read with its records. NULL is allowed.
 */
void
record_pages_free(struct record_pages *pages)
{
	if (pages == NULL)
		return;
	for (size_t i = 0; i < pages->records->len; i++)
		json_decref(
		    g_array_index(pages->records, struct raw_record, i).record);
	g_array_unref(pages->records);
	g_free(pages->next);
	g_free(pages);
}

/*
 * Append one record of a page; false if it is invalid.
 */
static bool
pages_append_record(struct record_pages *pages, const json_t *json)
{
	const json_t *revision = json_object_get(json, "revision");
	json_t *record = json_object_get(json, "record");
	struct raw_record raw = {
		.revision = (uint64_t)json_integer_value(revision),
		.record = record,
	};

	if (!json_is_integer(revision) || json_integer_value(revision) < 0 ||
	    record == NULL)
		return false;
	json_incref(record);
	g_array_append_val(pages->records, raw);
	return true;
}

/*
 * Set the continuation key of the next page. It must be greater than that of
 * this page, so that a faulty platform can't keep a node reading forever.
 */
static bool
pages_set_next(struct record_pages *pages, const json_t *next)
{
	const char *key = json_string_value(next);

	if (next != NULL && !json_is_null(next) && key == NULL)
		return false;
	if (key != NULL && pages->next != NULL &&
	    str_compare(str_from(key), str_from(pages->next)) <= 0)
		return false;
	g_free(pages->next);
	pages->next = g_strdup(key);
	return true;
}

static bool
pages_parse_page(struct record_pages *pages, const json_t *root)
{
	const json_t *revision = json_object_get(root, "revision");
	const json_t *records = json_object_get(root, "records");
	uint64_t at = (uint64_t)json_integer_value(revision);
	const json_t *json;
	size_t i;

	if (!json_is_integer(revision) || json_integer_value(revision) < 0 ||
	    !json_is_array(records))
		return false;
	if (pages->next != NULL && at != pages->revision)
		return false;
	if (pages->records->len + json_array_size(records) > RECORDS_MAX)
		return false;
	pages->revision = at;
	json_array_foreach (records, i, json) {
		if (!pages_append_record(pages, json))
			return false;
	}
	return pages_set_next(pages, json_object_get(root, "next"));
}

/*
 * Parse one page and add it to a read. Returns false and sets a PLATFORM_ERROR
 * if the page is invalid or its revision differs from that of earlier pages.
 */
bool
record_pages_parse(struct record_pages *pages, struct str body, GError **error)
{
	json_t *root = json_parse(body, 0, NULL);
	bool valid = root != NULL && pages_parse_page(pages, root);

	if (!valid)
		g_set_error_literal(error, PLATFORM_ERROR,
		    PLATFORM_ERROR_RESPONSE, "invalid page of records");
	json_decref(root);
	return valid;
}
