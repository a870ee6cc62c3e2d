#include <string.h>

#include "config/digest.h"
#include "fixture.h"
#include "harness.h"

/* One record in both schemas; references lead from later to earlier ones. */
struct both {
	const char *old_form;
	const char *new_form;
};

static const struct both records[] = {
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
	FORMS = 1 << RECORDS, /* every choice of schema for each record */
};

static const char *
form(unsigned int choice, size_t record)
{
	return choice & 1U << record ? records[record].new_form
				     : records[record].old_form;
}

static bool
same_digest(const struct snapshot *a, const struct snapshot *b)
{
	return digest_compare(snapshot_id(a).digest, snapshot_id(b).digest) ==
	    0;
}

static struct snapshot *
state_of(unsigned int choice)
{
	struct snapshot *state = snapshot_empty_new();
	GString *json = g_string_new("{\"set\":[");

	for (size_t i = 0; i < RECORDS; i++)
		g_string_append_printf(
		    json, "%s%s", i == 0 ? "" : ",", form(choice, i));
	g_string_append(json, "]}");
	CU_ASSERT_EQUAL(apply(&state, json->str), VERDICT_ACCEPTED);
	g_string_free(json, TRUE);
	return state;
}

/* The same configuration is the same state in any mixture of schemas. */
static void
test_any_mixture(void)
{
	struct snapshot *old = state_of(0);

	for (unsigned int choice = 1; choice < FORMS; choice++) {
		struct snapshot *mixed = state_of(choice);

		CU_ASSERT(same_id(mixed, old));
		CU_ASSERT(is_whole(mixed));
		snapshot_unref(mixed);
	}
	snapshot_unref(old);
}

/* What a node holds that joined by a hand-over of this state. */
static struct snapshot *
join(const struct snapshot *state)
{
	GBytes *bytes = snapshot_serialize(state);
	struct snapshot *copy =
	    snapshot_deserialize(snapshot_id(state), bytes, NULL);

	g_bytes_unref(bytes);
	return copy;
}

static struct snapshot *
read_raw(unsigned int choice, uint64_t revision)
{
	struct raw_record raw[RECORDS];
	struct snapshot *state;

	for (size_t i = 0; i < RECORDS; i++) {
		/* rewritten one by one after the first publication */
		raw[i].revision = choice & 1U << i ? 2 + i : 1;
		raw[i].record = json_loads(form(choice, i), 0, NULL);
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
test_rewrite_goes_on(void)
{
	struct snapshot *seen = state_of(0);
	struct snapshot *joined = join(seen);
	struct digest before = snapshot_id(seen).digest;
	unsigned int choice = 0;

	for (size_t i = 0; i < RECORDS; i++) {
		char *json =
		    g_strdup_printf("{\"set\":[%s]}", records[i].new_form);
		struct snapshot *raw;

		choice |= 1U << i;
		CU_ASSERT_EQUAL(apply(&seen, json), VERDICT_ACCEPTED);
		CU_ASSERT_EQUAL(apply(&joined, json), VERDICT_ACCEPTED);
		CU_ASSERT(same_id(seen, joined));
		CU_ASSERT_EQUAL(
		    digest_compare(snapshot_id(seen).digest, before), 0);
		raw = read_raw(choice, snapshot_id(seen).version);
		CU_ASSERT(same_digest(raw, seen) && is_whole(raw));
		if (i == RECORDS / 2) {
			snapshot_unref(joined);
			joined = join(seen);
		}
		snapshot_unref(raw);
		g_free(json);
	}
	CU_ASSERT_EQUAL(apply(&seen,
			    "{\"set\":[{\"schema\":1,\"kind\":\"zone\","
			    "\"name\":\"za\",\"out\":false}]}"),
	    VERDICT_ACCEPTED);
	CU_ASSERT_EQUAL(apply(&joined,
			    "{\"set\":[{\"schema\":2,\"kind\":\"zone\","
			    "\"name\":\"za\",\"state\":\"in\"}]}"),
	    VERDICT_ACCEPTED);
	CU_ASSERT(same_id(seen, joined));
	snapshot_unref(seen);
	snapshot_unref(joined);
}

/* A record of one schema with a field of the other is refused everywhere. */
static void
test_forms_do_not_mix(void)
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
		struct snapshot *state = state_of(0);
		char *json = g_strdup_printf("{\"set\":[%s]}", mixed[i]);

		CU_ASSERT_EQUAL(apply(&state, json), VERDICT_REFUSED);
		CU_ASSERT_EQUAL(snapshot_id(state).version, 2);
		g_free(json);
		snapshot_unref(state);
	}
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "any mixture is the same state", test_any_mixture },
		{ "a rewrite goes on beside changes", test_rewrite_goes_on },
		{ "forms do not mix in a record", test_forms_do_not_mix },
		{ NULL, NULL },
	};

	return harness_run("schema", cases);
}
