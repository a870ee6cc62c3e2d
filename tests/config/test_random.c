#include <stdlib.h>
#include <string.h>

#include "config/digest.h"
#include "fixture.h"
#include "harness.h"
#include "oracle.h"

enum {
	SEEDS = 8,
	STEPS = 600,
	REBUILD_STEPS = 20,
	MANY = 3000,
	MANY_STEP = 20,
};

static size_t
total(const struct snapshot *snapshot)
{
	size_t sum = 0;

	for (size_t kind = 0; kind < RECORD_KIND_COUNT; kind++)
		sum += snapshot_count(snapshot, (enum record_kind)kind);
	return sum;
}

static bool
same_content(const struct snapshot *a, const struct snapshot *b)
{
	return total(a) == total(b) &&
	    digest_compare(snapshot_id(a).digest, snapshot_id(b).digest) == 0;
}

/* The state must be the one that a node would come to in one step. */
static void
check_rebuild(struct oracle *oracle, struct snapshot *state)
{
	struct snapshot *rebuilt = snapshot_empty_new();
	char *all = oracle_dump(oracle);
	GBytes *bytes = snapshot_serialize(state);
	struct snapshot *copy =
	    snapshot_deserialize(snapshot_id(state), bytes, NULL);

	CU_ASSERT_EQUAL(apply(&rebuilt, all), VERDICT_ACCEPTED);
	CU_ASSERT(same_content(rebuilt, state));
	CU_ASSERT(copy != NULL && is_whole(copy) && same_id(copy, state));
	free(all);
	g_bytes_unref(bytes);
	snapshot_unref(rebuilt);
	if (copy != NULL)
		snapshot_unref(copy);
}

static struct snapshot *
read_raw(GHashTable *records, uint64_t revision, struct rng *rng)
{
	GArray *raw = oracle_raw(records, rng);
	struct snapshot *snapshot = snapshot_from_raw(
	    (struct raw_record *)raw->data, raw->len, revision);

	g_array_unref(raw);
	return snapshot;
}

static void
check_raw(struct oracle *oracle, struct snapshot *state, struct rng *rng)
{
	uint64_t revision = oracle->revision;
	struct snapshot *good = read_raw(oracle->accepted, revision, rng);
	struct snapshot *raw = read_raw(oracle->platform, revision, rng);
	struct snapshot *again = read_raw(oracle->platform, revision, rng);

	CU_ASSERT(same_content(good, state));
	CU_ASSERT(is_whole(raw));
	CU_ASSERT(same_id(raw, again));
	CU_ASSERT_EQUAL(snapshot_id(raw).base, revision);
	CU_ASSERT_EQUAL(total(raw), oracle_raw_expected(oracle));
	snapshot_unref(good);
	snapshot_unref(raw);
	snapshot_unref(again);
}

static void
run_seed(uint64_t seed, unsigned int verdicts[2])
{
	struct rng *rng = rng_seeded_new(seed);
	struct oracle *oracle = oracle_new();
	struct snapshot *state = snapshot_empty_new();

	for (unsigned int i = 1; i <= STEPS; i++) {
		char *json = oracle_invent(oracle, rng);
		bool accepted = oracle_publish(oracle, json);

		verdicts[accepted]++;
		CU_ASSERT_EQUAL(apply(&state, json),
		    accepted ? VERDICT_ACCEPTED : VERDICT_REFUSED);
		CU_ASSERT(is_whole(state));
		CU_ASSERT_EQUAL(snapshot_id(state).version, i);
		CU_ASSERT_EQUAL(
		    total(state), g_hash_table_size(oracle->accepted));
		if (i % REBUILD_STEPS == 0) {
			check_rebuild(oracle, state);
			check_raw(oracle, state, rng);
		}
		g_free(json);
	}
	snapshot_unref(state);
	oracle_free(oracle);
	rng_free(rng);
}

static void
test_random_publications(void)
{
	unsigned int verdicts[2] = { 0 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		run_seed(seed, verdicts);
	/* the run must have shown both sides */
	CU_ASSERT(verdicts[false] > SEEDS * STEPS / 10);
	CU_ASSERT(verdicts[true] > SEEDS * STEPS / 10);
}

static bool
is_sorted(const struct snapshot *snapshot)
{
	size_t count;
	struct record *const *zones =
	    snapshot_records(snapshot, RECORD_ZONE, &count);

	for (size_t i = 1; i < count; i++) {
		if (str_compare(zones[i - 1]->name, zones[i]->name) >= 0)
			return false;
	}
	return true;
}

/* Set or remove every one of many zones, in random order, some at a time. */
static void
change_many(struct snapshot **state, struct rng *rng, const char *format)
{
	unsigned int order[MANY];

	for (unsigned int i = 0; i < MANY; i++) {
		unsigned int other = (unsigned int)rng_below(rng, i + 1);

		order[i] = order[other];
		order[other] = i;
	}
	for (unsigned int i = 0; i < MANY; i += MANY_STEP) {
		GString *json = g_string_new("");

		for (unsigned int j = i; j < i + MANY_STEP; j++)
			g_string_append_printf(
			    json, format, j == i ? "" : ",", order[j]);
		g_string_prepend(json,
		    strstr(format, "schema") ? "{\"set\":[" : "{\"remove\":[");
		g_string_append(json, "]}");
		CU_ASSERT_EQUAL(apply(state, json->str), VERDICT_ACCEPTED);
		CU_ASSERT(is_whole(*state) && is_sorted(*state));
		g_string_free(json, TRUE);
	}
}

/* Tables of many blocks grow, split and shrink without loss. */
static void
test_many_records(void)
{
	struct rng *rng = rng_seeded_new(3);
	struct snapshot *state = snapshot_empty_new();

	change_many(&state, rng,
	    "%s{\"schema\":2,\"kind\":\"zone\",\"name\":\"z%u\","
	    "\"state\":\"in\"}");
	CU_ASSERT_EQUAL(snapshot_count(state, RECORD_ZONE), MANY);
	change_many(&state, rng, "%s{\"kind\":\"zone\",\"name\":\"z%u\"}");
	CU_ASSERT_EQUAL(snapshot_count(state, RECORD_ZONE), 0);
	snapshot_unref(state);
	rng_free(rng);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "every step equals a rebuild", test_random_publications },
		{ "many records come and go", test_many_records },
		{ NULL, NULL },
	};

	return harness_run("random", cases);
}
