#include <string.h>

#include "harness.h"
#include "trefoilhilld/setting_desc.h"

/*
 * Returns the line of a key in its section, to be freed with g_free, or NULL if
 * the page does not document it.
 */
static char *
page_line(const char *page, const char *section, const char *key)
{
	char *head = g_strdup_printf("\n# [%s]\n", section);
	char *start = g_strdup_printf("\n*%s* ", key);
	const char *from = strstr(page, head);
	const char *end = from == NULL ? NULL : strstr(from + 1, "\n# ");
	const char *line = from == NULL ? NULL : strstr(from, start);
	char *found = NULL;

	if (line != NULL && (end == NULL || line < end))
		found = g_strndup(line + 1, strcspn(line + 1, "\n"));
	g_free(head);
	g_free(start);
	return found;
}

static void
check_line(const struct setting_desc *desc, const char *line)
{
	char *fallback = g_strdup_printf("default %s",
	    desc->default_value == NULL ? "" : desc->default_value);
	char *bounds = g_strdup_printf(" %u to %u, ", desc->min, desc->max);

	if (desc->default_value == NULL)
		CU_ASSERT_TRUE(g_str_has_suffix(line, ", required"));
	if (desc->default_value != NULL && *desc->default_value == '\0') {
		CU_ASSERT_TRUE(g_str_has_suffix(line, "default none"));
	} else if (desc->default_value != NULL) {
		CU_ASSERT_TRUE(g_str_has_suffix(line, fallback));
	}
	if (desc->type == SETTING_NUMBER || desc->type == SETTING_DURATION ||
	    desc->type == SETTING_AMOUNT)
		CU_ASSERT_PTR_NOT_NULL(strstr(line, bounds));
	for (size_t i = 0;
	     desc->type == SETTING_CHOICE && desc->choices[i] != NULL; i++)
		CU_ASSERT_PTR_NOT_NULL(strstr(line, desc->choices[i]));
	g_free(fallback);
	g_free(bounds);
}

/* The man page documents every key with its default and bounds. */
static void
test_settings_page_is_complete(void)
{
	char *page = NULL;

	CU_ASSERT_TRUE_FATAL(
	    g_file_get_contents(SETTINGS_PAGE, &page, NULL, NULL));
	for (size_t i = 0; i < setting_desc_count; i++) {
		const struct setting_desc *desc = &setting_descs[i];
		char *line = page_line(page, desc->section, desc->key);

		CU_ASSERT_PTR_NOT_NULL(line);
		if (line != NULL)
			check_line(desc, line);
		g_free(line);
	}
	g_free(page);
}

static const struct test_case cases[] = {
	{ "settings page is complete", test_settings_page_is_complete },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("man", cases);
}
