#include "admission_fixture.h"
#include "harness.h"

/* The limit that an upstream names, as seen by the requests at its guard. */

/* Offer requests without a pause; returns how many start in a time. */
static int
count_starts(struct fixture *f, int64_t from_ms, int64_t to_ms)
{
	struct offered_request *request;
	int starts = 0;

	for (int64_t now_ms = from_ms; now_ms < to_ms; now_ms += 5) {
		f->offered_count = 0;
		if (offer(f, 1, now_ms, now_ms, &request) != ADMISSION_RUN)
			continue;
		starts++;
		finish(f, ADMISSION_SUCCEEDED, 1000, now_ms);
	}
	return starts;
}

/* Many times the requests that the upstream takes. */
static void
test_named_limit_holds(void)
{
	struct fixture f;

	fixture_init(&f);
	CU_ASSERT_TRUE(count_starts(&f, 0, 4000) > 100);
	admission_set_rate_limit(f.admission, 14800, 4000);
	CU_ASSERT_TRUE(count_starts(&f, 4000, 8000) <= 4 * 14.8 * 1.5 + 5);
	CU_ASSERT_TRUE(count_starts(&f, 8000, 12000) >= 4 * 14);
	admission_set_rate_limit(f.admission, 0, 12000);
	CU_ASSERT_TRUE(count_starts(&f, 12000, 16000) > 100);
	admission_free(f.admission);
}

/* Requests that wait when a limit is named go elsewhere at once. */
static void
test_late_starts_are_refused_at_once(void)
{
	struct offered_request *first, *second;
	struct fixture f;

	fixture_init(&f);
	fill_slots(&f, 0);
	CU_ASSERT_EQUAL(offer(&f, 1, 900, 0, &first), ADMISSION_QUEUED);
	CU_ASSERT_EQUAL(offer(&f, 1, 1000, 0, &second), ADMISSION_QUEUED);
	admission_set_rate_limit(f.admission, 500, 10);
	CU_ASSERT_FALSE(first->notified);
	CU_ASSERT_TRUE(second->notified);
	CU_ASSERT_EQUAL(second->reason, ADMISSION_TOO_LATE);
	/* The end of a run doesn't start more than the limit allows. */
	finish(&f, ADMISSION_SUCCEEDED, 1000, 20);
	CU_ASSERT_TRUE(first->notified);
	CU_ASSERT_EQUAL(first->reason, ADMISSION_OK);
	finish(&f, ADMISSION_SUCCEEDED, 1000, 30);
	CU_ASSERT_EQUAL(offer(&f, 1, 1000, 30, &first), ADMISSION_REFUSED);
	CU_ASSERT_EQUAL(offer(&f, 1, 3000, 30, &first), ADMISSION_QUEUED);
	CU_ASSERT_EQUAL(admission_poll(f.admission, 30), 2020);
	CU_ASSERT_EQUAL(admission_report(f.admission, 30).rate_wait_ms, 3990);
	admission_poll(f.admission, 2020);
	CU_ASSERT_EQUAL(first->reason, ADMISSION_OK);
	admission_free(f.admission);
}

/* A cold upstream that names a limit gets the lower of the two rates. */
static void
test_lower_rate_counts(void)
{
	struct fixture f;

	fixture_init(&f);
	admission_set_cold(f.admission, FOREVER_MS, 10);
	admission_set_rate_limit(f.admission, 2000, 0);
	CU_ASSERT_TRUE(count_starts(&f, 0, 4000) <= 10);
	admission_set_rate_limit(f.admission, 50000, 4000);
	CU_ASSERT_TRUE(count_starts(&f, 5000, 9000) <= 40);
	admission_free(f.admission);
}

/*
 * Offer requests without a pause to an upstream that is cold, at a gate whose
 * process begins at a time; append the times of their starts.
 */
static void
run_cold(GArray *starts, double per_s, int64_t from_ms, int64_t to_ms)
{
	struct offered_request *request;
	struct fixture f;

	fixture_init(&f);
	admission_set_cold(f.admission, FOREVER_MS, per_s);
	for (int64_t now_ms = from_ms; now_ms < to_ms; now_ms++) {
		f.offered_count = 0;
		while (f.offered_count < WAITERS_MAX &&
		    offer(&f, 1, now_ms, now_ms, &request) == ADMISSION_RUN) {
			g_array_append_val(starts, now_ms);
			finish(&f, ADMISSION_SUCCEEDED, 1000, now_ms);
		}
	}
	admission_free(f.admission);
}

static guint
most_in_a_second(const GArray *starts)
{
	guint most = 0, first = 0;

	for (guint i = 0; i < starts->len; i++) {
		while (g_array_index(starts, int64_t, i) -
			g_array_index(starts, int64_t, first) >=
		    1000)
			first++;
		most = MAX(most, i - first + 1);
	}
	return most;
}

/*
 * A gate whose process is killed forgets what it has started. With the next
 * one, which begins at any moment, the upstream must not get more in a second
 * than it bears, of which the gate's rate is nine tenths.
 */
static void
test_restart_holds_the_cold_rate(void)
{
	static const double bounds[] = { 20, 26, 44, 100, 305 };
	static const int64_t gaps_ms[] = { 0, 30, 100, 500 };

	for (size_t i = 0; i < G_N_ELEMENTS(bounds); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(gaps_ms); j++) {
			for (int64_t killed_ms = 20; killed_ms < 1500;
			     killed_ms += 35) {
				GArray *starts =
				    g_array_new(FALSE, FALSE, sizeof(int64_t));
				double per_s = bounds[i] * 0.9;

				run_cold(starts, per_s, 0, killed_ms);
				run_cold(starts, per_s, killed_ms + gaps_ms[j],
				    killed_ms + 3000);
				CU_ASSERT_TRUE(
				    most_in_a_second(starts) <= bounds[i]);
				CU_ASSERT_TRUE(starts->len > per_s * 2);
				g_array_free(starts, TRUE);
			}
		}
	}
}

static const struct test_case cases[] = {
	{ "a restart holds the cold rate", test_restart_holds_the_cold_rate },
	{ "a named limit holds", test_named_limit_holds },
	{ "late starts are refused at once",
	    test_late_starts_are_refused_at_once },
	{ "the lower rate counts", test_lower_rate_counts },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("admission rate", cases);
}
