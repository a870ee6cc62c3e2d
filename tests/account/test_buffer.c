#include <string.h>

#include "account/buffer.h"
#include "common/rng.h"
#include "harness.h"

enum {
	STEPS = 5000,
	PIECE_MAX = 3000,
};

static const struct account_settings settings = {
	.limits = { 1 << 20, 100 },
};

static struct account_holder *
open_one(struct account *account)
{
	return account_open(account, CONNECTION_CALLER, NULL, NULL, 0);
}

static uint64_t
used(const struct account *account)
{
	return account_used(account, CONNECTION_CALLER, ACCOUNT_MEMORY);
}

/* What it occupies is counted, not only the bytes. */
static void
test_counts_capacity(void)
{
	struct account *account = account_new(&settings);
	struct account_holder *holder = open_one(account);
	uint64_t before = used(account);
	struct account_buffer buffer;

	account_buffer_init(&buffer, holder);
	account_buffer_append(&buffer, str_from("a"));
	CU_ASSERT_EQUAL(used(account) - before, 64);
	account_buffer_consume(&buffer, 1);
	CU_ASSERT_EQUAL(used(account) - before, 64);
	account_buffer_release(&buffer);
	CU_ASSERT_EQUAL(used(account), before);
	account_close(holder);
	account_free(account);
}

/* Memory outlives the connection that it is counted for. */
static void
test_outlives_connection(void)
{
	struct account *account = account_new(&settings);
	struct account_holder *holder = open_one(account);
	struct account_buffer buffer, stolen;

	account_buffer_init(&buffer, holder);
	account_buffer_append(&buffer, str_from("kept"));
	account_close(holder);
	CU_ASSERT_TRUE(used(account) > 0);
	stolen = account_buffer_steal(&buffer);
	account_buffer_release(&buffer);
	CU_ASSERT_TRUE(
	    str_equal(account_buffer_view(&stolen), str_from("kept")));
	account_buffer_release(&stolen);
	CU_ASSERT_EQUAL(used(account), 0);
	account_free(account);
}

static void
test_assign(void)
{
	struct account *account = account_new(&settings);
	struct account_holder *first = open_one(account);
	struct account_holder *second = open_one(account);
	struct account_buffer buffer;

	account_buffer_init(&buffer, first);
	account_buffer_append(&buffer, str_from("moved"));
	account_buffer_assign(&buffer, second);
	CU_ASSERT_EQUAL(
	    second->used[ACCOUNT_MEMORY], first->used[ACCOUNT_MEMORY] + 64);
	account_buffer_assign(&buffer, NULL);
	CU_ASSERT_EQUAL(
	    second->used[ACCOUNT_MEMORY], first->used[ACCOUNT_MEMORY]);
	account_buffer_release(&buffer);
	account_close(first);
	account_close(second);
	CU_ASSERT_EQUAL(used(account), 0);
	account_free(account);
}

/* A large one that is empty occupies little, and is usable again. */
static void
test_trim(void)
{
	struct account_buffer buffer;
	char bytes[10000] = { 0 };

	account_buffer_init(&buffer, NULL);
	account_buffer_append(&buffer, str_make(bytes, sizeof(bytes)));
	account_buffer_consume(&buffer, sizeof(bytes) - 1);
	account_buffer_trim(&buffer);
	CU_ASSERT_EQUAL(account_buffer_len(&buffer), 1);
	account_buffer_consume(&buffer, 1);
	account_buffer_trim(&buffer);
	CU_ASSERT_EQUAL(buffer.capacity, 0);
	account_buffer_append(&buffer, str_from("x"));
	CU_ASSERT_EQUAL(account_buffer_len(&buffer), 1);
	account_buffer_release(&buffer);
}

/* Appended and dropped in any pieces, the bytes come out in order. */
static void
test_random_stream(void)
{
	struct rng *rng = rng_seeded_new(5);
	struct account_buffer buffer;
	uint8_t in = 0, out = 0, piece[PIECE_MAX];
	size_t most = 0;

	account_buffer_init(&buffer, NULL);
	for (size_t step = 0; step < STEPS; step++) {
		size_t len = rng_below(rng, PIECE_MAX);
		struct str view;

		for (size_t i = 0; i < len; i++)
			piece[i] = in++;
		account_buffer_append(&buffer, str_make(piece, len));
		view = account_buffer_view(&buffer);
		most = MAX(most, view.len);
		len = step % 100 == 99 ? view.len : rng_below(rng, PIECE_MAX);
		len = MIN(len, view.len);
		for (size_t i = 0; i < len; i++)
			CU_ASSERT_EQUAL_FATAL((uint8_t)view.ptr[i], out++);
		account_buffer_consume(&buffer, len);
		CU_ASSERT_TRUE_FATAL(buffer.capacity <= MAX(64, 4 * most));
	}
	account_buffer_release(&buffer);
	rng_free(rng);
}

static const struct test_case cases[] = {
	{ "counts what it occupies", test_counts_capacity },
	{ "outlives the connection", test_outlives_connection },
	{ "is counted at another holder", test_assign },
	{ "frees much memory", test_trim },
	{ "keeps the order of bytes", test_random_stream },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("buffer", cases);
}
