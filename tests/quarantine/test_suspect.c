#include <glib.h>

#include "harness.h"
#include "quarantine/suspect.h"

enum {
	NOW_MS = 50000,
};

static void
test_text(void)
{
	struct suspect suspect = {
		.key = { 0xabcdef0123456789, 7 },
		.seen_ms = NOW_MS - 5,
		.trials = 1,
		.trial_ms = NOW_MS - 400,
		.has_run_well = true,
		.quarantined = true,
	};
	GString *text = g_string_new(NULL);
	struct suspect copy;

	suspect_add_crash(
	    &suspect, (struct crash){ 0xfeed, 5, NOW_MS - 1000, true });
	suspect_add_crash(&suspect, (struct crash){ 2, 5, NOW_MS - 300, true });
	suspect_format(&suspect, NOW_MS, text);
	/* The other node's clock shows another time. */
	CU_ASSERT_TRUE(
	    suspect_parse(str_make(text->str, text->len), 300, &copy));
	CU_ASSERT_TRUE(request_key_equal(copy.key, suspect.key));
	CU_ASSERT_EQUAL(copy.crash_count, 2);
	CU_ASSERT_EQUAL(copy.crashes[0].id, 0xfeed);
	CU_ASSERT_EQUAL(copy.crashes[0].service, 5);
	CU_ASSERT_EQUAL(copy.crashes[0].at_ms, -700);
	CU_ASSERT_EQUAL(copy.seen_ms, 295);
	CU_ASSERT_FALSE(copy.crashes[0].cleared);
	CU_ASSERT_EQUAL(copy.trials, 1);
	CU_ASSERT_EQUAL(copy.trial_ms, -100);
	CU_ASSERT_TRUE(copy.has_run_well);
	CU_ASSERT_TRUE(copy.quarantined);
	g_string_free(text, TRUE);
}

static void
test_malformed(void)
{
	/* Crashes. */
	static const char too_many[] =
	    "00000000000000010000000000000002 0 -1 0 0 0 "
	    "1 1 0 0 2 1 0 0 3 1 0 0 4 1 0 0 5 1 0 0 6 1 0 0 7 1 0 0 "
	    "8 1 0 0 9 1 0 0 a 1 0 0 b 1 0 0 c 1 0 0 d 1 0 0";
	static const char *const texts[] = {
		"",
		"00000000000000010000000000000002",
		"00000000000000010000000000000002 1 -1 0 0",
		"00000000000000010000000000000002 -2 -1 0 0 0",
		"00000000000000010000000000000002 1 -1 0 0 0 7 1 0",
		"00000000000000010000000000000002 1 -1 0 0 0 7 1 -1 0",
		"00000000000000010000000000000002 1 -1 0 0 0 7 1 99999999999 0",
		too_many,
		"key 1 -1 0 0 0",
	};
	struct suspect suspect;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
		CU_ASSERT_FALSE(
		    suspect_parse(str_from(texts[i]), NOW_MS, &suspect));
}

/*
 * A crash that was cleared stays so when another node tells of it again, with a
 * time that has shifted on the way.
 */
static void
test_cleared(void)
{
	struct suspect suspect = { 0 };

	CU_ASSERT_TRUE(
	    suspect_add_crash(&suspect, (struct crash){ 1, 5, 100, true }));
	CU_ASSERT_TRUE(suspect_clear(&suspect));
	CU_ASSERT_EQUAL(suspect_open_count(&suspect), 0);
	CU_ASSERT_FALSE(
	    suspect_add_crash(&suspect, (struct crash){ 1, 5, 900, true }));
	CU_ASSERT_EQUAL(suspect_open_count(&suspect), 0);
	CU_ASSERT_TRUE(
	    suspect_add_crash(&suspect, (struct crash){ 3, 5, 90, true }));
	CU_ASSERT_EQUAL(suspect_open_count(&suspect), 1);
	CU_ASSERT_EQUAL(suspect_last_crash_ms(&suspect), 90);
}

/* Many crashes: those that were cleared make room. */
static void
test_room(void)
{
	struct suspect suspect = { 0 };

	for (uint64_t id = 1; id <= SUSPECT_CRASHES_MAX + 3; id++) {
		CU_ASSERT_TRUE(suspect_add_crash(
		    &suspect, (struct crash){ id, 5, 100, true }));
		if (id <= 3)
			suspect_clear(&suspect);
	}
	CU_ASSERT_EQUAL(suspect_open_count(&suspect), SUSPECT_CRASHES_MAX);
	CU_ASSERT_FALSE(
	    suspect_add_crash(&suspect, (struct crash){ 99, 5, 100, true }));
}

static const struct test_case cases[] = {
	{ "text form", test_text },
	{ "malformed text", test_malformed },
	{ "cleared", test_cleared },
	{ "room for crashes", test_room },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("suspect", cases);
}
