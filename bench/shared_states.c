#include "mesh/handover.h"
#include "shared_states.h"

enum {
	VERSIONS_MAX = 1024,
};

static struct snapshot *states[VERSIONS_MAX]; /* by version */
static GBytes *serialized;
static struct state_id serialized_id;

/* What the linker calls instead, and the functions that they stand for. */
struct snapshot *shared_apply(struct snapshot *base,
    const struct publication *publication,
    struct verdict *verdict) __asm__("__wrap_snapshot_apply");
struct snapshot *real_apply(struct snapshot *base,
    const struct publication *publication,
    struct verdict *verdict) __asm__("__real_snapshot_apply");
GBytes *shared_serialize(const struct snapshot *snapshot) __asm__(
    "__wrap_snapshot_serialize");
GBytes *real_serialize(const struct snapshot *snapshot) __asm__(
    "__real_snapshot_serialize");
struct snapshot *shared_deserialize(struct state_id expected, GBytes *bytes,
    GError **error) __asm__("__wrap_snapshot_deserialize");
bool shared_part(struct handover *handover, uint64_t offset,
    struct mesh_state_part *part) __asm__("__wrap_handover_fill_part");
bool real_part(struct handover *handover, uint64_t offset,
    struct mesh_state_part *part) __asm__("__real_handover_fill_part");

/*
 * Forget all states.
 */
void
shared_states_clear(void)
{
	for (size_t i = 0; i < VERSIONS_MAX; i++) {
		if (states[i] != NULL)
			snapshot_unref(states[i]);
		states[i] = NULL;
	}
	if (serialized != NULL)
		g_bytes_unref(serialized);
	serialized = NULL;
}

/*
 * Apply a publication; the first node does it, the others share the result.
 */
struct snapshot *
shared_apply(struct snapshot *base, const struct publication *publication,
    struct verdict *verdict)
{
	uint64_t version = publication->version;

	if (version != snapshot_id(base).version + 1)
		return real_apply(base, publication, verdict);
	g_assert(version < VERSIONS_MAX);
	if (states[version] == NULL) {
		states[version] = real_apply(base, publication, verdict);
		g_assert(verdict->kind == VERDICT_ACCEPTED);
	}
	*verdict = (struct verdict){ .kind = VERDICT_ACCEPTED };
	return snapshot_ref(states[version]);
}

/*
 * Write a state once for all that give it.
 */
GBytes *
shared_serialize(const struct snapshot *snapshot)
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
 * Charge the giver for the whole state, but let one byte stand for it.
 */
bool
shared_part(
    struct handover *handover, uint64_t offset, struct mesh_state_part *part)
{
	if (!real_part(handover, offset, part))
		return false;
	g_bytes_unref(part->bytes);
	part->bytes = g_bytes_new_static("", 1);
	part->total = 1;
	return true;
}

/*
 * Take on the state that the one byte stands for.
 */
struct snapshot *
shared_deserialize(struct state_id expected, GBytes *bytes, GError **error)
{
	g_assert(expected.version < VERSIONS_MAX);
	g_assert(states[expected.version] != NULL);
	return snapshot_ref(states[expected.version]);
}
