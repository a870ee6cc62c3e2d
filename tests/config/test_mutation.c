#include <string.h>

#include "common/rng.h"
#include "config/digest.h"
#include "fixture.h"
#include "harness.h"

enum {
	SEEDS = 4,
	ROUNDS = 1500,
	EDITS_MAX = 4,
	PIECE_MAX = 24,
};

/* What a hostile or broken writer puts in. */
static const char *const tokens[] = { "null", "true", "-1", "1e999", "0",
	"99999999999999999999", "\"\"", "[]", "{}", "[[[[", "}}", "\"kind\"",
	"\"schema\":1", "\"schema\":2", "\\u0000", "\"zone\"", ",", ":", "\"",
	"\xff", "\"name\":\"za\"", "\"h1\"", "{\"revision\":8},", "4294967296",
	"9223372036854775807" };

static size_t
below(struct rng *rng, size_t bound)
{
	return (size_t)rng_below(rng, bound);
}

/* Copy a piece of the text to another place of it. */
static void
copy_piece(GString *text, struct rng *rng)
{
	size_t from = below(rng, text->len);
	size_t wish = 1 + below(rng, PIECE_MAX);
	size_t len = MIN(text->len - from, wish);
	char *piece = g_strndup(&text->str[from], len);

	g_string_insert_len(
	    text, (gssize)below(rng, text->len), piece, (gssize)len);
	g_free(piece);
}

static void
edit(GString *text, struct rng *rng)
{
	size_t place = below(rng, text->len);
	size_t wish = 1 + below(rng, PIECE_MAX);
	size_t len = MIN(text->len - place, wish);
	const char *token = tokens[below(rng, G_N_ELEMENTS(tokens))];

	switch (below(rng, 5)) {
	case 0:
		text->str[place] = (char)rng_next(rng);
		break;
	case 1:
		g_string_erase(text, (gssize)place, (gssize)len);
		break;
	case 2:
		g_string_insert(text, (gssize)place, token);
		break;
	case 3:
		g_string_erase(text, (gssize)place, (gssize)len);
		g_string_insert(text, (gssize)place, token);
		break;
	default:
		copy_piece(text, rng);
		break;
	}
}

static GBytes *
mutate(const char *original, size_t len, struct rng *rng)
{
	GString *text = g_string_new_len(original, (gssize)len);
	size_t edits = 1 + below(rng, EDITS_MAX);

	for (size_t i = 0; i < edits && text->len > 0; i++)
		edit(text, rng);
	return g_string_free_to_bytes(text);
}

/* A changed publication is taken whole and sound, or not at all. */
static void
try_publication(GBytes *json, unsigned int verdicts[2])
{
	struct snapshot *state = small_mesh_new();
	struct publication *publication = publication_new(2, json);
	struct verdict verdict;
	struct snapshot *next = snapshot_apply(state, publication, &verdict);
	bool accepted = verdict.kind == VERDICT_ACCEPTED;

	CU_ASSERT(accepted || verdict.kind == VERDICT_REFUSED);
	CU_ASSERT_EQUAL(snapshot_id(next).version, 2);
	CU_ASSERT(is_whole(next) && is_whole(state));
	CU_ASSERT(accepted ||
	    digest_compare(
		snapshot_id(state).digest, snapshot_id(next).digest) == 0);
	CU_ASSERT(accepted || verdict.refusals->len > 0);
	verdicts[accepted]++;
	verdict_clear(&verdict);
	publication_unref(publication);
	snapshot_unref(next);
	snapshot_unref(state);
}

static void
test_publications(void)
{
	unsigned int verdicts[2] = { 0 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct rng *rng = rng_seeded_new(seed);

		for (int i = 0; i < ROUNDS; i++)
			try_publication(
			    mutate(small_mesh, strlen(small_mesh), rng),
			    verdicts);
		rng_free(rng);
	}
	/* edits in values leave some publications good */
	CU_ASSERT(verdicts[true] > 0);
	CU_ASSERT(verdicts[false] > verdicts[true]);
}

/* A changed hand-over is refused with a typed error, or means the same. */
static void
test_hand_overs(void)
{
	struct snapshot *state = small_mesh_new();
	GBytes *whole = snapshot_serialize(state);
	struct rng *rng = rng_seeded_new(1);
	gsize len;
	const char *text = g_bytes_get_data(whole, &len);

	for (int i = 0; i < SEEDS * ROUNDS; i++) {
		GBytes *bytes = mutate(text, len, rng);
		GError *error = NULL;
		struct snapshot *copy =
		    snapshot_deserialize(snapshot_id(state), bytes, &error);

		if (copy == NULL) {
			CU_ASSERT(
			    error != NULL && error->domain == CONFIG_ERROR);
		} else {
			CU_ASSERT(is_whole(copy) && same_id(copy, state));
			snapshot_unref(copy);
		}
		g_clear_error(&error);
		g_bytes_unref(bytes);
	}
	rng_free(rng);
	g_bytes_unref(whole);
	snapshot_unref(state);
}

/* A changed list is refused with a typed error, or rises in order. */
static void
test_lists(void)
{
	static const char list_text[] =
	    "{\"revision\":9,\"changes\":[{\"revision\":7,\"set\":[]},"
	    "{\"revision\":8,\"remove\":[]},{\"revision\":9}]}";
	struct rng *rng = rng_seeded_new(1);

	for (int i = 0; i < SEEDS * ROUNDS; i++) {
		GBytes *bytes = mutate(list_text, strlen(list_text), rng);
		GError *error = NULL;
		uint64_t last = 0;
		uint64_t head;
		gsize len;
		const char *text = g_bytes_get_data(bytes, &len);
		GPtrArray *list =
		    publication_list_parse(text, len, &head, &error);

		CU_ASSERT((list == NULL) ==
		    (error != NULL && error->domain == CONFIG_ERROR));
		for (size_t j = 0; list != NULL && j < list->len; j++) {
			const struct publication *one = list->pdata[j];

			CU_ASSERT(one->version > last);
			last = one->version;
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
		{ "changed publications", test_publications },
		{ "changed hand-overs", test_hand_overs },
		{ "changed lists", test_lists },
		{ NULL, NULL },
	};

	return harness_run("mutation", cases);
}
