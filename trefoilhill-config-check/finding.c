#include "trefoilhill-config-check/finding.h"

static const char *const level_names[FINDING_LEVELS] = {
	[FINDING_ERROR] = "error",
	[FINDING_WARNING] = "warning",
	[FINDING_CHANGE] = "change",
};

static void
finding_free(void *data)
{
	struct finding *finding = data;

	g_free(finding->place);
	g_free(finding->text);
	g_free(finding);
}

/*
 * Initialise an empty list.
 */
void
finding_list_init(struct finding_list *list)
{
	*list = (struct finding_list){
		.items = g_ptr_array_new_with_free_func(finding_free),
	};
}

/*
 * Release the memory of a list.
 */
void
finding_list_clear(struct finding_list *list)
{
	g_ptr_array_unref(list->items);
}

/*
 * Make text fit for a terminal and for JSON. Names of routes may contain
 * control characters and invalid UTF-8; place and text are replaced.
 */
static char *
text_sanitize(char *text)
{
	char *valid = g_utf8_make_valid(text, -1);

	for (char *c = valid; *c != '\0'; c++)
		if (g_ascii_iscntrl(*c))
			*c = '?';
	g_free(text);
	return valid;
}

/*
 * Add a finding. The list takes over place and text.
 */
void
finding_list_add(struct finding_list *list, enum finding_level level,
    const char *check, char *place, char *text)
{
	struct finding *finding = g_new0(struct finding, 1);

	*finding = (struct finding){
		.level = level,
		.check = check,
		.place = text_sanitize(place),
		.text = text_sanitize(text),
	};
	g_ptr_array_add(list->items, finding);
	list->counts[level]++;
}

/*
 * Print the findings, errors first.
 */
void
finding_list_print(const struct finding_list *list, FILE *out)
{
	for (int level = 0; level < FINDING_LEVELS; level++) {
		for (guint i = 0; i < list->items->len; i++) {
			const struct finding *finding = list->items->pdata[i];

			if ((int)finding->level == level)
				fprintf(out, "%s: %s: %s [%s]\n",
				    level_names[level], finding->place,
				    finding->text, finding->check);
		}
	}
	fprintf(out, "%u errors, %u warnings, %u changes\n",
	    list->counts[FINDING_ERROR], list->counts[FINDING_WARNING],
	    list->counts[FINDING_CHANGE]);
}

/*
 * Return the findings as a JSON object.
 */
json_t *
finding_list_to_json(const struct finding_list *list)
{
	json_t *items = json_array();

	for (guint i = 0; i < list->items->len; i++) {
		const struct finding *finding = list->items->pdata[i];

		json_array_append_new(items,
		    json_pack("{s:s,s:s,s:s,s:s}", "level",
			level_names[finding->level], "check", finding->check,
			"place", finding->place, "text", finding->text));
	}
	return json_pack("{s:i,s:i,s:i,s:o}", "errors",
	    (int)list->counts[FINDING_ERROR], "warnings",
	    (int)list->counts[FINDING_WARNING], "changes",
	    (int)list->counts[FINDING_CHANGE], "findings", items);
}

/*
 * Return the program's exit status for these findings.
 */
int
finding_list_exit_status(const struct finding_list *list)
{
	if (list->counts[FINDING_ERROR] > 0)
		return 2;
	return list->counts[FINDING_WARNING] > 0 ? 1 : 0;
}
