#include <string.h>

#include "trefoilhill-config-check/check.h"
#include "trefoilhill-config-check/compare.h"

/*
 * Add a finding for each field that differs between two entries.
 */
void
entry_compare(const struct compared_kind *kind, const char *place,
    const void *before, const void *after, struct finding_list *findings)
{
	for (const struct compared_field *field = kind->fields;
	     field->name != NULL; field++) {
		char *from = field->format(before);
		char *to = field->format(after);
		const char *risk = NULL;

		if (strcmp(from, to) == 0)
			goto next;
		finding_list_add(findings, FINDING_CHANGE, kind->changed,
		    g_strdup(place),
		    g_strdup_printf("%s: %s -> %s", field->name, from, to));
		if (field->risk != NULL)
			risk = field->risk(before, after);
		if (risk != NULL)
			finding_list_add(findings, FINDING_WARNING, kind->risky,
			    g_strdup(place),
			    g_strdup_printf("%s: %s -> %s: %s", field->name,
				from, to, risk));
	next:
		g_free(from);
		g_free(to);
	}
}

static void
add_removal(const struct compared_kind *kind, const char *place,
    struct finding_list *findings)
{
	finding_list_add(findings, FINDING_CHANGE, kind->removed,
	    g_strdup(place), g_strdup("removed"));
	if (kind->removal_risk != NULL)
		finding_list_add(findings, FINDING_WARNING, kind->removed,
		    g_strdup(place),
		    g_strconcat("removed: ", kind->removal_risk, NULL));
}

/*
 * Compare two tables of entries: what is removed or changed first, then what
 * is added.
 */
void
table_compare(const struct compared_kind *kind, GHashTable *before,
    GHashTable *after, struct finding_list *findings)
{
	GList *old_names = config_sort_names(before);
	GList *new_names = config_sort_names(after);
	char *place;

	for (const GList *name = old_names; name != NULL; name = name->next) {
		const void *entry = g_hash_table_lookup(after, name->data);

		place = g_strconcat(kind->place, name->data, NULL);
		if (entry == NULL)
			add_removal(kind, place, findings);
		else
			entry_compare(kind, place,
			    g_hash_table_lookup(before, name->data), entry,
			    findings);
		g_free(place);
	}
	for (const GList *name = new_names; name != NULL; name = name->next)
		if (!g_hash_table_contains(before, name->data))
			finding_list_add(findings, FINDING_CHANGE, kind->added,
			    g_strconcat(kind->place, name->data, NULL),
			    g_strdup("added"));
	g_list_free(old_names);
	g_list_free(new_names);
}
