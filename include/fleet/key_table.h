#ifndef TREFOILHILL_FLEET_KEY_TABLE_H
#define TREFOILHILL_FLEET_KEY_TABLE_H

#include "common/str.h"
#include "fleet/workspace.h"

/*
 * Keys of workspaces. Finding one takes the same time however many there are,
 * and tells nothing of a key by its duration: keys are found by a hash that is
 * seeded anew in each process, then compared in constant time.
 */
struct key_table;

enum {
	KEY_DIGEST_TEXT_MAX = 9, /* with the terminating NUL */
};

struct key_table *key_table_new(void);
/* NULL is allowed. */
void key_table_free(struct key_table *table);
/* Copies the key, borrows the workspace. False if the key is held already. */
bool key_table_add(
    struct key_table *table, struct str key, const struct workspace *workspace);
/* Workspace that holds the key, borrowed, or NULL. */
const struct workspace *key_table_find(
    const struct key_table *table, struct str key);
size_t key_table_count(const struct key_table *table);
/* Call visit for each key, in no particular order. */
void key_table_visit(const struct key_table *table,
    void (*visit)(void *arg, struct str key, const struct workspace *workspace),
    void *arg);
/*
 * Write 8 hexadecimal digits that distinguish keys in logs, which must not
 * contain them: the first of the key's SHA-256, the same in each process.
 */
void key_digest_format(struct str key, char text[KEY_DIGEST_TEXT_MAX]);

#endif
