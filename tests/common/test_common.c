#include <pthread.h>
#include <string.h>

#include "common/counter.h"
#include "common/event.h"
#include "common/rng.h"
#include "common/str.h"
#include "harness.h"

static void
test_str_order(void)
{
	CU_ASSERT(str_compare(str_from("a"), str_from("ab")) < 0);
	CU_ASSERT(str_compare(str_from("b"), str_from("ab")) > 0);
	CU_ASSERT(str_equal(str_from(""), str_make(NULL, 0)));
	CU_ASSERT(str_has_prefix(str_from("/reels/1"), str_from("/reels")));
	CU_ASSERT(!str_has_prefix(str_from("/re"), str_from("/reels")));
}

static void
test_clock_arithmetic(void)
{
	struct timespec t = { .tv_sec = 1, .tv_nsec = 999000000 };
	struct timespec later = timespec_plus_ms(t, 2);

	CU_ASSERT_EQUAL(later.tv_sec, 2);
	CU_ASSERT_EQUAL(later.tv_nsec, 1000000);
	CU_ASSERT_EQUAL(timespec_ms_between(later, t), -2);
	CU_ASSERT(timespec_before(t, later));
}

static void
test_rng_repeats(void)
{
	struct rng *a = rng_seeded_new(7);
	struct rng *b = rng_seeded_new(7);

	for (int i = 0; i < 100; i++)
		CU_ASSERT_EQUAL(rng_next(a), rng_next(b));
	CU_ASSERT_EQUAL(rng_below(a, 0), 0);
	rng_free(a);
	rng_free(b);
}

static void
test_counter_family_header(void)
{
	static const struct counter_desc descs[] = {
		{ "x_total{reason=\"a\"}", "What x counts." },
		{ "x_total{reason=\"b\"}", "What x counts." },
	};
	struct counter_set set;
	GString *out = g_string_new(NULL);

	counter_set_init(&set, descs, G_N_ELEMENTS(descs));
	counter_add(&set, 1, 3);
	counter_set_render(&set, out);
	CU_ASSERT_STRING_EQUAL(out->str,
	    "# HELP x_total What x counts.\n# TYPE x_total counter\n"
	    "x_total{reason=\"a\"} 0\nx_total{reason=\"b\"} 3\n");
	g_string_free(out, TRUE);
}

static void
test_event_ring_is_bounded(void)
{
	struct event_log *log = event_log_new(clock_system(), 4);
	struct event out[8];

	for (int i = 1; i <= 10; i++)
		event_record(log, EVENT_VERSION_ACCEPTED, (uint64_t)i, 0, 0,
		    str_from("n"));
	CU_ASSERT_EQUAL(event_log_copy(log, 0, out, 8), 4);
	CU_ASSERT_EQUAL(out[0].version, 7);
	CU_ASSERT_EQUAL(out[3].sequence, 10);
	CU_ASSERT_EQUAL(event_log_copy(log, 9, out, 8), 1);
	event_log_free(log);
}

enum {
	WRITERS = 4,
	EVENTS_PER_WRITER = 20000,
	RING_CAPACITY = 16,
};

static void *
write_events(void *arg)
{
	for (uint64_t i = 1; i <= EVENTS_PER_WRITER; i++)
		event_record(
		    arg, EVENT_CALL_REFUSED, i, i, (int64_t)i, str_from("x"));
	return NULL;
}

/* Threads overwrite events of each other in a small ring; none may be torn. */
static void
test_events_are_not_torn(void)
{
	struct event_log *log = event_log_new(clock_system(), RING_CAPACITY);
	struct event out[RING_CAPACITY];
	pthread_t threads[WRITERS];
	uint64_t last = 0;

	for (size_t i = 0; i < WRITERS; i++)
		pthread_create(&threads[i], NULL, write_events, log);
	while (last < (uint64_t)WRITERS * EVENTS_PER_WRITER) {
		size_t count = event_log_copy(log, last, out, RING_CAPACITY);

		for (size_t i = 0; i < count; i++) {
			CU_ASSERT(out[i].sequence > last);
			CU_ASSERT_EQUAL(out[i].version, out[i].request);
			CU_ASSERT_EQUAL(out[i].value, (int64_t)out[i].version);
			last = out[i].sequence;
		}
	}
	for (size_t i = 0; i < WRITERS; i++)
		pthread_join(threads[i], NULL);
	event_log_free(log);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "strings are ordered bytewise", test_str_order },
		{ "time arithmetic carries", test_clock_arithmetic },
		{ "a seed repeats its sequence", test_rng_repeats },
		{ "a family has one HELP and TYPE",
		    test_counter_family_header },
		{ "the event ring is bounded", test_event_ring_is_bounded },
		{ "concurrent writers tear no event",
		    test_events_are_not_torn },
		{ NULL, NULL },
	};

	return harness_run("common", cases);
}
