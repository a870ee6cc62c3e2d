#include <string.h>

#include "common/rng.h"
#include "config/digest.h"
#include "fixture.h"
#include "harness.h"

enum {
	SEEDS = 4,
	MUTATIONS_PER_SEED = 1500,
	EDITS_MAX = 4,
	RANGE_BYTES_MAX = 24,
};

/* Inserted as a hostile or faulty writer might. */
static const char *const tokens[] = { "null", "true", "-1", "1e999", "0",
	"99999999999999999999", "\"\"", "[]", "{}", "[[[[", "}}", "\"kind\"",
	"\"schema\":1", "\"schema\":2", "\\u0000", "\"zone\"", ",", ":", "\"",
	"\xff", "\"name\":\"za\"", "\"h1\"", "{\"revision\":8},", "4294967296",
	"9223372036854775807" };

static size_t
random_below(struct rng *rng, size_t bound)
{
	return (size_t)rng_below(rng, bound);
}

/* Copy a random range of the text to a random position. */
static void
copy_range(GString *text, struct rng *rng)
{
	size_t from = random_below(rng, text->len);
	size_t wanted_len = 1 + random_below(rng, RANGE_BYTES_MAX);
	size_t len = MIN(text->len - from, wanted_len);
	char *range = g_strndup(&text->str[from], len);

	g_string_insert_len(
	    text, (gssize)random_below(rng, text->len), range, (gssize)len);
	g_free(range);
}

static void
edit_once(GString *text, struct rng *rng)
{
	size_t pos = random_below(rng, text->len);
	size_t wanted_len = 1 + random_below(rng, RANGE_BYTES_MAX);
	size_t len = MIN(text->len - pos, wanted_len);
	const char *token = tokens[random_below(rng, G_N_ELEMENTS(tokens))];

	switch (random_below(rng, 5)) {
	case 0:
		text->str[pos] = (char)rng_next(rng);
		break;
	case 1:
		g_string_erase(text, (gssize)pos, (gssize)len);
		break;
	case 2:
		g_string_insert(text, (gssize)pos, token);
		break;
	case 3:
		g_string_erase(text, (gssize)pos, (gssize)len);
		g_string_insert(text, (gssize)pos, token);
		break;
	default:
		copy_range(text, rng);
		break;
	}
}

static GBytes *
mutate(const char *original, size_t len, struct rng *rng)
{
	GString *text = g_string_new_len(original, (gssize)len);
	size_t edits = 1 + random_below(rng, EDITS_MAX);

	for (size_t i = 0; i < edits && text->len > 0; i++)
		edit_once(text, rng);
	return g_string_free_to_bytes(text);
}

/*
 * A mutated publication is applied as a whole, with a consistent result, or not
 * at all.
 */
static void
check_mutated_publication(GBytes *json, unsigned int verdict_counts[2])
{
	struct snapshot *state = sample_snapshot_new();
	struct publication *publication = publication_new(2, json);
	struct verdict verdict;
	struct snapshot *next = snapshot_apply(state, publication, &verdict);
	bool accepted = verdict.kind == VERDICT_ACCEPTED;

	CU_ASSERT(accepted || verdict.kind == VERDICT_REFUSED);
	CU_ASSERT_EQUAL(snapshot_id(next).version, 2);
	CU_ASSERT(
	    snapshot_is_consistent(next) && snapshot_is_consistent(state));
	CU_ASSERT(accepted ||
	    digest_compare(
		snapshot_id(state).digest, snapshot_id(next).digest) == 0);
	CU_ASSERT(accepted || verdict.refusals->len > 0);
	verdict_counts[accepted]++;
	verdict_clear(&verdict);
	publication_unref(publication);
	snapshot_unref(next);
	snapshot_unref(state);
}

static void
test_publications(void)
{
	unsigned int verdict_counts[2] = { 0 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct rng *rng = rng_seeded_new(seed);

		for (int i = 0; i < MUTATIONS_PER_SEED; i++)
			check_mutated_publication(
			    mutate(sample_publication,
				strlen(sample_publication), rng),
			    verdict_counts);
		rng_free(rng);
	}
	/* some mutations only change values and leave the publication valid */
	CU_ASSERT(verdict_counts[true] > 0);
	CU_ASSERT(verdict_counts[false] > verdict_counts[true]);
}

/* A mutated handover fails with a CONFIG_ERROR or yields the same state. */
static void
test_handovers(void)
{
	struct snapshot *state = sample_snapshot_new();
	GBytes *serialized = snapshot_serialize(state);
	struct rng *rng = rng_seeded_new(1);
	gsize len;
	const char *text = g_bytes_get_data(serialized, &len);

	for (int i = 0; i < SEEDS * MUTATIONS_PER_SEED; i++) {
		GBytes *bytes = mutate(text, len, rng);
		GError *error = NULL;
		struct snapshot *copy =
		    snapshot_deserialize(snapshot_id(state), bytes, &error);

		if (copy == NULL) {
			CU_ASSERT(
			    error != NULL && error->domain == CONFIG_ERROR);
		} else {
			CU_ASSERT(snapshot_is_consistent(copy) &&
			    has_same_id(copy, state));
			snapshot_unref(copy);
		}
		g_clear_error(&error);
		g_bytes_unref(bytes);
	}
	rng_free(rng);
	g_bytes_unref(serialized);
	snapshot_unref(state);
}

/* A mutated list fails with a CONFIG_ERROR or is in ascending order. */
static void
test_change_lists(void)
{
	static const char list_text[] =
	    "{\"revision\":9,\"changes\":[{\"revision\":7,\"set\":[]},"
	    "{\"revision\":8,\"remove\":[]},{\"revision\":9}]}";
	struct rng *rng = rng_seeded_new(1);

	for (int i = 0; i < SEEDS * MUTATIONS_PER_SEED; i++) {
		GBytes *bytes = mutate(list_text, strlen(list_text), rng);
		GError *error = NULL;
		uint64_t previous = 0;
		uint64_t head;
		gsize len;
		const char *text = g_bytes_get_data(bytes, &len);
		GPtrArray *list =
		    publication_list_parse(text, len, &head, &error);

		CU_ASSERT((list == NULL) ==
		    (error != NULL && error->domain == CONFIG_ERROR));
		for (size_t j = 0; list != NULL && j < list->len; j++) {
			const struct publication *publication = list->pdata[j];

			CU_ASSERT(publication->version > previous);
			previous = publication->version;
		}
		if (list != NULL)
			g_ptr_array_unref(list);
		g_clear_error(&error);
		g_bytes_unref(bytes);
	}
	rng_free(rng);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "mutated publications", test_publications },
		{ "mutated handovers", test_handovers },
		{ "mutated lists of changes", test_change_lists },
		{ NULL, NULL },
	};

	return harness_run("mutation", cases);
}
