#include "trefoilhill-proxy/message.h"

/*
 * revision, age, doubt, stopping; upstream and its load; whether items come
 * along, whether they are all, base; items of key, revision, deletion, value.
 */
#define MESSAGE_TYPE "(txxbs(uuuuuuub)bbta(stbay))"

static GVariant *
items_encode(const GPtrArray *items)
{
	GVariantBuilder builder;

	g_variant_builder_init(&builder, G_VARIANT_TYPE("a(stbay)"));
	for (guint i = 0; items != NULL && i < items->len; i++) {
		const struct replica_item *item = items->pdata[i];
		GBytes *empty = g_bytes_new_static("", 0);
		GVariant *value = g_variant_new_from_bytes(
		    G_VARIANT_TYPE_BYTESTRING,
		    item->value == NULL ? empty : item->value, TRUE);

		g_variant_builder_add(&builder, "(stb@ay)", item->key,
		    (guint64)item->revision, item->value == NULL, value);
		g_bytes_unref(empty);
	}
	return g_variant_builder_end(&builder);
}

/*
 * Return the bytes of a message.
 */
GBytes *
message_encode(const struct message *message)
{
	const struct load_report *load = &message->load;
	GVariant *variant = g_variant_new("(txxbs(uuuuuuub)bbt@a(stbay))",
	    (guint64)message->revision, (gint64)message->age_ms,
	    (gint64)message->doubt_ms, message->stopping,
	    message->upstream == NULL ? "" : message->upstream, load->limit,
	    load->in_flight, load->queued, load->latency_us, load->failing,
	    load->bulk_waiting, load->bulk_transfer_ms, load->accepting,
	    message->items != NULL, message->whole, (guint64)message->base,
	    items_encode(message->items));
	GBytes *bytes;

	g_variant_ref_sink(variant);
	bytes = g_variant_get_data_as_bytes(variant);
	g_variant_unref(variant);
	return bytes;
}

static GPtrArray *
items_decode(GVariant *list)
{
	GPtrArray *items = g_ptr_array_new_with_free_func(replica_item_free);
	GVariantIter iter;
	const char *key;
	guint64 revision;
	gboolean deleted;
	GVariant *value;

	g_variant_iter_init(&iter, list);
	while (g_variant_iter_next(
	    &iter, "(&stb@ay)", &key, &revision, &deleted, &value)) {
		GBytes *bytes =
		    deleted ? NULL : g_variant_get_data_as_bytes(value);

		g_ptr_array_add(
		    items, replica_item_new(key, bytes, revision));
		if (bytes != NULL)
			g_bytes_unref(bytes);
		g_variant_unref(value);
	}
	return items;
}

/*
 * Read a message. False when the bytes are none.
 */
bool
message_decode(struct str bytes, struct message *message)
{
	GBytes *copy = g_bytes_new(bytes.ptr, bytes.len);
	GVariant *variant = g_variant_new_from_bytes(
	    G_VARIANT_TYPE(MESSAGE_TYPE), copy, FALSE);
	struct load_report *load = &message->load;
	gboolean stopping, accepting, has_items, whole;
	guint64 revision, base;
	gint64 age_ms, doubt_ms;
	GVariant *items = NULL;
	bool valid;

	*message = (struct message){ 0 };
	g_variant_ref_sink(variant);
	valid = bytes.len > 0 && g_variant_is_normal_form(variant);
	if (!valid)
		goto done;
	g_variant_get(variant, "(txxbs(uuuuuuub)bbt@a(stbay))", &revision,
	    &age_ms, &doubt_ms, &stopping, &message->upstream, &load->limit,
	    &load->in_flight, &load->queued, &load->latency_us, &load->failing,
	    &load->bulk_waiting, &load->bulk_transfer_ms, &accepting,
	    &has_items, &whole, &base, &items);
	message->revision = revision;
	message->age_ms = age_ms;
	message->doubt_ms = doubt_ms;
	message->stopping = stopping;
	message->whole = whole;
	message->base = base;
	load->accepting = accepting;
	if (has_items)
		message->items = items_decode(items);
	g_variant_unref(items);
done:
	g_variant_unref(variant);
	g_bytes_unref(copy);
	return valid;
}

/*
 * Free what a message holds.
 */
void
message_clear(struct message *message)
{
	g_clear_pointer(&message->upstream, g_free);
	g_clear_pointer(&message->items, g_ptr_array_unref);
}
