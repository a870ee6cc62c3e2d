#include <glib.h>
#include <string.h>
#include <sys/random.h>
#include <xxhash.h>

#include "fleet/key_table.h"

struct key_table {
	GHashTable *entries; /* set of struct key_entry */
};

struct key_entry {
	XXH128_hash_t hash;
	struct str key;
	const struct workspace *workspace;
};

static uint64_t
process_seed(void)
{
	static gsize done;
	static uint64_t seed;

	if (g_once_init_enter(&done)) {
		if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed))
			seed = (uint64_t)g_get_monotonic_time();
		g_once_init_leave(&done, 1);
	}
	return seed;
}

static struct key_entry
entry_make(struct str key)
{
	return (struct key_entry){
		.hash = XXH3_128bits_withSeed(key.ptr, key.len, process_seed()),
		.key = key,
	};
}

static guint
entry_hash(const void *entry)
{
	return (guint)((const struct key_entry *)entry)->hash.low64;
}

/* Compare all bytes, wherever the first difference is. */
static bool
bytes_equal_constant_time(struct str a, struct str b)
{
	volatile unsigned char difference = 0;

	if (a.len != b.len)
		return false;
	for (size_t i = 0; i < a.len; i++)
		difference |= (unsigned char)(a.ptr[i] ^ b.ptr[i]);
	return difference == 0;
}

static gboolean
entry_equal(const void *a, const void *b)
{
	const struct key_entry *left = a, *right = b;

	return XXH128_isEqual(left->hash, right->hash) &&
	    bytes_equal_constant_time(left->key, right->key);
}

static void
entry_free(void *data)
{
	struct key_entry *entry = data;

	str_release(&entry->key);
	g_free(entry);
}

/*
 * Return an empty table.
 */
struct key_table *
key_table_new(void)
{
	struct key_table *table = g_new0(struct key_table, 1);

	table->entries =
	    g_hash_table_new_full(entry_hash, entry_equal, entry_free, NULL);
	return table;
}

/*
 * Free a table. NULL is allowed.
 */
void
key_table_free(struct key_table *table)
{
	if (table == NULL)
		return;
	g_hash_table_destroy(table->entries);
	g_free(table);
}

/*
 * Add a key of a workspace, which must outlive the table. Returns false, and
 * changes nothing, if the key is held already.
 */
bool
key_table_add(
    struct key_table *table, struct str key, const struct workspace *workspace)
{
	struct key_entry *entry;

	if (key_table_find(table, key) != NULL)
		return false;
	entry = g_new0(struct key_entry, 1);
	*entry = entry_make(str_dup(key));
	entry->workspace = workspace;
	g_hash_table_add(table->entries, entry);
	return true;
}

/*
 * Return the workspace that holds a key, borrowed, or NULL.
 */
const struct workspace *
key_table_find(const struct key_table *table, struct str key)
{
	struct key_entry wanted = entry_make(key);
	const struct key_entry *entry =
	    g_hash_table_lookup(table->entries, &wanted);

	return entry == NULL ? NULL : entry->workspace;
}

/*
 * Return the number of keys.
 */
size_t
key_table_count(const struct key_table *table)
{
	return g_hash_table_size(table->entries);
}

/*
 * Call visit for each key, in no particular order. It must not change the
 * table.
 */
void
key_table_visit(const struct key_table *table,
    void (*visit)(void *arg, struct str key, const struct workspace *workspace),
    void *arg)
{
	GHashTableIter iter;
	void *item;

	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		const struct key_entry *entry = item;

		visit(arg, entry->key, entry->workspace);
	}
}

/*
 * Write a short digest of a key.
 */
void
key_digest_format(struct str key, char text[KEY_DIGEST_TEXT_MAX])
{
	char *digest = g_compute_checksum_for_data(
	    G_CHECKSUM_SHA256, (const guchar *)key.ptr, key.len);

	g_strlcpy(text, digest, KEY_DIGEST_TEXT_MAX);
	g_free(digest);
}
