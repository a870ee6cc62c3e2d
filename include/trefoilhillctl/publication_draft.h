#ifndef TREFOILHILL_TREFOILHILLCTL_PUBLICATION_DRAFT_H
#define TREFOILHILL_TREFOILHILLCTL_PUBLICATION_DRAFT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/* A publication assembled from files, with the source file of each record. */
struct publication_draft {
	json_t *set;
	json_t *remove;
	GHashTable *files; /* "kind/name" to comma-separated file names */
	char *single_file; /* the file if only one was added, else NULL */
	guint file_count;
};

void publication_draft_init(struct publication_draft *draft);
void publication_draft_clear(struct publication_draft *draft);
bool publication_draft_add_file(
    struct publication_draft *draft, const char *path, GError **error);
/* Returns the publication in the platform's format. Free it with free. */
char *publication_draft_serialize(
    const struct publication_draft *draft, GError **error);
/* Returns the source file of a record given as "kind/name", "-" if unknown. */
const char *publication_draft_find_file(
    const struct publication_draft *draft, const char *record);
/*
 * Returns "kind/name", or NULL if the record lacks one of these members. Free
 * it with g_free.
 */
char *record_key(const json_t *record);

#endif
