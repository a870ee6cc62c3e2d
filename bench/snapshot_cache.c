#include "mesh/handover.h"
#include "snapshot_cache.h"

enum {
	CACHED_VERSIONS_MAX = 1024,
};

static struct snapshot *snapshots[CACHED_VERSIONS_MAX]; /* by version */
static GBytes *serialized;
static struct state_id serialized_id;

/* The replacements that --wrap links in, and the original functions. */
struct snapshot *cached_apply(struct snapshot *base,
    const struct publication *publication,
    struct verdict *verdict) __asm__("__wrap_snapshot_apply");
struct snapshot *real_apply(struct snapshot *base,
    const struct publication *publication,
    struct verdict *verdict) __asm__("__real_snapshot_apply");
GBytes *cached_serialize(const struct snapshot *snapshot) __asm__(
    "__wrap_snapshot_serialize");
GBytes *real_serialize(const struct snapshot *snapshot) __asm__(
    "__real_snapshot_serialize");
struct snapshot *cached_deserialize(struct state_id expected, GBytes *bytes,
    GError **error) __asm__("__wrap_snapshot_deserialize");
bool cached_handover_part(struct handover *handover, uint64_t offset,
    struct mesh_state_part *part) __asm__("__wrap_handover_fill_part");
bool real_handover_part(struct handover *handover, uint64_t offset,
    struct mesh_state_part *part) __asm__("__real_handover_fill_part");

/*
 * Release all cached snapshots and the cached serialized state.
 */
void
snapshot_cache_clear(void)
{
	for (size_t i = 0; i < CACHED_VERSIONS_MAX; i++) {
		if (snapshots[i] != NULL)
			snapshot_unref(snapshots[i]);
		snapshots[i] = NULL;
	}
	if (serialized != NULL)
		g_bytes_unref(serialized);
	serialized = NULL;
}

/*
 * Apply a publication once per version; later calls return the same snapshot.
 * The caller owns a reference.
 */
struct snapshot *
cached_apply(struct snapshot *base, const struct publication *publication,
    struct verdict *verdict)
{
	uint64_t version = publication->version;

	if (version != snapshot_id(base).version + 1)
		return real_apply(base, publication, verdict);
	g_assert(version < CACHED_VERSIONS_MAX);
	if (snapshots[version] == NULL) {
		snapshots[version] = real_apply(base, publication, verdict);
		g_assert(verdict->kind == VERDICT_ACCEPTED);
	}
	*verdict = (struct verdict){ .kind = VERDICT_ACCEPTED };
	return snapshot_ref(snapshots[version]);
}

/*
 * Serialize a snapshot; the result is cached while its state id is the same.
 * The caller owns a reference.
 */
GBytes *
cached_serialize(const struct snapshot *snapshot)
{
	struct state_id id = snapshot_id(snapshot);

	if (serialized == NULL || state_id_compare(id, serialized_id) != 0) {
		if (serialized != NULL)
			g_bytes_unref(serialized);
		serialized = real_serialize(snapshot);
		serialized_id = id;
	}
	return g_bytes_ref(serialized);
}

/*
 * Run the original function, so that the sender accounts for the whole state,
 * and replace the part by a single placeholder byte.
 */
bool
cached_handover_part(
    struct handover *handover, uint64_t offset, struct mesh_state_part *part)
{
	if (!real_handover_part(handover, offset, part))
		return false;
	g_bytes_unref(part->bytes);
	part->bytes = g_bytes_new_static("", 1);
	part->total = 1;
	return true;
}

/*
 * Return the cached snapshot of the expected version; the placeholder byte is
 * ignored. The caller owns a reference.
 */
struct snapshot *
cached_deserialize(struct state_id expected, GBytes *bytes, GError **error)
{
	g_assert(expected.version < CACHED_VERSIONS_MAX);
	g_assert(snapshots[expected.version] != NULL);
	return snapshot_ref(snapshots[expected.version]);
}
