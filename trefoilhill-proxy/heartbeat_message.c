#include <zstd.h>

#include "trefoilhill-proxy/heartbeat_message.h"

enum {
	COMPRESS_MIN_BYTES = 2048,   /* smaller values aren't compressed */
	VALUES_MAX_BYTES = 16 << 20, /* of a message's items, decompressed */
	COMPRESS_LEVEL = 1,          /* the fastest */
};

/*
 * era, revision, age, removal grace, time without an outage, stopping;
 * upstream, its start, whether it leaves, and its load; lost hosts and ages;
 * suspected requests, hash of those in quarantine; usage of workspaces, as
 * quota/report encodes it; has items, is snapshot, base
 * revision; items of key, revision, encoding, value.
 */
#define MESSAGE_TYPE "(ttxxxbstb(uuuuuuubbuu)a(uu)astaybbta(styay))"

/* Encoding of an item's value on the wire. */
enum item_encoding {
	ITEM_DELETED,
	ITEM_PLAIN,
	ITEM_COMPRESSED,
};

/* Return the compressed value, cached in the item for further peers. */
static GBytes *
compress_item(struct replica_item *item)
{
	size_t len, bound, packed;
	const void *bytes = g_bytes_get_data(item->value, &len);
	void *out;

	if (item->compressed != NULL)
		return item->compressed;
	bound = ZSTD_compressBound(len);
	out = g_malloc(bound);
	packed = ZSTD_compress(out, bound, bytes, len, COMPRESS_LEVEL);
	if (ZSTD_isError(packed)) {
		g_warning("cannot compress item value: %s",
		    ZSTD_getErrorName(packed));
		g_free(out);
		return NULL;
	}
	item->compressed = g_bytes_new_take(g_realloc(out, packed), packed);
	return item->compressed;
}

/*
 * Decompress a value and take its size from what is left for the message.
 * Returns NULL if the value is malformed or too large.
 */
static GBytes *
decompress_value(GBytes *packed, size_t *left)
{
	size_t len, decompressed_len;
	const void *bytes = g_bytes_get_data(packed, &len);
	unsigned long long size = ZSTD_getFrameContentSize(bytes, len);
	void *out;

	if (size > *left)
		return NULL;
	*left -= size;
	out = g_malloc(size);
	decompressed_len = ZSTD_decompress(out, size, bytes, len);
	if (ZSTD_isError(decompressed_len) || decompressed_len != size) {
		g_free(out);
		return NULL;
	}
	return g_bytes_new_take(out, size);
}

static void
item_encode(GVariantBuilder *builder, struct replica_item *item)
{
	enum item_encoding encoding = ITEM_DELETED;
	GBytes *empty = g_bytes_new_static("", 0);
	GBytes *bytes = empty, *packed;

	if (item->value != NULL) {
		encoding = ITEM_PLAIN;
		bytes = item->value;
	}
	if (item->value != NULL &&
	    g_bytes_get_size(item->value) >= COMPRESS_MIN_BYTES) {
		packed = compress_item(item);
		encoding = packed == NULL ? ITEM_PLAIN : ITEM_COMPRESSED;
		bytes = packed == NULL ? item->value : packed;
	}
	g_variant_builder_add(builder, "(sty@ay)", item->key,
	    (guint64)item->revision, (guchar)encoding,
	    g_variant_new_from_bytes(G_VARIANT_TYPE_BYTESTRING, bytes, TRUE));
	g_bytes_unref(empty);
}

static GVariant *
items_encode(const GPtrArray *items)
{
	GVariantBuilder builder;

	g_variant_builder_init(&builder, G_VARIANT_TYPE("a(styay)"));
	for (guint i = 0; items != NULL && i < items->len; i++)
		item_encode(&builder, items->pdata[i]);
	return g_variant_builder_end(&builder);
}

static GVariant *
lost_encode(const struct heartbeat_message *message)
{
	GVariantBuilder builder;

	g_variant_builder_init(&builder, G_VARIANT_TYPE("a(uu)"));
	for (size_t i = 0; i < message->lost_count; i++)
		g_variant_builder_add(&builder, "(uu)",
		    message->lost[i].host.s_addr, message->lost[i].age_ms);
	return g_variant_builder_end(&builder);
}

/* Decode the lost hosts, as many as a message may hold. */
static void
lost_decode(GVariant *list, struct heartbeat_message *message)
{
	size_t count = MIN(g_variant_n_children(list), HEARTBEAT_LOST_MAX);

	for (size_t i = 0; i < count; i++) {
		struct lost_host *lost = &message->lost[i];

		g_variant_get_child(
		    list, i, "(uu)", &lost->host.s_addr, &lost->age_ms);
	}
	message->lost_count = count;
}

/* Decode the suspected requests, as many as a message may hold. */
static void
suspects_decode(GVariant *list, struct heartbeat_message *message)
{
	size_t count = MIN(g_variant_n_children(list), HEARTBEAT_SUSPECTS_MAX);

	for (size_t i = 0; i < count; i++)
		g_variant_get_child(list, i, "s", &message->suspects[i]);
	message->suspect_count = count;
}

static GVariant *
quota_encode(const struct heartbeat_message *message)
{
	GBytes *bytes = quota_report_list_encode(&message->quota);
	GVariant *variant =
	    g_variant_new_from_bytes(G_VARIANT_TYPE_BYTESTRING, bytes, TRUE);

	g_bytes_unref(bytes);
	return variant;
}

/* Returns false if the reports are malformed. */
static bool
quota_decode(GVariant *variant, struct heartbeat_message *message)
{
	size_t len;
	const void *data = g_variant_get_fixed_array(variant, &len, 1);

	return quota_report_list_decode(str_make(data, len), &message->quota);
}

/*
 * Return an encoded message, to be released with g_bytes_unref.
 */
GBytes *
heartbeat_message_encode(const struct heartbeat_message *message)
{
	const struct load_report *load = &message->load;
	GVariant *variant = g_variant_new(
	    "(ttxxxbstb(uuuuuuubbuu)@a(uu)@ast@aybbt@a(styay))",
	    (guint64)message->position.era, (guint64)message->position.revision,
	    (gint64)message->age_ms, (gint64)message->removal_grace_ms,
	    (gint64)message->steady_ms, message->stopping,
	    message->upstream == NULL ? "" : message->upstream,
	    (guint64)message->upstream_started_ms, message->upstream_leaving,
	    load->limit, load->in_flight, load->queued, load->latency_us,
	    load->failures_per_mille, load->bulk_waiting,
	    load->bulk_transfer_ms, load->accepting, load->rate_limit_known,
	    load->rate_limit_per_ks, load->rate_wait_ms, lost_encode(message),
	    g_variant_new_strv((const char *const *)message->suspects,
		(gssize)message->suspect_count),
	    (guint64)message->quarantine_hash, quota_encode(message),
	    message->items != NULL, message->is_snapshot,
	    (guint64)message->base_revision, items_encode(message->items));
	GBytes *bytes;

	g_variant_ref_sink(variant);
	bytes = g_variant_get_data_as_bytes(variant);
	g_variant_unref(variant);
	return bytes;
}

/* Returns NULL if the value is malformed. */
static struct replica_item *
item_decode(const char *key, uint64_t revision, enum item_encoding encoding,
    GVariant *value, size_t *left)
{
	GBytes *bytes = g_variant_get_data_as_bytes(value);
	struct replica_item *item = NULL;
	GBytes *plain = NULL;

	switch (encoding) {
	case ITEM_DELETED:
		item = replica_item_new(key, NULL, revision);
		break;
	case ITEM_PLAIN:
		item = replica_item_new(key, bytes, revision);
		break;
	case ITEM_COMPRESSED:
		plain = decompress_value(bytes, left);
		if (plain == NULL)
			break;
		item = replica_item_new(key, plain, revision);
		item->compressed = g_bytes_ref(bytes);
		g_bytes_unref(plain);
		break;
	}
	g_bytes_unref(bytes);
	return item;
}

/* Returns NULL if any item is malformed. */
static GPtrArray *
items_decode(GVariant *list)
{
	GPtrArray *items = g_ptr_array_new_with_free_func(replica_item_free);
	size_t left = VALUES_MAX_BYTES;
	GVariantIter iter;
	const char *key;
	guint64 revision;
	guchar encoding;
	GVariant *value;

	g_variant_iter_init(&iter, list);
	while (g_variant_iter_next(
	    &iter, "(&sty@ay)", &key, &revision, &encoding, &value)) {
		struct replica_item *item =
		    item_decode(key, revision, encoding, value, &left);

		g_variant_unref(value);
		if (item == NULL) {
			g_ptr_array_unref(items);
			return NULL;
		}
		g_ptr_array_add(items, item);
	}
	return items;
}

/*
 * Decode a message, to be cleared by heartbeat_message_clear. Returns false if
 * the bytes are malformed.
 */
bool
heartbeat_message_decode(struct str bytes, struct heartbeat_message *message)
{
	GBytes *copy = g_bytes_new(bytes.ptr, bytes.len);
	GVariant *variant =
	    g_variant_new_from_bytes(G_VARIANT_TYPE(MESSAGE_TYPE), copy, FALSE);
	struct load_report *load = &message->load;
	gboolean upstream_leaving, stopping, accepting, rate_limit_known,
	    has_items, is_snapshot;
	guint64 era, revision, base_revision, upstream_started_ms,
	    quarantine_hash;
	gint64 age_ms, removal_grace_ms, steady_ms;
	GVariant *items = NULL, *lost = NULL, *suspects = NULL, *quota = NULL;
	bool valid;

	*message = (struct heartbeat_message){ 0 };
	g_variant_ref_sink(variant);
	valid = bytes.len > 0 && g_variant_is_normal_form(variant);
	if (!valid)
		goto done;
	g_variant_get(variant,
	    "(ttxxxbstb(uuuuuuubbuu)@a(uu)@ast@aybbt@a(styay))", &era,
	    &revision, &age_ms, &removal_grace_ms, &steady_ms, &stopping,
	    &message->upstream, &upstream_started_ms, &upstream_leaving,
	    &load->limit, &load->in_flight, &load->queued, &load->latency_us,
	    &load->failures_per_mille, &load->bulk_waiting,
	    &load->bulk_transfer_ms, &accepting, &rate_limit_known,
	    &load->rate_limit_per_ks, &load->rate_wait_ms, &lost, &suspects,
	    &quarantine_hash, &quota, &has_items, &is_snapshot, &base_revision,
	    &items);
	message->position.era = era;
	message->position.revision = revision;
	message->age_ms = age_ms;
	message->removal_grace_ms = removal_grace_ms;
	message->steady_ms = steady_ms;
	message->stopping = stopping;
	message->upstream_started_ms = upstream_started_ms;
	message->upstream_leaving = upstream_leaving;
	message->is_snapshot = is_snapshot;
	message->base_revision = base_revision;
	load->accepting = accepting;
	load->rate_limit_known = rate_limit_known;
	lost_decode(lost, message);
	g_variant_unref(lost);
	suspects_decode(suspects, message);
	g_variant_unref(suspects);
	message->quarantine_hash = quarantine_hash;
	valid = quota_decode(quota, message);
	g_variant_unref(quota);
	if (has_items)
		message->items = items_decode(items);
	valid = valid && (!has_items || message->items != NULL);
	g_variant_unref(items);
	if (!valid)
		heartbeat_message_clear(message);
	if (!valid)
		*message = (struct heartbeat_message){ 0 };
done:
	g_variant_unref(variant);
	g_bytes_unref(copy);
	return valid;
}

/*
 * Free the suspected requests in a message.
 */
void
heartbeat_message_clear_suspects(struct heartbeat_message *message)
{
	for (size_t i = 0; i < message->suspect_count; i++)
		g_clear_pointer(&message->suspects[i], g_free);
	message->suspect_count = 0;
}

/*
 * Free the content of a message.
 */
void
heartbeat_message_clear(struct heartbeat_message *message)
{
	g_clear_pointer(&message->upstream, g_free);
	heartbeat_message_clear_suspects(message);
	if (message->items != NULL)
		g_ptr_array_unref(message->items);
	message->items = NULL;
}
