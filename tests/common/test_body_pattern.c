#include <string.h>

#include "common/body_pattern.h"
#include "harness.h"

enum {
	BODY_BYTES = 10007,
	PART_BYTES = 13,
};

static void
test_parts_equal_whole(void)
{
	struct body_pattern pattern;
	unsigned char whole[BODY_BYTES];
	unsigned char part[PART_BYTES];

	body_pattern_init(&pattern, str_from("a1"), BODY_BYTES);
	body_pattern_fill(&pattern, 0, whole, sizeof(whole));
	for (size_t at = 0; at + PART_BYTES <= BODY_BYTES; at += PART_BYTES) {
		body_pattern_fill(&pattern, at, part, sizeof(part));
		CU_ASSERT_EQUAL(memcmp(part, whole + at, sizeof(part)), 0);
	}
	CU_ASSERT_TRUE(body_pattern_matches(&pattern, 0, whole, sizeof(whole)));
	CU_ASSERT_TRUE(body_pattern_matches(&pattern, 7, whole + 7, 5000));
}

static void
test_other_responses_differ(void)
{
	struct body_pattern own, other_request, other_size;
	unsigned char bytes[BODY_BYTES];

	body_pattern_init(&own, str_from("a1"), BODY_BYTES);
	body_pattern_init(&other_request, str_from("a2"), BODY_BYTES);
	body_pattern_init(&other_size, str_from("a1"), BODY_BYTES + 1);
	body_pattern_fill(&own, 0, bytes, sizeof(bytes));
	CU_ASSERT_FALSE(body_pattern_matches(&other_request, 0, bytes, 64));
	CU_ASSERT_FALSE(body_pattern_matches(&other_size, 0, bytes, 64));
	CU_ASSERT_FALSE(body_pattern_matches(&own, 8, bytes, 64));
	bytes[BODY_BYTES - 1] ^= 1;
	CU_ASSERT_FALSE(body_pattern_matches(&own, 0, bytes, sizeof(bytes)));
}

static void
test_beyond_size_does_not_match(void)
{
	struct body_pattern pattern;
	unsigned char bytes[PART_BYTES + 1];

	body_pattern_init(&pattern, str_from("a1"), PART_BYTES);
	body_pattern_fill(&pattern, 0, bytes, sizeof(bytes));
	CU_ASSERT_TRUE(body_pattern_matches(&pattern, 0, bytes, PART_BYTES));
	CU_ASSERT_FALSE(
	    body_pattern_matches(&pattern, 0, bytes, sizeof(bytes)));
	CU_ASSERT_FALSE(body_pattern_matches(&pattern, UINT64_MAX, bytes, 2));
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "parts equal the whole", test_parts_equal_whole },
		{ "other responses differ", test_other_responses_differ },
		{ "bytes beyond the size do not match",
		    test_beyond_size_does_not_match },
		{ NULL, NULL },
	};

	return harness_run("body_pattern", cases);
}
