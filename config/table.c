#include <string.h>

#include "config/table.h"

enum {
	BLOCK_ENTRIES = 128,
};

struct block {
	int refs;
	size_t count;
	struct entry *entries[BLOCK_ENTRIES];
};

struct table {
	int refs;
	size_t entry_count;
	size_t block_count;
	size_t block_capacity;
	struct block **blocks;   /* none is empty */
	struct record **records; /* created on demand by table_records */
};

/* Where an entry is, or would be inserted. */
struct position {
	size_t block;
	size_t index;
	bool found;
};

static void
block_unref(struct block *block)
{
	if (!g_atomic_int_dec_and_test(&block->refs))
		return;
	for (size_t i = 0; i < block->count; i++)
		entry_unref(block->entries[i]);
	g_free(block);
}

/*
 * Return an empty table with one reference.
 */
struct table *
table_new(void)
{
	struct table *table = g_new0(struct table, 1);

	table->refs = 1;
	return table;
}

/*
 * Add a reference. While a table is shared, a change is made to a copy of it.
 */
struct table *
table_ref(struct table *table)
{
	g_atomic_int_inc(&table->refs);
	return table;
}

/*
 * Drop one reference and free the table with the last one.
 */
void
table_unref(struct table *table)
{
	if (!g_atomic_int_dec_and_test(&table->refs))
		return;
	for (size_t i = 0; i < table->block_count; i++)
		block_unref(table->blocks[i]);
	g_free(table->blocks);
	g_free(table->records);
	g_free(table);
}

/*
 * Return the number of entries.
 */
size_t
table_count(const struct table *table)
{
	return table->entry_count;
}

/*
 * Return the index of the last block whose first key is less than or equal to
 * the given one, or of the first block.
 */
static size_t
find_block(const struct table *table, struct str key)
{
	size_t low = 0;
	size_t high = table->block_count;

	while (high - low > 1) {
		size_t middle = low + (high - low) / 2;
		struct str first = table->blocks[middle]->entries[0]->key;

		if (str_compare(first, key) <= 0)
			low = middle;
		else
			high = middle;
	}
	return low;
}

static struct position
find_position(const struct table *table, struct str key)
{
	struct position position = { 0 };
	const struct block *block;
	size_t high;

	if (table->block_count == 0)
		return position;
	position.block = find_block(table, key);
	block = table->blocks[position.block];
	high = block->count;
	while (position.index < high) {
		size_t middle = position.index + (high - position.index) / 2;
		int order = str_compare(block->entries[middle]->key, key);

		if (order == 0) {
			position.index = middle;
			position.found = true;
			return position;
		}
		if (order < 0)
			position.index = middle + 1;
		else
			high = middle;
	}
	return position;
}

/*
 * Return the entry of a key, or NULL. It is valid as long as the table.
 */
struct entry *
table_find(const struct table *table, struct str key)
{
	struct position position = find_position(table, key);

	return position.found
	    ? table->blocks[position.block]->entries[position.index]
	    : NULL;
}

/*
 * Return the first entry whose key is greater than or equal to the given one,
 * or NULL.
 */
struct entry *
table_find_from(const struct table *table, struct str key)
{
	struct position position = find_position(table, key);

	if (table->block_count == 0)
		return NULL;
	if (position.index == table->blocks[position.block]->count) {
		position.block++;
		position.index = 0;
	}
	return position.block < table->block_count
	    ? table->blocks[position.block]->entries[position.index]
	    : NULL;
}

/*
 * Return all records in the order of their keys, followed by NULL. The first
 * call, on any thread, builds the array, which is valid as long as the table.
 */
struct record *const *
table_records(struct table *table)
{
	struct record **records = g_atomic_pointer_get(&table->records);
	size_t count = 0;

	if (records != NULL)
		return records;
	records = g_new(struct record *, table->entry_count + 1);
	for (size_t i = 0; i < table->block_count; i++) {
		const struct block *block = table->blocks[i];

		for (size_t j = 0; j < block->count; j++)
			records[count++] = block->entries[j]->record;
	}
	records[count] = NULL;
	if (!g_atomic_pointer_compare_and_exchange(
		&table->records, NULL, records)) {
		g_free(records);
		records = g_atomic_pointer_get(&table->records);
	}
	return records;
}

/*
 * Replace *table by a copy if it is shared.
 */
static void
table_unshare(struct table **table)
{
	struct table *shared = *table;
	struct table *copy;

	if (g_atomic_int_get(&shared->refs) == 1) {
		g_clear_pointer(&shared->records, g_free);
		return;
	}
	copy = table_new();
	copy->entry_count = shared->entry_count;
	copy->block_count = shared->block_count;
	copy->block_capacity = shared->block_count + 1;
	copy->blocks = g_new0(struct block *, copy->block_capacity);
	for (size_t i = 0; i < shared->block_count; i++) {
		copy->blocks[i] = shared->blocks[i];
		g_atomic_int_inc(&copy->blocks[i]->refs);
	}
	*table = copy;
	table_unref(shared);
}

/*
 * Replace a block of an unshared table by a copy if it is shared; return the
 * block.
 */
static struct block *
block_unshare(struct table *table, size_t index)
{
	struct block *shared;
	struct block *copy;

	g_assert(index < table->block_count);
	shared = table->blocks[index];
	if (g_atomic_int_get(&shared->refs) == 1)
		return shared;
	copy = g_memdup2(shared, sizeof(*shared));
	copy->refs = 1;
	for (size_t i = 0; i < copy->count; i++)
		entry_ref(copy->entries[i]);
	table->blocks[index] = copy;
	block_unref(shared);
	return copy;
}

static void
insert_block(struct table *table, size_t index, struct block *block)
{
	size_t tail = table->block_count - index;

	if (table->block_count == table->block_capacity) {
		table->block_capacity = 2 * table->block_capacity + 1;
		table->blocks = g_renew(
		    struct block *, table->blocks, table->block_capacity);
	}
	memmove(&table->blocks[index + 1], &table->blocks[index],
	    tail * sizeof(struct block *));
	table->blocks[index] = block;
	table->block_count++;
}

/*
 * Move the upper half of a full block to a new block after it, and adjust the
 * position.
 */
static void
split_block(struct table *table, struct position *position)
{
	struct block *block = table->blocks[position->block];
	struct block *upper = g_new0(struct block, 1);
	size_t half = block->count / 2;

	upper->refs = 1;
	upper->count = block->count - half;
	memcpy(upper->entries, &block->entries[half],
	    upper->count * sizeof(struct entry *));
	block->count = half;
	insert_block(table, position->block + 1, upper);
	if (position->index > half) {
		position->block++;
		position->index -= half;
	}
}

/*
 * Insert an entry, or replace the one with its key; takes ownership of the
 * reference.
 */
void
table_put(struct table **table, struct entry *entry)
{
	struct position position = find_position(*table, entry->key);
	struct block *block;

	table_unshare(table);
	if ((*table)->block_count == 0) {
		block = g_new0(struct block, 1);
		block->refs = 1;
		insert_block(*table, 0, block);
	}
	block = block_unshare(*table, position.block);
	if (position.found) {
		entry_unref(block->entries[position.index]);
		block->entries[position.index] = entry;
		return;
	}
	if (block->count == BLOCK_ENTRIES) {
		split_block(*table, &position);
		block = (*table)->blocks[position.block];
	}
	memmove(&block->entries[position.index + 1],
	    &block->entries[position.index],
	    (block->count - position.index) * sizeof(struct entry *));
	block->entries[position.index] = entry;
	block->count++;
	(*table)->entry_count++;
}

/*
 * Remove the entry of a key, if there is one.
 */
void
table_remove(struct table **table, struct str key)
{
	struct position position = find_position(*table, key);
	struct block *block;

	if (!position.found)
		return;
	table_unshare(table);
	block = block_unshare(*table, position.block);
	entry_unref(block->entries[position.index]);
	block->count--;
	(*table)->entry_count--;
	memmove(&block->entries[position.index],
	    &block->entries[position.index + 1],
	    (block->count - position.index) * sizeof(struct entry *));
	if (block->count > 0)
		return;
	block_unref(block);
	(*table)->block_count--;
	memmove(&(*table)->blocks[position.block],
	    &(*table)->blocks[position.block + 1],
	    ((*table)->block_count - position.block) * sizeof(struct block *));
}

/*
 * Return a mutable entry for a key, or NULL. It is valid until the table
 * changes again or is shared.
 */
struct entry *
table_edit(struct table **table, struct str key)
{
	struct position position = find_position(*table, key);
	struct entry **slot;
	struct entry *shared;

	if (!position.found)
		return NULL;
	table_unshare(table);
	slot = &block_unshare(*table, position.block)->entries[position.index];
	shared = *slot;
	if (g_atomic_int_get(&shared->refs) > 1) {
		*slot = entry_copy(shared);
		entry_unref(shared);
	}
	return *slot;
}
