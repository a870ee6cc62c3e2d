#include <glib.h>

#include "guard/admission.h"
#include "harness.h"

enum {
	SLOTS = 4,
	QUEUE_MAX = 3,
	FOREVER_MS = 1000000,
	WAITERS_MAX = 64,
};

/* A request that notes its turn. */
struct noted {
	struct admission_waiter waiter; /* first */
	bool told;
	enum admission_reason reason;
};

struct fixture {
	struct admission *admission;
	struct noted noted[WAITERS_MAX];
	size_t used;
};

static void
handle_turn(struct admission_waiter *waiter, enum admission_reason reason)
{
	struct noted *noted = (struct noted *)waiter;

	noted->told = true;
	noted->reason = reason;
}

static void
fixture_init(struct fixture *f)
{
	struct admission_bounds bounds = {
		.queue_max = QUEUE_MAX,
		.pause_first_ms = 50,
		.pause_max_ms = 400,
	};

	*f = (struct fixture){ .admission = admission_new(&bounds) };
	admission_set_slots(f->admission, SLOTS);
	admission_set_open(f->admission, true);
}

static enum admission_verdict
offer(struct fixture *f, uint32_t priority, int64_t latest_ms, int64_t now_ms,
    struct noted **out)
{
	struct noted *noted = &f->noted[f->used++];
	enum admission_reason reason;

	noted->waiter.priority = priority;
	noted->waiter.latest_start_ms = latest_ms;
	noted->waiter.handle_turn = handle_turn;
	*out = noted;
	return admission_offer(f->admission, &noted->waiter, now_ms, &reason);
}

/* End a request; which one does not matter but for its kind. */
static void
finish(struct fixture *f, enum admission_outcome outcome, uint32_t latency_us,
    int64_t now_ms)
{
	struct admission_waiter waiter = { 0 };

	admission_finish(f->admission, &waiter, outcome, latency_us, now_ms);
}

static void
fill(struct fixture *f, int64_t now_ms)
{
	struct noted *noted;

	for (int i = 0; i < SLOTS; i++)
		CU_ASSERT_EQUAL(
		    offer(f, 1, FOREVER_MS, now_ms, &noted), ADMISSION_RUN);
}

static void
test_limit_and_order(void)
{
	struct noted *late, *urgent;
	struct fixture f;

	fixture_init(&f);
	fill(&f, 0);
	CU_ASSERT_EQUAL(offer(&f, 2, FOREVER_MS, 0, &late), ADMISSION_QUEUED);
	CU_ASSERT_EQUAL(offer(&f, 0, FOREVER_MS, 0, &urgent), ADMISSION_QUEUED);
	finish(&f, ADMISSION_GOOD, 1000, 10);
	CU_ASSERT_TRUE(urgent->told);
	CU_ASSERT_EQUAL(urgent->reason, ADMISSION_OK);
	CU_ASSERT_FALSE(late->told);
	CU_ASSERT_EQUAL(admission_report(f.admission, 10).in_flight, SLOTS);
	admission_withdraw(f.admission, &late->waiter);
	finish(&f, ADMISSION_GOOD, 1000, 20);
	CU_ASSERT_FALSE(late->told);
	admission_free(f.admission);
}

/* Of equally urgent ones, the one whose time is up first goes first. */
static void
test_short_of_time_goes_first(void)
{
	struct noted *patient, *hurried;
	struct fixture f;

	fixture_init(&f);
	fill(&f, 0);
	CU_ASSERT_EQUAL(offer(&f, 1, 900, 0, &patient), ADMISSION_QUEUED);
	CU_ASSERT_EQUAL(offer(&f, 1, 80, 0, &hurried), ADMISSION_QUEUED);
	finish(&f, ADMISSION_GOOD, 1000, 10);
	CU_ASSERT_TRUE(hurried->told);
	CU_ASSERT_FALSE(patient->told);
	admission_free(f.admission);
}

/* What can't be on time any more waits behind what can. */
static void
test_late_goes_last(void)
{
	struct noted *late, *fresh;
	struct admission_waiter *waiter;
	enum admission_reason reason;
	struct fixture f;

	fixture_init(&f);
	fill(&f, 0);
	late = &f.noted[f.used++];
	waiter = &late->waiter;
	waiter->priority = 1;
	waiter->late = true;
	waiter->latest_start_ms = 60;
	waiter->handle_turn = handle_turn;
	CU_ASSERT_EQUAL(
	    admission_offer(f.admission, waiter, 0, &reason), ADMISSION_QUEUED);
	CU_ASSERT_EQUAL(offer(&f, 1, 900, 0, &fresh), ADMISSION_QUEUED);
	finish(&f, ADMISSION_GOOD, 1000, 10);
	CU_ASSERT_TRUE(fresh->told);
	CU_ASSERT_FALSE(late->told);
	admission_free(f.admission);
}

static void
test_full_queue_displaces_less_urgent(void)
{
	struct noted *queued[QUEUE_MAX], *urgent, *refused;
	struct fixture f;

	fixture_init(&f);
	fill(&f, 0);
	for (int i = 0; i < QUEUE_MAX; i++)
		CU_ASSERT_EQUAL(
		    offer(&f, 5, FOREVER_MS, 0, &queued[i]), ADMISSION_QUEUED);
	CU_ASSERT_EQUAL(
	    offer(&f, 9, FOREVER_MS, 0, &refused), ADMISSION_REFUSED);
	CU_ASSERT_EQUAL(offer(&f, 0, FOREVER_MS, 0, &urgent), ADMISSION_QUEUED);
	CU_ASSERT_TRUE(queued[QUEUE_MAX - 1]->told);
	CU_ASSERT_EQUAL(queued[QUEUE_MAX - 1]->reason, ADMISSION_DISPLACED);
	CU_ASSERT_FALSE(queued[0]->told);
	admission_free(f.admission);
}

static void
test_refuses_what_would_come_too_late(void)
{
	struct noted *noted;
	struct fixture f;

	fixture_init(&f);
	fill(&f, 0);
	/* The prior latency is 100 ms: a turn comes after 25 ms. */
	CU_ASSERT_EQUAL(offer(&f, 1, 10, 0, &noted), ADMISSION_REFUSED);
	CU_ASSERT_EQUAL(offer(&f, 1, 60, 0, &noted), ADMISSION_QUEUED);
	CU_ASSERT_TRUE(admission_poll(f.admission, 30) > 0);
	CU_ASSERT_FALSE(noted->told);
	admission_poll(f.admission, 61);
	CU_ASSERT_TRUE(noted->told);
	CU_ASSERT_EQUAL(noted->reason, ADMISSION_EXPIRED);
	admission_free(f.admission);
}

/* Starts in every span of a second while cold, whatever comes. */
static void
test_cold_rate_holds_in_every_second(void)
{
	enum {
		RATE = 10,
		OFFERS = 40,
		STEP_MS = 37,
		END_MS = 1480,
	};
	int64_t starts[OFFERS];
	size_t count = 0;
	struct noted *noted;
	struct fixture f;

	fixture_init(&f);
	admission_set_slots(f.admission, 1000);
	admission_set_cold(f.admission, FOREVER_MS, RATE);
	for (int i = 0; i < OFFERS; i++) {
		int64_t now_ms = (int64_t)i * STEP_MS;

		if (offer(&f, 1, now_ms, now_ms, &noted) == ADMISSION_RUN) {
			starts[count++] = now_ms;
			finish(&f, ADMISSION_GOOD, 1000, now_ms);
		}
	}
	CU_ASSERT_TRUE(count >= RATE);
	for (size_t i = RATE; i < count; i++)
		CU_ASSERT_TRUE(starts[i] - starts[i - RATE] >= 1000);
	admission_set_cold(f.admission, 0, RATE);
	f.used = 0;
	for (int i = 0; i < RATE * 2; i++)
		CU_ASSERT_EQUAL(
		    offer(&f, 1, FOREVER_MS, END_MS, &noted), ADMISSION_RUN);
	admission_free(f.admission);
}

static void
test_refused_connections_pause_and_return(void)
{
	struct noted *noted, *queued;
	struct fixture f;

	fixture_init(&f);
	fill(&f, 0);
	offer(&f, 1, FOREVER_MS, 0, &queued);
	finish(&f, ADMISSION_REFUSED_CONNECTION, 0, 5);
	CU_ASSERT_TRUE(queued->told);
	CU_ASSERT_EQUAL(queued->reason, ADMISSION_UNREACHABLE);
	CU_ASSERT_FALSE(admission_report(f.admission, 10).accepting);
	CU_ASSERT_EQUAL(
	    offer(&f, 1, FOREVER_MS, 10, &noted), ADMISSION_REFUSED);
	for (int i = 1; i < SLOTS; i++)
		finish(&f, ADMISSION_BROKEN, 0, 20);
	/* After the pause one request alone tries. */
	CU_ASSERT_EQUAL(offer(&f, 1, FOREVER_MS, 100, &noted), ADMISSION_RUN);
	CU_ASSERT_EQUAL(
	    offer(&f, 1, FOREVER_MS, 100, &noted), ADMISSION_REFUSED);
	CU_ASSERT_FALSE(admission_take_returned(f.admission));
	finish(&f, ADMISSION_GOOD, 1000, 120);
	CU_ASSERT_TRUE(admission_take_returned(f.admission));
	CU_ASSERT_FALSE(admission_take_returned(f.admission));
	CU_ASSERT_EQUAL(offer(&f, 1, FOREVER_MS, 130, &noted), ADMISSION_RUN);
	admission_free(f.admission);
}

/*
 * An upstream that sheds more than half of what it gets, with slots free,
 * still gets several requests at once.
 */
static void
test_sheds_leave_half_of_the_slots(void)
{
	struct noted *noted;
	struct fixture f;

	fixture_init(&f);
	for (int i = 0; i < 40; i++) {
		f.used = 0;
		CU_ASSERT_EQUAL(
		    offer(&f, 1, FOREVER_MS, i, &noted), ADMISSION_RUN);
		finish(&f, ADMISSION_SHED, 1000, i);
	}
	CU_ASSERT_TRUE(admission_report(f.admission, 40).limit >= SLOTS / 2);
	CU_ASSERT_TRUE(admission_report(f.admission, 40).failing > 800);
	/* Old failures fade, so that it is tried again. */
	CU_ASSERT_TRUE(admission_report(f.admission, 8000).failing < 100);
	admission_free(f.admission);
}

/* Large answers that the link can't carry leave slots to short requests. */
static void
test_bulk_limit(void)
{
	struct noted *first, *bulk, *small;
	struct admission_waiter ended = { .bulk = true };
	enum admission_reason reason;
	struct fixture f;

	fixture_init(&f);
	admission_set_bulk(f.admission, 1, 80);
	for (int i = 0; i < 2; i++) {
		bulk = &f.noted[f.used++];
		bulk->waiter.bulk = true;
		bulk->waiter.latest_start_ms = FOREVER_MS;
		bulk->waiter.handle_turn = handle_turn;
		CU_ASSERT_EQUAL(
		    admission_offer(f.admission, &bulk->waiter, 0, &reason),
		    i == 0 ? ADMISSION_RUN : ADMISSION_QUEUED);
	}
	CU_ASSERT_EQUAL(offer(&f, 1, FOREVER_MS, 0, &first), ADMISSION_RUN);
	CU_ASSERT_EQUAL(admission_report(f.admission, 0).bulk_waiting, 2);
	for (int i = 0; i < SLOTS - 2; i++)
		offer(&f, 1, FOREVER_MS, 0, &small);
	CU_ASSERT_EQUAL(offer(&f, 1, FOREVER_MS, 0, &small), ADMISSION_QUEUED);
	finish(&f, ADMISSION_GOOD, 1000, 10);
	CU_ASSERT_TRUE(small->told);
	CU_ASSERT_FALSE(bulk->told);
	admission_finish(f.admission, &ended, ADMISSION_GOOD, 1000, 20);
	CU_ASSERT_TRUE(bulk->told);
	admission_free(f.admission);
}

static enum admission_verdict
offer_bulk(struct fixture *f, int64_t latest_ms, struct noted **out)
{
	struct noted *noted = &f->noted[f->used++];
	enum admission_reason reason;

	noted->waiter.bulk = true;
	noted->waiter.latest_start_ms = latest_ms;
	noted->waiter.handle_turn = handle_turn;
	*out = noted;
	return admission_offer(f->admission, &noted->waiter, 0, &reason);
}

/*
 * A large answer keeps the place that it was promised: a later request that
 * is in more of a hurry does not go before it, and is refused at once when
 * the link can't carry it in time.
 */
static void
test_bulk_in_turn(void)
{
	struct noted *first, *second, *third, *hurried;
	struct admission_waiter ended = { .bulk = true };
	struct fixture f;

	fixture_init(&f);
	admission_set_bulk(f.admission, 1, 80);
	CU_ASSERT_EQUAL(offer_bulk(&f, FOREVER_MS, &first), ADMISSION_RUN);
	CU_ASSERT_EQUAL(offer_bulk(&f, 500, &second), ADMISSION_QUEUED);
	CU_ASSERT_EQUAL(offer_bulk(&f, 100, &hurried), ADMISSION_REFUSED);
	CU_ASSERT_EQUAL(offer_bulk(&f, 300, &third), ADMISSION_QUEUED);
	admission_finish(f.admission, &ended, ADMISSION_GOOD, 1000, 80);
	CU_ASSERT_TRUE(second->told);
	CU_ASSERT_EQUAL(second->reason, ADMISSION_OK);
	CU_ASSERT_FALSE(third->told);
	admission_free(f.admission);
}

static void
test_closing_refuses_all(void)
{
	struct noted *queued, *noted;
	struct fixture f;

	fixture_init(&f);
	fill(&f, 0);
	offer(&f, 1, FOREVER_MS, 0, &queued);
	admission_set_open(f.admission, false);
	CU_ASSERT_TRUE(queued->told);
	CU_ASSERT_EQUAL(queued->reason, ADMISSION_CLOSED);
	CU_ASSERT_EQUAL(offer(&f, 1, FOREVER_MS, 0, &noted), ADMISSION_REFUSED);
	CU_ASSERT_FALSE(admission_is_idle(f.admission));
	for (int i = 0; i < SLOTS; i++)
		finish(&f, ADMISSION_GOOD, 1, 1);
	CU_ASSERT_TRUE(admission_is_idle(f.admission));
	admission_free(f.admission);
}

static const struct test_case cases[] = {
	{ "limit and order", test_limit_and_order },
	{ "what is short of time goes first", test_short_of_time_goes_first },
	{ "what is late goes last", test_late_goes_last },
	{ "a full queue displaces what is less urgent",
	    test_full_queue_displaces_less_urgent },
	{ "what would come too late is refused",
	    test_refuses_what_would_come_too_late },
	{ "the cold rate holds in every second",
	    test_cold_rate_holds_in_every_second },
	{ "refused connections pause, one request tries",
	    test_refused_connections_pause_and_return },
	{ "sheds leave half of the slots", test_sheds_leave_half_of_the_slots },
	{ "large answers leave slots to short requests", test_bulk_limit },
	{ "large answers have their turn in order", test_bulk_in_turn },
	{ "closing refuses all", test_closing_refuses_all },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("admission", cases);
}
