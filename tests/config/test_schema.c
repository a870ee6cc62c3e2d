#include <string.h>

#include "config/digest.h"
#include "fixture.h"
#include "harness.h"

/* One record in both schemas; records refer only to earlier ones. */
struct record_forms {
	const char *schema_1;
	const char *schema_2;
};

static const struct record_forms records[] = {
	{ "{\"schema\":1,\"kind\":\"zone\",\"name\":\"za\",\"out\":true}",
	    "{\"schema\":2,\"kind\":\"zone\",\"name\":\"za\","
	    "\"state\":\"out\"}" },
	{ "{\"schema\":1,\"kind\":\"host\",\"name\":\"h1\",\"zone\":\"za\","
	  "\"node\":\"127.0.0.1:1\",\"out\":false}",
	    "{\"schema\":2,\"kind\":\"host\",\"name\":\"h1\",\"zone\":\"za\","
	    "\"node\":\"127.0.0.1:1\",\"state\":\"in\"}" },
	{ "{\"schema\":1,\"kind\":\"service\",\"name\":\"s\",\"timeout\":3}",
	    "{\"schema\":2,\"kind\":\"service\",\"name\":\"s\","
	    "\"timeout_ms\":3000,\"idempotent_retries\":1}" },
	{ "{\"schema\":1,\"kind\":\"upstream\",\"name\":\"u\","
	  "\"service\":\"s\",\"host\":\"h1\",\"addr\":\"127.0.0.1:2\","
	  "\"slots\":12,\"connections\":110}",
	    "{\"schema\":2,\"kind\":\"upstream\",\"name\":\"u\","
	    "\"service\":\"s\",\"host\":\"h1\",\"address\":\"127.0.0.1:2\","
	    "\"slots\":12,\"connections\":110}" },
	{ "{\"schema\":1,\"kind\":\"route\",\"name\":\"r\",\"service\":\"s\","
	  "\"host_header\":\"s\",\"prefix\":\"/x\"}",
	    "{\"schema\":2,\"kind\":\"route\",\"name\":\"r\","
	    "\"service\":\"s\",\"authority\":\"s\",\"prefix\":\"/x\"}" },
};

enum {
	RECORDS = G_N_ELEMENTS(records),
	/* number of masks; bit i set: record i is of schema 2 */
	SCHEMA_MASKS = 1 << RECORDS,
};

static const char *
record_json(unsigned int schema_mask, size_t record)
{
	return schema_mask & 1U << record ? records[record].schema_2
					  : records[record].schema_1;
}

static bool
same_digest(const struct snapshot *a, const struct snapshot *b)
{
	return digest_compare(snapshot_id(a).digest, snapshot_id(b).digest) ==
	    0;
}

static struct snapshot *
new_state(unsigned int schema_mask)
{
	struct snapshot *state = snapshot_empty_new();
	GString *json = g_string_new("{\"set\":[");

	for (size_t i = 0; i < RECORDS; i++)
		g_string_append_printf(json, "%s%s", i == 0 ? "" : ",",
		    record_json(schema_mask, i));
	g_string_append(json, "]}");
	CU_ASSERT_EQUAL(apply_json(&state, json->str), VERDICT_ACCEPTED);
	g_string_free(json, TRUE);
	return state;
}

/* Any mixture of schemas of the same configuration gives the same state. */
static void
test_mixed_schemas(void)
{
	struct snapshot *reference = new_state(0);

	for (unsigned int schema_mask = 1; schema_mask < SCHEMA_MASKS;
	     schema_mask++) {
		struct snapshot *mixed = new_state(schema_mask);

		CU_ASSERT(has_same_id(mixed, reference));
		CU_ASSERT(snapshot_is_consistent(mixed));
		snapshot_unref(mixed);
	}
	snapshot_unref(reference);
}

/* The state of a node that joined by a handover of this one. */
static struct snapshot *
copy_by_handover(const struct snapshot *state)
{
	GBytes *bytes = snapshot_serialize(state);
	struct snapshot *copy =
	    snapshot_deserialize(snapshot_id(state), bytes, NULL);

	g_bytes_unref(bytes);
	return copy;
}

static struct snapshot *
read_raw(unsigned int schema_mask, uint64_t revision)
{
	struct raw_record raw[RECORDS];
	struct snapshot *state;

	for (size_t i = 0; i < RECORDS; i++) {
		/* one publication each rewrites a record after the first */
		raw[i].revision = schema_mask & 1U << i ? 2 + i : 1;
		raw[i].record =
		    json_loads(record_json(schema_mask, i), 0, NULL);
	}
	state = snapshot_from_raw(raw, RECORDS, revision);
	for (size_t i = 0; i < RECORDS; i++)
		json_decref(raw[i].record);
	return state;
}

/*
 * Records are rewritten one by one in schema 2 while a real change goes on in
 * schema 1. A node that saw every publication, one that joined half-way and
 * one that read the raw records at each step hold the same.
 */
static void
test_migration_record_by_record(void)
{
	struct snapshot *followed = new_state(0);
	struct snapshot *joined = copy_by_handover(followed);
	struct digest before = snapshot_id(followed).digest;
	unsigned int schema_mask = 0;

	for (size_t i = 0; i < RECORDS; i++) {
		char *json =
		    g_strdup_printf("{\"set\":[%s]}", records[i].schema_2);
		struct snapshot *raw;

		schema_mask |= 1U << i;
		CU_ASSERT_EQUAL(apply_json(&followed, json), VERDICT_ACCEPTED);
		CU_ASSERT_EQUAL(apply_json(&joined, json), VERDICT_ACCEPTED);
		CU_ASSERT(has_same_id(followed, joined));
		CU_ASSERT_EQUAL(
		    digest_compare(snapshot_id(followed).digest, before), 0);
		raw = read_raw(schema_mask, snapshot_id(followed).version);
		CU_ASSERT(
		    same_digest(raw, followed) && snapshot_is_consistent(raw));
		if (i == RECORDS / 2) {
			snapshot_unref(joined);
			joined = copy_by_handover(followed);
		}
		snapshot_unref(raw);
		g_free(json);
	}
	CU_ASSERT_EQUAL(apply_json(&followed,
			    "{\"set\":[{\"schema\":1,\"kind\":\"zone\","
			    "\"name\":\"za\",\"out\":false}]}"),
	    VERDICT_ACCEPTED);
	CU_ASSERT_EQUAL(apply_json(&joined,
			    "{\"set\":[{\"schema\":2,\"kind\":\"zone\","
			    "\"name\":\"za\",\"state\":\"in\"}]}"),
	    VERDICT_ACCEPTED);
	CU_ASSERT(has_same_id(followed, joined));
	snapshot_unref(followed);
	snapshot_unref(joined);
}

/* A record of one schema with a field of the other is refused. */
static void
test_field_of_other_schema(void)
{
	static const char *const mixed[] = {
		"{\"schema\":1,\"kind\":\"zone\",\"name\":\"za\","
		"\"out\":true,\"state\":\"out\"}",
		"{\"schema\":2,\"kind\":\"zone\",\"name\":\"za\",\"out\":true}",
		"{\"schema\":1,\"kind\":\"service\",\"name\":\"s\","
		"\"timeout_ms\":3000}",
		"{\"schema\":2,\"kind\":\"route\",\"name\":\"r\","
		"\"service\":\"s\",\"host_header\":\"s\"}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(mixed); i++) {
		struct snapshot *state = new_state(0);
		char *json = g_strdup_printf("{\"set\":[%s]}", mixed[i]);

		CU_ASSERT_EQUAL(apply_json(&state, json), VERDICT_REFUSED);
		CU_ASSERT_EQUAL(snapshot_id(state).version, 2);
		g_free(json);
		snapshot_unref(state);
	}
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "any mixture of schemas gives the same state",
		    test_mixed_schemas },
		{ "records migrate to schema 2 one by one",
		    test_migration_record_by_record },
		{ "a record cannot mix fields of both schemas",
		    test_field_of_other_schema },
		{ NULL, NULL },
	};

	return harness_run("schema", cases);
}
