#include "account/account.h"
#include "common/rng.h"
#include "harness.h"

enum {
	LIMIT_BYTES = 1000000,
	LIMIT_DESCRIPTORS = 100,
	HOLDERS_MAX = 200,
	STEPS = 20000,
};

static const struct account_settings settings = {
	.limits = { LIMIT_BYTES, LIMIT_DESCRIPTORS },
};

static bool
is_working(const struct account_holder *holder)
{
	return holder->owner != NULL;
}

static const struct account_holder_ops ops = { .is_working = is_working };

/* Any address: the process works for a holder that has an owner. */
static int work;

static struct account_holder *
open_one(struct account *account, enum connection_class class, int64_t now_ms)
{
	return account_open(account, class, &ops, NULL, now_ms);
}

/* A crowd of callers, up to what they may take. Returns how many there are. */
static size_t
open_crowd(struct account *account, struct account_holder **crowd)
{
	size_t count = 0;

	while (count < HOLDERS_MAX &&
	    account_may_take(
		account, CONNECTION_CALLER, ACCOUNT_DESCRIPTORS, 1))
		crowd[count++] = open_one(account, CONNECTION_CALLER, 0);
	return count;
}

static void
test_crowd_leaves_reserves(void)
{
	struct account *account = account_new(&settings);
	struct account_holder *crowd[HOLDERS_MAX], *nodes[25];
	size_t count = open_crowd(account, crowd);

	/* Its own reserve of 25, and the 25 that no class has reserved. */
	CU_ASSERT_EQUAL(count, 50);
	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++) {
		CU_ASSERT_TRUE(account_may_take(
		    account, CONNECTION_NODE, ACCOUNT_DESCRIPTORS, 1));
		nodes[i] = open_one(account, CONNECTION_NODE, 0);
	}
	CU_ASSERT_FALSE(
	    account_may_take(account, CONNECTION_NODE, ACCOUNT_DESCRIPTORS, 1));
	CU_ASSERT_TRUE(account_may_take(
	    account, CONNECTION_OPERATOR, ACCOUNT_DESCRIPTORS, 4));
	CU_ASSERT_FALSE(account_may_take(
	    account, CONNECTION_OPERATOR, ACCOUNT_DESCRIPTORS, 5));
	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++)
		account_close(nodes[i]);
	while (count > 0)
		account_close(crowd[--count]);
	account_free(account);
}

/* Nodes that have taken the shared part leave callers their reserve. */
static void
test_first_crowd_leaves_reserves(void)
{
	struct account *account = account_new(&settings);
	struct account_holder *node = open_one(account, CONNECTION_NODE, 0);
	struct account_holder *caller = open_one(account, CONNECTION_CALLER, 0);

	account_charge(node, LIMIT_BYTES * 55 / 100 - sizeof(*node));
	CU_ASSERT_FALSE(
	    account_may_take(account, CONNECTION_NODE, ACCOUNT_MEMORY, 1));
	CU_ASSERT_TRUE(account_may_take(account, CONNECTION_CALLER,
	    ACCOUNT_MEMORY, LIMIT_BYTES / 4 - sizeof(*caller)));
	CU_ASSERT_FALSE(account_may_take(
	    account, CONNECTION_CALLER, ACCOUNT_MEMORY, LIMIT_BYTES / 4));
	account_refund(node, LIMIT_BYTES * 55 / 100 - sizeof(*node));
	account_close(node);
	account_close(caller);
	account_free(account);
}

/* The longest idle one gives way, and never one that is worked for. */
static void
test_descriptor_of_the_idle(void)
{
	struct account *account = account_new(&settings);
	struct account_holder *working =
	    account_open(account, CONNECTION_CALLER, &ops, &work, 0);
	struct account_holder *kept = open_one(account, CONNECTION_CALLER, 0);
	struct account_holder *silent =
	    open_one(account, CONNECTION_CALLER, 9000);
	struct account_holder *new_one =
	    open_one(account, CONNECTION_CALLER, 9990);

	account_progress(kept, 8000);
	CU_ASSERT_PTR_EQUAL(account_choose(account, CONNECTION_CALLER,
				ACCOUNT_DESCRIPTORS, 10000),
	    silent);
	account_revoke(silent);
	CU_ASSERT_PTR_EQUAL(account_choose(account, CONNECTION_CALLER,
				ACCOUNT_DESCRIPTORS, 10000),
	    kept);
	account_revoke(kept);
	CU_ASSERT_PTR_EQUAL(account_choose(account, CONNECTION_CALLER,
				ACCOUNT_DESCRIPTORS, 10000),
	    new_one);
	account_revoke(new_one);
	CU_ASSERT_PTR_NULL(account_choose(
	    account, CONNECTION_CALLER, ACCOUNT_DESCRIPTORS, 10000));
	CU_ASSERT_EQUAL(
	    account_used(account, CONNECTION_CALLER, ACCOUNT_DESCRIPTORS), 1);
	account_close(working);
	account_close(kept);
	account_close(silent);
	account_close(new_one);
	account_free(account);
}

/* Who holds most and has taken nothing for longest gives way first. */
static void
test_memory_of_the_largest(void)
{
	struct account *account = account_new(&settings);
	struct account_holder *reading =
	    open_one(account, CONNECTION_CALLER, 0);
	struct account_holder *stalled =
	    open_one(account, CONNECTION_CALLER, 0);
	struct account_holder *small = open_one(account, CONNECTION_CALLER, 0);
	struct account_holder *node = open_one(account, CONNECTION_NODE, 0);

	account_charge(reading, 300000);
	account_charge(stalled, 200000);
	account_charge(small, 2000);
	account_charge(node, 900000);
	account_progress(reading, 10000);
	CU_ASSERT_PTR_EQUAL(
	    account_choose(account, CONNECTION_CALLER, ACCOUNT_MEMORY, 10000),
	    stalled);
	account_revoke(stalled);
	CU_ASSERT_PTR_EQUAL(
	    account_choose(account, CONNECTION_CALLER, ACCOUNT_MEMORY, 10000),
	    reading);
	account_refund(reading, 300000);
	account_refund(stalled, 200000);
	account_refund(small, 2000);
	account_refund(node, 900000);
	account_close(reading);
	account_close(stalled);
	account_close(small);
	account_close(node);
	account_free(account);
}

/* Requests without an end, each of which is worth little. */
static void
test_crowd_of_small_ones(void)
{
	struct account *account = account_new(&settings);
	struct account_holder *crowd[HOLDERS_MAX];
	struct account_holder *ordinary;
	size_t revoked = 0;

	for (size_t i = 0; i < HOLDERS_MAX; i++) {
		crowd[i] = open_one(account, CONNECTION_CALLER, (int64_t)i);
		account_charge(crowd[i], 16000);
	}
	ordinary = account_open(account, CONNECTION_CALLER, &ops, &work, 4990);
	account_charge(ordinary, 8000);
	while (!account_may_take(
	    account, CONNECTION_CALLER, ACCOUNT_MEMORY, 8000)) {
		struct account_holder *chosen = account_choose(
		    account, CONNECTION_CALLER, ACCOUNT_MEMORY, 5000);

		CU_ASSERT_PTR_NOT_EQUAL_FATAL(chosen, ordinary);
		account_revoke(chosen);
		revoked++;
	}
	CU_ASSERT_TRUE(revoked < HOLDERS_MAX);
	account_refund(ordinary, 8000);
	account_close(ordinary);
	for (size_t i = 0; i < HOLDERS_MAX; i++) {
		account_refund(crowd[i], 16000);
		account_close(crowd[i]);
	}
	account_free(account);
}

/* Nothing is closed before its time, and nothing stays without end. */
static void
test_expiry(void)
{
	struct account_settings limited = {
		.limits = { LIMIT_BYTES, LIMIT_DESCRIPTORS },
		.unread_max_ms = 3000,
		.operator_idle_max_ms = 5000,
	};
	struct account *account = account_new(&limited);
	struct account_holder *caller = open_one(account, CONNECTION_CALLER, 0);
	struct account_holder *operator=
	    open_one(account, CONNECTION_OPERATOR, 0);

	CU_ASSERT_FALSE(account_is_expired(caller, false, 1000000));
	CU_ASSERT_FALSE(account_is_expired(caller, true, 2999));
	CU_ASSERT_TRUE(account_is_expired(caller, true, 3000));
	account_progress(caller, 3000);
	CU_ASSERT_FALSE(account_is_expired(caller, true, 5999));
	CU_ASSERT_FALSE(account_is_expired(operator, false, 4999));
	CU_ASSERT_TRUE(account_is_expired(operator, false, 5000));
	account_revoke(operator);
	CU_ASSERT_FALSE(account_is_expired(operator, false, 5000));
	account_close(caller);
	account_close(operator);
	account_free(account);
}

/* Whatever happens in whatever order, all is given back in the end. */
static void
test_random_balance(void)
{
	struct rng *rng = rng_seeded_new(47);
	struct account *account = account_new(&settings);
	struct account_holder *holders[HOLDERS_MAX] = { 0 };
	size_t charged[HOLDERS_MAX] = { 0 };

	for (size_t step = 0; step < STEPS; step++) {
		size_t i = rng_below(rng, HOLDERS_MAX);
		size_t bytes = rng_below(rng, 5000);

		if (holders[i] == NULL) {
			holders[i] = account_open(account,
			    rng_below(rng, CONNECTION_CLASSES), &ops, NULL,
			    (int64_t)step);
			continue;
		}
		switch (rng_below(rng, 4)) {
		case 0:
			account_charge(holders[i], bytes);
			charged[i] += bytes;
			break;
		case 1:
			account_revoke(holders[i]);
			break;
		default:
			account_holder_ref(holders[i]);
			account_close(holders[i]);
			account_refund(holders[i], charged[i]);
			account_holder_unref(holders[i]);
			holders[i] = NULL;
			charged[i] = 0;
		}
	}
	for (size_t i = 0; i < HOLDERS_MAX; i++) {
		account_refund(holders[i], charged[i]);
		if (holders[i] != NULL)
			account_close(holders[i]);
	}
	for (size_t i = 0; i < CONNECTION_CLASSES; i++) {
		CU_ASSERT_EQUAL(account_used(account, i, ACCOUNT_MEMORY), 0);
		CU_ASSERT_EQUAL(
		    account_used(account, i, ACCOUNT_DESCRIPTORS), 0);
		CU_ASSERT_PTR_NULL(account_first(account, i));
	}
	account_free(account);
	rng_free(rng);
}

static const struct test_case cases[] = {
	{ "a crowd leaves the reserves", test_crowd_leaves_reserves },
	{ "who comes first leaves the reserves",
	    test_first_crowd_leaves_reserves },
	{ "the idle give way with their descriptor",
	    test_descriptor_of_the_idle },
	{ "the largest give way with their memory",
	    test_memory_of_the_largest },
	{ "a crowd of small ones gives way", test_crowd_of_small_ones },
	{ "connections without progress expire", test_expiry },
	{ "all is given back", test_random_balance },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("account", cases);
}
