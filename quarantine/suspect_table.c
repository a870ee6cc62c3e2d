#include "quarantine/suspect_table.h"

enum {
	SUSPECTS_MAX = 512,
};

static guint
key_hash(const void *key)
{
	return (guint)((const struct request_key *)key)->low;
}

static gboolean
key_equal(const void *a, const void *b)
{
	return request_key_equal(
	    *(const struct request_key *)a, *(const struct request_key *)b);
}

/*
 * Return an empty table.
 */
struct suspect_table *
suspect_table_new(void)
{
	struct suspect_table *table = g_new0(struct suspect_table, 1);

	table->by_key = g_hash_table_new(key_hash, key_equal);
	table->all = g_ptr_array_new_with_free_func(g_free);
	return table;
}

/*
 * Free a table. NULL is allowed.
 */
void
suspect_table_free(struct suspect_table *table)
{
	if (table == NULL)
		return;
	g_hash_table_destroy(table->by_key);
	g_ptr_array_unref(table->all);
	g_free(table);
}

/*
 * Return the suspect with a key.
 */
struct suspect *
suspect_table_find(const struct suspect_table *table, struct request_key key)
{
	return g_hash_table_lookup(table->by_key, &key);
}

/*
 * Remove a suspect and free it.
 */
void
suspect_table_remove_at(struct suspect_table *table, guint index)
{
	struct suspect *suspect = table->all->pdata[index];

	g_hash_table_remove(table->by_key, &suspect->key);
	g_ptr_array_remove_index_fast(table->all, index);
}

/* Is a less worth keeping than b? */
static bool
is_less_suspect(const struct suspect *a, const struct suspect *b)
{
	if (a->quarantined != b->quarantined)
		return b->quarantined;
	if (suspect_open_count(a) != suspect_open_count(b))
		return suspect_open_count(a) < suspect_open_count(b);
	return a->seen_ms < b->seen_ms;
}

static void
make_room(struct suspect_table *table)
{
	guint least = 0;

	if (table->all->len < SUSPECTS_MAX)
		return;
	for (guint i = 1; i < table->all->len; i++) {
		if (is_less_suspect(
			table->all->pdata[i], table->all->pdata[least]))
			least = i;
	}
	suspect_table_remove_at(table, least);
}

/*
 * Return the suspect with a key, a new one if there is none.
 */
struct suspect *
suspect_table_find_or_add(struct suspect_table *table, struct request_key key)
{
	struct suspect *suspect = suspect_table_find(table, key);

	if (suspect != NULL)
		return suspect;
	make_room(table);
	suspect = g_new0(struct suspect, 1);
	suspect->key = key;
	g_ptr_array_add(table->all, suspect);
	g_hash_table_insert(table->by_key, &suspect->key, suspect);
	return suspect;
}
