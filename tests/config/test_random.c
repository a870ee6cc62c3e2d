#include <stdlib.h>
#include <string.h>

#include "config/digest.h"
#include "fixture.h"
#include "harness.h"
#include "oracle.h"

enum {
	SEEDS = 8,
	PUBLICATIONS = 600,
	REBUILD_INTERVAL = 20,
	ZONES = 3000,
	ZONES_PER_PUBLICATION = 20,
};

static size_t
count_records(const struct snapshot *snapshot)
{
	size_t count = 0;

	for (size_t kind = 0; kind < RECORD_KIND_COUNT; kind++)
		count += snapshot_count(snapshot, (enum record_kind)kind);
	return count;
}

static bool
same_content(const struct snapshot *a, const struct snapshot *b)
{
	return count_records(a) == count_records(b) &&
	    digest_compare(snapshot_id(a).digest, snapshot_id(b).digest) == 0;
}

/* One publication of all records and a handover must give the same state. */
static void
check_copies(struct oracle *oracle, struct snapshot *state)
{
	struct snapshot *rebuilt = snapshot_empty_new();
	char *publication = oracle_full_publication(oracle);
	GBytes *bytes = snapshot_serialize(state);
	struct snapshot *copy =
	    snapshot_deserialize(snapshot_id(state), bytes, NULL);

	CU_ASSERT_EQUAL(apply_json(&rebuilt, publication), VERDICT_ACCEPTED);
	CU_ASSERT(same_content(rebuilt, state));
	CU_ASSERT(copy != NULL && snapshot_is_consistent(copy) &&
	    has_same_id(copy, state));
	free(publication);
	g_bytes_unref(bytes);
	snapshot_unref(rebuilt);
	if (copy != NULL)
		snapshot_unref(copy);
}

static struct snapshot *
read_raw(GHashTable *records, uint64_t revision, struct rng *rng)
{
	GArray *raw = oracle_raw_records(records, rng);
	struct snapshot *snapshot = snapshot_from_raw(
	    (struct raw_record *)raw->data, raw->len, revision);

	g_array_unref(raw);
	return snapshot;
}

static void
check_raw(struct oracle *oracle, struct snapshot *state, struct rng *rng)
{
	uint64_t revision = oracle->revision;
	struct snapshot *accepted = read_raw(oracle->accepted, revision, rng);
	struct snapshot *raw = read_raw(oracle->platform, revision, rng);
	struct snapshot *repeated = read_raw(oracle->platform, revision, rng);

	CU_ASSERT(same_content(accepted, state));
	CU_ASSERT(snapshot_is_consistent(raw));
	CU_ASSERT(has_same_id(raw, repeated));
	CU_ASSERT_EQUAL(snapshot_id(raw).base, revision);
	CU_ASSERT_EQUAL(count_records(raw), oracle_raw_record_count(oracle));
	snapshot_unref(accepted);
	snapshot_unref(raw);
	snapshot_unref(repeated);
}

static void
run_seed(uint64_t seed, unsigned int verdict_counts[2])
{
	struct rng *rng = rng_seeded_new(seed);
	struct oracle *oracle = oracle_new();
	struct snapshot *state = snapshot_empty_new();

	for (unsigned int i = 1; i <= PUBLICATIONS; i++) {
		char *json = oracle_generate(oracle, rng);
		bool accepted = oracle_publish(oracle, json);

		verdict_counts[accepted]++;
		CU_ASSERT_EQUAL(apply_json(&state, json),
		    accepted ? VERDICT_ACCEPTED : VERDICT_REFUSED);
		CU_ASSERT(snapshot_is_consistent(state));
		CU_ASSERT_EQUAL(snapshot_id(state).version, i);
		CU_ASSERT_EQUAL(
		    count_records(state), g_hash_table_size(oracle->accepted));
		if (i % REBUILD_INTERVAL == 0) {
			check_copies(oracle, state);
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
	unsigned int verdict_counts[2] = { 0 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		run_seed(seed, verdict_counts);
	/* the run must contain enough of both verdicts */
	CU_ASSERT(verdict_counts[false] > SEEDS * PUBLICATIONS / 10);
	CU_ASSERT(verdict_counts[true] > SEEDS * PUBLICATIONS / 10);
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

/* Set or remove all zones in random order, a few per publication. */
static void
publish_zones(struct snapshot **state, struct rng *rng, const char *format)
{
	unsigned int order[ZONES];

	for (unsigned int i = 0; i < ZONES; i++) {
		unsigned int other = (unsigned int)rng_below(rng, i + 1);

		order[i] = order[other];
		order[other] = i;
	}
	for (unsigned int i = 0; i < ZONES; i += ZONES_PER_PUBLICATION) {
		GString *json = g_string_new("");

		for (unsigned int j = i; j < i + ZONES_PER_PUBLICATION; j++)
			g_string_append_printf(
			    json, format, j == i ? "" : ",", order[j]);
		g_string_prepend(json,
		    strstr(format, "schema") ? "{\"set\":[" : "{\"remove\":[");
		g_string_append(json, "]}");
		CU_ASSERT_EQUAL(apply_json(state, json->str), VERDICT_ACCEPTED);
		CU_ASSERT(snapshot_is_consistent(*state) && is_sorted(*state));
		g_string_free(json, TRUE);
	}
}

/* A table of many blocks loses no entry as it grows, splits and shrinks. */
static void
test_many_records(void)
{
	struct rng *rng = rng_seeded_new(3);
	struct snapshot *state = snapshot_empty_new();

	publish_zones(&state, rng,
	    "%s{\"schema\":2,\"kind\":\"zone\",\"name\":\"z%u\","
	    "\"state\":\"in\"}");
	CU_ASSERT_EQUAL(snapshot_count(state, RECORD_ZONE), ZONES);
	publish_zones(&state, rng, "%s{\"kind\":\"zone\",\"name\":\"z%u\"}");
	CU_ASSERT_EQUAL(snapshot_count(state, RECORD_ZONE), 0);
	snapshot_unref(state);
	rng_free(rng);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "random publications match the reference model",
		    test_random_publications },
		{ "many records are added and removed", test_many_records },
		{ NULL, NULL },
	};

	return harness_run("random", cases);
}
