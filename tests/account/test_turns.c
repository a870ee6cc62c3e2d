#include "account/turns.h"
#include "harness.h"

enum {
	CROWD = 500,
	ITERATIONS_MAX = 100,
};

/* One connection of a crowd has turns in the order in which it waited. */
static void
test_waits_in_order(void)
{
	struct turns turns;
	GList links[CROWD] = { 0 };
	size_t taken = 0;

	turns_init(&turns);
	for (size_t i = 0; i < CROWD; i++)
		turns_wait(&turns, CONNECTION_CALLER, &links[i]);
	for (size_t i = 0; i < ITERATIONS_MAX && turns_any_waits(&turns); i++) {
		size_t in_iteration = 0;
		const GList *next;

		while ((next = turns_next(&turns, CONNECTION_CALLER)) != NULL) {
			CU_ASSERT_PTR_EQUAL(next, &links[taken]);
			taken++;
			in_iteration++;
		}
		CU_ASSERT_TRUE(in_iteration <= CROWD / 4);
		turns_begin(&turns);
	}
	CU_ASSERT_EQUAL(taken, CROWD);
}

/* A connection with input without end leaves each other its turn. */
static void
test_nobody_overtakes(void)
{
	struct turns turns;
	GList greedy = { 0 }, other = { 0 };

	turns_init(&turns);
	while (turns_take(&turns, CONNECTION_CALLER))
		;
	turns_wait(&turns, CONNECTION_CALLER, &greedy);
	turns_wait(&turns, CONNECTION_CALLER, &other);
	turns_begin(&turns);
	CU_ASSERT_FALSE(turns_take(&turns, CONNECTION_CALLER));
	CU_ASSERT_PTR_EQUAL(turns_next(&turns, CONNECTION_CALLER), &greedy);
	turns_wait(&turns, CONNECTION_CALLER, &greedy);
	CU_ASSERT_PTR_EQUAL(turns_next(&turns, CONNECTION_CALLER), &other);
	CU_ASSERT_PTR_EQUAL(turns_next(&turns, CONNECTION_CALLER), &greedy);
	CU_ASSERT_TRUE(turns_take(&turns, CONNECTION_CALLER));
}

/* Callers that use up their turns leave nodes and operators theirs. */
static void
test_classes_are_apart(void)
{
	struct turns turns;
	GList waiting = { 0 };

	turns_init(&turns);
	while (turns_take(&turns, CONNECTION_CALLER))
		;
	turns_wait(&turns, CONNECTION_CALLER, &waiting);
	CU_ASSERT_PTR_NULL(turns_next(&turns, CONNECTION_CALLER));
	CU_ASSERT_TRUE(turns_take(&turns, CONNECTION_NODE));
	CU_ASSERT_TRUE(turns_take(&turns, CONNECTION_OPERATOR));
	turns_cancel(&turns, CONNECTION_CALLER, &waiting);
	CU_ASSERT_FALSE(turns_any_waits(&turns));
}

/* Bodies are as much work as many small requests. */
static void
test_much_input_costs_more(void)
{
	struct turns turns;
	size_t small = 0, large = 0;

	turns_init(&turns);
	while (turns_take(&turns, CONNECTION_CALLER)) {
		turns_charge(&turns, CONNECTION_CALLER, 100);
		small++;
	}
	turns_begin(&turns);
	while (turns_take(&turns, CONNECTION_CALLER)) {
		turns_charge(&turns, CONNECTION_CALLER, 65536);
		large++;
	}
	CU_ASSERT_TRUE(large > 0);
	CU_ASSERT_TRUE(large * 10 <= small);
}

static const struct test_case cases[] = {
	{ "a crowd waits in order", test_waits_in_order },
	{ "nobody overtakes", test_nobody_overtakes },
	{ "classes are apart", test_classes_are_apart },
	{ "much input costs more", test_much_input_costs_more },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("turns", cases);
}
