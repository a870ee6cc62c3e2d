#include <pthread.h>
#include <stdatomic.h>

#include "config/live.h"
#include "fixture.h"
#include "harness.h"
#include "oracle.h"

enum {
	READERS = 4,
	PUBLICATIONS = 400,
};

struct reader_context {
	struct live_config *live;
	atomic_bool stop;
	atomic_uint inconsistent;      /* snapshots */
	atomic_uint version_decreases; /* within one reader */
};

/* Acquire, check and release snapshots, as a request does. */
static void *
read_snapshots(void *arg)
{
	struct reader_context *context = arg;
	uint64_t previous = 0;

	while (!atomic_load(&context->stop)) {
		struct snapshot *snapshot = live_config_get(context->live);
		uint64_t version = snapshot_id(snapshot).version;

		if (!snapshot_is_consistent(snapshot))
			atomic_fetch_add(&context->inconsistent, 1);
		if (version < previous)
			atomic_fetch_add(&context->version_decreases, 1);
		previous = version;
		snapshot_unref(snapshot);
	}
	return NULL;
}

static void
test_readers_see_consistent_snapshots(void)
{
	struct reader_context context = { .live = live_config_new() };
	struct snapshot *state = snapshot_empty_new();
	struct oracle *oracle = oracle_new();
	struct rng *rng = rng_seeded_new(1);
	pthread_t readers[READERS];

	live_config_publish(context.live, state);
	for (int i = 0; i < READERS; i++)
		pthread_create(&readers[i], NULL, read_snapshots, &context);
	for (int i = 0; i < PUBLICATIONS; i++) {
		char *json = oracle_generate(oracle, rng);

		apply_json(&state, json);
		live_config_publish(context.live, state);
		g_free(json);
	}
	atomic_store(&context.stop, true);
	for (int i = 0; i < READERS; i++)
		pthread_join(readers[i], NULL);
	CU_ASSERT_EQUAL(atomic_load(&context.inconsistent), 0);
	CU_ASSERT_EQUAL(atomic_load(&context.version_decreases), 0);
	live_config_free(context.live);
	snapshot_unref(state);
	oracle_free(oracle);
	rng_free(rng);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "readers see consistent snapshots",
		    test_readers_see_consistent_snapshots },
		{ NULL, NULL },
	};

	return harness_run("threads", cases);
}
