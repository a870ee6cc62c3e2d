#ifndef TREFOILHILL_CONFIG_CHECK_COMPARE_H
#define TREFOILHILL_CONFIG_CHECK_COMPARE_H

#include <glib.h>

#include "trefoilhill-config-check/finding.h"

/* A field of an entry of a configuration, such as a route. */
struct compared_field {
	const char *name; /* as in the configuration's text */
	/* Return the value as text, to be freed with g_free. */
	char *(*format)(const void *entry);
	/* Return why the change is risky, or NULL. May be NULL. */
	const char *(*risk)(const void *before, const void *after);
};

/* Kind of entries that a configuration has a table of. */
struct compared_kind {
	const char *place; /* prefix of the place of a finding */
	const char *added, *removed, *changed, *risky; /* names of checks */
	const char *removal_risk;                      /* NULL: none */
	const struct compared_field *fields; /* ends with a name of NULL */
};

/* Add a finding for each field that differs. */
void entry_compare(const struct compared_kind *kind, const char *place,
    const void *before, const void *after, struct finding_list *findings);
/* Compare two tables of entries by name. */
void table_compare(const struct compared_kind *kind, GHashTable *before,
    GHashTable *after, struct finding_list *findings);

#endif
