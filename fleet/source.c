#include "fleet/source.h"

static const char *const status_names[] = {
	[SOURCE_OK] = "ok",
	[SOURCE_COMPACTED] = "compacted",
	[SOURCE_TOO_LARGE] = "too_large",
	[SOURCE_BUSY] = "busy",
	[SOURCE_UNREACHABLE] = "lost",
	[SOURCE_REFUSED] = "refused",
	[SOURCE_INVALID] = "invalid",
};

/*
 * Return the name of a status, as used in logs.
 */
const char *
source_status_name(enum source_status status)
{
	return status_names[status];
}

/*
 * Return a new item with a copy of the key and a reference to the value. A
 * value of NULL makes it a deletion.
 */
struct replica_item *
replica_item_new(const char *key, GBytes *value, uint64_t revision)
{
	struct replica_item *item = g_new0(struct replica_item, 1);

	item->key = g_strdup(key);
	item->value = value == NULL ? NULL : g_bytes_ref(value);
	item->revision = revision;
	return item;
}

/*
 * Free an item. Usable as a GDestroyNotify.
 */
void
replica_item_free(void *data)
{
	struct replica_item *item = data;

	g_free(item->key);
	if (item->value != NULL)
		g_bytes_unref(item->value);
	if (item->compressed != NULL)
		g_bytes_unref(item->compressed);
	g_free(item);
}
