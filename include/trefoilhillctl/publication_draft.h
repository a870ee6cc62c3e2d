#ifndef TREFOILHILL_TREFOILHILLCTL_PUBLICATION_DRAFT_H
#define TREFOILHILL_TREFOILHILLCTL_PUBLICATION_DRAFT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/* One publication made of files, and which file each record came from. */
struct publication_draft {
	json_t *set;
	json_t *remove;
	GHashTable *files; /* "kind/name" to file names */
	char *single_file; /* when one file is read, else NULL */
	guint file_count;
};

void publication_draft_init(struct publication_draft *draft);
void publication_draft_clear(struct publication_draft *draft);
bool publication_draft_add_file(
    struct publication_draft *draft, const char *path, GError **error);
/* The whole as the platform takes it, to be freed with free. */
char *publication_draft_serialize(
    const struct publication_draft *draft, GError **error);
/* Where a record stands; "-" when that is unknown. */
const char *publication_draft_find_file(
    const struct publication_draft *draft, const char *record);
/* "kind/name", to be freed with g_free; NULL when it has no such members. */
char *record_key(const json_t *record);

#endif
