#include "config/change.h"
#include "config/snapshot_private.h"

/*
 * Apply a change to the tables. Records are set after the kinds that they may
 * refer to and removed before them, so references can be checked step by step
 * with the same result as a check of the final state.
 */
static void
change_apply(const struct change *change, struct record_tables *tables,
    GPtrArray *refusals)
{
	for (size_t kind = 0; kind < RECORD_KIND_COUNT; kind++) {
		const GPtrArray *sets = change->sets[kind];

		for (size_t i = 0; i < sets->len; i++)
			refusal_list_add(refusals,
			    record_tables_put(tables, sets->pdata[i]));
	}
	for (size_t kind = RECORD_KIND_COUNT; kind-- > 0;) {
		const GPtrArray *removes = change->removes[kind];

		for (size_t i = 0; i < removes->len; i++)
			refusal_list_add(refusals,
			    record_tables_remove(tables, (enum record_kind)kind,
				str_from(removes->pdata[i])));
	}
}

/*
 * Apply the publication whose version directly follows that of the base.
 */
static struct snapshot *
apply_next_version(struct snapshot *base, const struct publication *publication,
    struct verdict *verdict)
{
	const struct record_tables *base_tables = snapshot_tables(base);
	GPtrArray *refusals = refusal_list_new();
	struct change change;
	struct record_tables tables;

	change_init(&change);
	record_tables_init_copy(&tables, base_tables);
	change_read(&change, publication, refusals);
	if (refusals->len == 0)
		change_apply(&change, &tables, refusals);
	change_clear(&change);
	if (refusals->len == 0) {
		verdict->kind = VERDICT_ACCEPTED;
		g_ptr_array_unref(refusals);
	} else {
		verdict->kind = VERDICT_REFUSED;
		verdict->refusals = refusals;
		record_tables_clear(&tables);
		record_tables_init_copy(&tables, base_tables);
	}
	return snapshot_new(
	    publication->version, snapshot_id(base).base, &tables);
}

/*
 * Apply a publication to an accepted state. The verdict depends on these two
 * alone, so nodes that see the same sequence reach the same state. A
 * publication is applied as a whole or not at all; a refused one still
 * advances the version, so it does not block the next. The caller owns the
 * returned reference and clears the verdict with verdict_clear.
 */
struct snapshot *
snapshot_apply(struct snapshot *base, const struct publication *publication,
    struct verdict *verdict)
{
	uint64_t version = snapshot_id(base).version;

	verdict->refusals = NULL;
	if (publication->version == version + 1)
		return apply_next_version(base, publication, verdict);
	verdict->kind =
	    publication->version <= version ? VERDICT_IGNORED : VERDICT_GAP;
	return snapshot_ref(base);
}

/*
 * Free the refusals of a verdict.
 */
void
verdict_clear(struct verdict *verdict)
{
	if (verdict->refusals != NULL)
		g_ptr_array_unref(verdict->refusals);
	verdict->refusals = NULL;
}
