#include <pthread.h>
#include <stdatomic.h>

#include "config/live.h"
#include "fixture.h"
#include "harness.h"
#include "oracle.h"

enum {
	READERS = 4,
	STEPS = 400,
};

struct reading {
	struct live_config *live;
	atomic_bool stop;
	atomic_uint broken;   /* snapshots that were not whole */
	atomic_uint backward; /* versions seen to fall */
};

/* Pin, check and drop snapshots, as a request does. */
static void *
read_snapshots(void *arg)
{
	struct reading *reading = arg;
	uint64_t last = 0;

	while (!atomic_load(&reading->stop)) {
		struct snapshot *snapshot = live_config_get(reading->live);
		uint64_t version = snapshot_id(snapshot).version;

		if (!is_whole(snapshot))
			atomic_fetch_add(&reading->broken, 1);
		if (version < last)
			atomic_fetch_add(&reading->backward, 1);
		last = version;
		snapshot_unref(snapshot);
	}
	return NULL;
}

static void
test_readers_see_whole_snapshots(void)
{
	struct reading reading = { .live = live_config_new() };
	struct snapshot *state = snapshot_empty_new();
	struct oracle *oracle = oracle_new();
	struct rng *rng = rng_seeded_new(1);
	pthread_t readers[READERS];

	live_config_publish(reading.live, state);
	for (int i = 0; i < READERS; i++)
		pthread_create(&readers[i], NULL, read_snapshots, &reading);
	for (int i = 0; i < STEPS; i++) {
		char *json = oracle_invent(oracle, rng);

		apply(&state, json);
		live_config_publish(reading.live, state);
		g_free(json);
	}
	atomic_store(&reading.stop, true);
	for (int i = 0; i < READERS; i++)
		pthread_join(readers[i], NULL);
	CU_ASSERT_EQUAL(atomic_load(&reading.broken), 0);
	CU_ASSERT_EQUAL(atomic_load(&reading.backward), 0);
	live_config_free(reading.live);
	snapshot_unref(state);
	oracle_free(oracle);
	rng_free(rng);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "readers see whole snapshots",
		    test_readers_see_whole_snapshots },
		{ NULL, NULL },
	};

	return harness_run("threads", cases);
}
