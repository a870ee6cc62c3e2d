#include <glib.h>
#include <stdio.h>

#include "guard/stats.h"
#include "guard_fixture.h"
#include "harness.h"

static enum guard_decision
admit(struct guard_fixture *f, struct guard_call call, uint64_t *ticket,
    enum refusal_reason *reason)
{
	return guard_admit(f->guard, &call, ticket, reason);
}

static void
test_fence(void)
{
	struct guard_settings settings = fixture_settings();
	struct guard_fixture f;
	struct guard_call call;
	enum refusal_reason reason;
	uint64_t ticket;

	guard_fixture_init(&f, &settings);
	call = fixture_call(&f, "a", true);
	call.incarnation = 0;
	CU_ASSERT_EQUAL(admit(&f, call, &ticket, &reason), GUARD_REFUSE);
	CU_ASSERT_EQUAL(reason, REFUSAL_FENCED);
	call.incarnation = FIXTURE_INCARNATION + 1;
	CU_ASSERT_EQUAL(admit(&f, call, &ticket, &reason), GUARD_REFUSE);
	call = fixture_call(&f, "a", true);
	call.tick++;
	CU_ASSERT_EQUAL(admit(&f, call, &ticket, &reason), GUARD_REFUSE);
	call = fixture_call(&f, "a", true);
	fake_clock_advance_ms(
	    &f.clock, (int64_t)FIXTURE_TICK_MS * (FIXTURE_TICK_BOUND + 1));
	CU_ASSERT_EQUAL(admit(&f, call, &ticket, &reason), GUARD_REFUSE);
	CU_ASSERT_EQUAL(reason, REFUSAL_FENCED);
	CU_ASSERT_EQUAL(
	    admit(&f, fixture_call(&f, "a", true), &ticket, &reason),
	    GUARD_RUN);
	guard_fixture_clear(&f);
}

static void
test_not_ready(void)
{
	struct guard_settings settings = fixture_settings();
	struct guard_fixture f;
	enum refusal_reason reason;
	uint64_t ticket;

	fake_clock_init(&f.clock);
	f.guard = guard_new(&settings, &f.clock.base, NULL);
	CU_ASSERT_FALSE(guard_hint(f.guard).accepting);
	CU_ASSERT_EQUAL(
	    admit(&f, fixture_call(&f, "a", true), &ticket, &reason),
	    GUARD_REFUSE);
	CU_ASSERT_EQUAL(reason, REFUSAL_NOT_READY);
	guard_fixture_clear(&f);
}

static void
test_slow_start(void)
{
	struct guard_settings settings = fixture_settings();
	struct guard_fixture f;

	guard_fixture_init(&f, &settings);
	CU_ASSERT_EQUAL(guard_hint(f.guard).limit, 1);
	fake_clock_advance_ms(&f.clock, 60000);
	CU_ASSERT_EQUAL(guard_hint(f.guard).limit, 1);
	for (uint32_t limit = 1; limit < FIXTURE_SLOTS; limit++) {
		CU_ASSERT_EQUAL(guard_hint(f.guard).limit, limit);
		guard_fixture_complete_calls(&f, MAX(limit, 10), limit);
	}
	CU_ASSERT_EQUAL(guard_hint(f.guard).limit, FIXTURE_SLOTS);
	CU_ASSERT_EQUAL(counter_get(guard_counters(f.guard), GUARD_WARMED), 1);
	guard_fixture_complete_calls(&f, 1000, FIXTURE_SLOTS);
	CU_ASSERT_EQUAL(guard_hint(f.guard).limit, FIXTURE_SLOTS);
	guard_fixture_clear(&f);
}

static void
test_unused_limit_does_not_grow(void)
{
	struct guard_settings settings = fixture_settings();
	struct guard_fixture f;

	guard_fixture_init(&f, &settings);
	guard_fixture_complete_calls(&f, 200, 1);
	CU_ASSERT_EQUAL(guard_hint(f.guard).limit, 2);
	guard_fixture_clear(&f);
}

static void
complete_calls(
    struct guard_fixture *f, uint32_t count, enum guard_outcome outcome)
{
	enum refusal_reason reason;
	uint64_t ticket;

	for (uint32_t i = 0; i < count; i++) {
		if (admit(f, fixture_call(f, "x", true), &ticket, &reason) !=
		    GUARD_RUN)
			return;
		guard_confirm(f->guard, ticket, &reason);
		guard_complete(f->guard, ticket, outcome, 1000);
	}
}

static void
test_turns_cold(void)
{
	struct guard_settings settings = fixture_settings();
	struct guard_fixture f;

	guard_fixture_init(&f, &settings);
	guard_fixture_complete_calls(&f, 400, FIXTURE_SLOTS);
	complete_calls(&f, 2, OUTCOME_FAILED);
	CU_ASSERT_EQUAL(guard_hint(f.guard).limit, FIXTURE_SLOTS);
	complete_calls(&f, 1, OUTCOME_FAILED);
	CU_ASSERT_EQUAL(guard_hint(f.guard).limit, 0); /* pause */
	fake_clock_advance_ms(&f.clock, 60);
	CU_ASSERT_EQUAL(guard_hint(f.guard).limit, 1);
	guard_fixture_complete_calls(&f, 400, FIXTURE_SLOTS);
	complete_calls(&f, 1, OUTCOME_CONNECTION_REFUSED);
	fake_clock_advance_ms(&f.clock, 60);
	CU_ASSERT_EQUAL(guard_hint(f.guard).limit, 1);
	guard_fixture_complete_calls(&f, 400, FIXTURE_SLOTS);
	fake_clock_advance_ms(&f.clock, 11000);
	complete_calls(&f, 1, OUTCOME_OK);
	CU_ASSERT_EQUAL(guard_hint(f.guard).limit, 1);
	guard_fixture_complete_calls(&f, 400, FIXTURE_SLOTS);
	guard_set_in_service(f.guard, false);
	guard_set_in_service(f.guard, true);
	CU_ASSERT_EQUAL(guard_hint(f.guard).limit, 1);
	guard_fixture_clear(&f);
}

static void
test_latency_jump(void)
{
	struct guard_settings settings = fixture_settings();
	struct guard_fixture f;
	enum refusal_reason reason;
	uint64_t ticket;

	guard_fixture_init(&f, &settings);
	guard_fixture_complete_calls(&f, 400, FIXTURE_SLOTS);
	for (int i = 0; i < 2 * FIXTURE_SLOTS &&
	     guard_hint(f.guard).limit == FIXTURE_SLOTS;
	     i++) {
		admit(&f, fixture_call(&f, "x", true), &ticket, &reason);
		guard_confirm(f.guard, ticket, &reason);
		guard_complete(
		    f.guard, ticket, OUTCOME_OK, 20 * FIXTURE_LATENCY_US);
	}
	CU_ASSERT_EQUAL(guard_hint(f.guard).limit, 1);
	CU_ASSERT_EQUAL(counter_get(guard_counters(f.guard),
			    GUARD_TURNED_COLD + COLD_LATENCY),
	    1);
	guard_fixture_clear(&f);
}

static void
test_queue_is_bounded(void)
{
	struct guard_settings settings = fixture_settings();
	enum guard_decision decision;
	struct guard_fixture f;
	enum refusal_reason reason;
	uint64_t running, ticket, next;

	guard_fixture_init(&f, &settings);
	admit(&f, fixture_call(&f, "x", true), &running, &reason);
	guard_confirm(f.guard, running, &reason);
	for (uint32_t i = 0; i < settings.queue_limit; i++)
		CU_ASSERT_EQUAL(
		    admit(&f, fixture_call(&f, "x", true), &ticket, &reason),
		    GUARD_QUEUE);
	CU_ASSERT_EQUAL(
	    admit(&f, fixture_call(&f, "x", true), &ticket, &reason),
	    GUARD_REFUSE);
	CU_ASSERT_EQUAL(reason, REFUSAL_LIMIT);
	CU_ASSERT_FALSE(guard_dequeue(f.guard, &next, &decision, &reason));
	guard_complete(f.guard, running, OUTCOME_OK, FIXTURE_LATENCY_US);
	CU_ASSERT_TRUE(guard_dequeue(f.guard, &next, &decision, &reason));
	CU_ASSERT_EQUAL(decision, GUARD_RUN);
	CU_ASSERT_FALSE(guard_dequeue(f.guard, &ticket, &decision, &reason));
	fake_clock_advance_ms(&f.clock, settings.queue_wait_ms);
	for (uint32_t i = 1; i < settings.queue_limit; i++) {
		CU_ASSERT_TRUE(
		    guard_dequeue(f.guard, &ticket, &decision, &reason));
		CU_ASSERT_EQUAL(decision, GUARD_REFUSE);
		CU_ASSERT_EQUAL(reason, REFUSAL_QUEUE_WAIT);
	}
	CU_ASSERT_FALSE(guard_dequeue(f.guard, &ticket, &decision, &reason));
	guard_fixture_clear(&f);
}

static void
test_refuses_long_wait(void)
{
	struct guard_settings settings = fixture_settings();
	struct guard_fixture f;
	struct guard_call call;
	enum refusal_reason reason;
	uint64_t ticket;

	guard_fixture_init(&f, &settings);
	guard_fixture_complete_calls(&f, 5, 1);
	admit(&f, fixture_call(&f, "x", true), &ticket, &reason);
	call = fixture_call(&f, "y", true);
	call.deadline = timespec_plus_ms(f.clock.now, 15);
	CU_ASSERT_EQUAL(admit(&f, call, &ticket, &reason), GUARD_REFUSE);
	CU_ASSERT_EQUAL(reason, REFUSAL_QUEUE_WAIT);
	call.deadline = f.clock.now;
	CU_ASSERT_EQUAL(admit(&f, call, &ticket, &reason), GUARD_REFUSE);
	CU_ASSERT_EQUAL(reason, REFUSAL_DEADLINE);
	guard_fixture_clear(&f);
}

static void
test_suspended_guard_rechecks(void)
{
	struct guard_settings settings = fixture_settings();
	struct guard_fixture f;
	struct guard_call call;
	enum refusal_reason reason;
	uint64_t ticket;

	guard_fixture_init(&f, &settings);
	call = fixture_call(&f, "x", false);
	call.deadline = timespec_plus_ms(f.clock.now, 60000);
	CU_ASSERT_EQUAL(admit(&f, call, &ticket, &reason), GUARD_RUN);
	fake_clock_advance_ms(&f.clock, 30000);
	CU_ASSERT_FALSE(guard_confirm(f.guard, ticket, &reason));
	CU_ASSERT_EQUAL(reason, REFUSAL_FENCED);
	CU_ASSERT_TRUE(guard_is_idle(f.guard));
	guard_tick(f.guard);
	CU_ASSERT_EQUAL(counter_get(guard_counters(f.guard), GUARD_FROZEN), 1);
	guard_fixture_clear(&f);
}

static void
test_out_of_service_before_dispatch(void)
{
	struct guard_settings settings = fixture_settings();
	enum guard_decision decision;
	struct guard_fixture f;
	enum refusal_reason reason;
	uint64_t granted, queued, ticket;

	guard_fixture_init(&f, &settings);
	admit(&f, fixture_call(&f, "x", false), &granted, &reason);
	admit(&f, fixture_call(&f, "y", false), &queued, &reason);
	guard_set_in_service(f.guard, false);
	CU_ASSERT_FALSE(guard_confirm(f.guard, granted, &reason));
	CU_ASSERT_EQUAL(reason, REFUSAL_OUT_OF_SERVICE);
	CU_ASSERT_TRUE(guard_dequeue(f.guard, &ticket, &decision, &reason));
	CU_ASSERT_EQUAL(ticket, queued);
	CU_ASSERT_EQUAL(decision, GUARD_REFUSE);
	CU_ASSERT_EQUAL(
	    admit(&f, fixture_call(&f, "z", true), &ticket, &reason),
	    GUARD_REFUSE);
	CU_ASSERT_EQUAL(reason, REFUSAL_OUT_OF_SERVICE);
	guard_fixture_clear(&f);
}

static void
test_drain_completes_admitted_calls(void)
{
	struct guard_settings settings = fixture_settings();
	enum guard_decision decision;
	struct guard_fixture f;
	enum refusal_reason reason;
	uint64_t first, second, ticket;

	guard_fixture_init(&f, &settings);
	admit(&f, fixture_call(&f, "x", false), &first, &reason);
	admit(&f, fixture_call(&f, "y", false), &second, &reason);
	guard_drain(f.guard);
	CU_ASSERT_EQUAL(
	    admit(&f, fixture_call(&f, "z", true), &ticket, &reason),
	    GUARD_REFUSE);
	CU_ASSERT_EQUAL(reason, REFUSAL_DRAINING);
	CU_ASSERT_TRUE(guard_confirm(f.guard, first, &reason));
	guard_complete(f.guard, first, OUTCOME_OK, FIXTURE_LATENCY_US);
	CU_ASSERT_FALSE(guard_is_idle(f.guard));
	CU_ASSERT_TRUE(guard_dequeue(f.guard, &ticket, &decision, &reason));
	CU_ASSERT_EQUAL(decision, GUARD_RUN);
	CU_ASSERT_TRUE(guard_confirm(f.guard, second, &reason));
	guard_complete(f.guard, second, OUTCOME_OK, FIXTURE_LATENCY_US);
	CU_ASSERT_TRUE(guard_is_idle(f.guard));
	guard_fixture_clear(&f);
}

static void
test_duplicates(void)
{
	struct guard_settings settings = fixture_settings();
	struct guard_fixture f;
	struct guard_call call;
	enum refusal_reason reason;
	uint64_t first, ticket;

	guard_fixture_init(&f, &settings);
	call = fixture_call(&f, "x", false);
	call.key = str_from("order-1");
	CU_ASSERT_EQUAL(admit(&f, call, &first, &reason), GUARD_RUN);
	CU_ASSERT_EQUAL(admit(&f, call, &ticket, &reason), GUARD_REFUSE);
	CU_ASSERT_EQUAL(reason, REFUSAL_DUPLICATE);
	CU_ASSERT_FALSE(refusal_is_not_run(reason));
	guard_confirm(f.guard, first, &reason);
	guard_complete(f.guard, first, OUTCOME_TIMEOUT, FIXTURE_LATENCY_US);
	fake_clock_advance_ms(&f.clock, 9000);
	/* Duplicates are detected before any other reason to refuse. */
	guard_set_in_service(f.guard, false);
	CU_ASSERT_EQUAL(admit(&f, call, &ticket, &reason), GUARD_REFUSE);
	CU_ASSERT_EQUAL(reason, REFUSAL_DUPLICATE);
	guard_set_in_service(f.guard, true);
	call = fixture_call(&f, "y", false);
	call.key = str_from("order-1");
	CU_ASSERT_EQUAL(admit(&f, call, &ticket, &reason), GUARD_REFUSE);
	CU_ASSERT_EQUAL(reason, REFUSAL_DUPLICATE);
	guard_fixture_clear(&f);
}

static void
test_copy_of_refused_call(void)
{
	struct guard_settings settings = fixture_settings();
	struct guard_fixture f;
	struct guard_call call;
	enum refusal_reason reason;
	uint64_t first, ticket;

	guard_fixture_init(&f, &settings);
	call = fixture_call(&f, "x", false);
	CU_ASSERT_EQUAL(admit(&f, call, &first, &reason), GUARD_RUN);
	guard_confirm(f.guard, first, &reason);
	guard_complete(f.guard, first, OUTCOME_SHED, 100);
	fake_clock_advance_ms(&f.clock, 600);
	CU_ASSERT_EQUAL(admit(&f, call, &ticket, &reason), GUARD_REFUSE);
	CU_ASSERT_EQUAL(reason, REFUSAL_FENCED);
	call.attempt = 1;
	CU_ASSERT_EQUAL(admit(&f, call, &ticket, &reason), GUARD_RUN);
	guard_confirm(f.guard, ticket, &reason);
	for (uint32_t i = 0; i < settings.queue_limit; i++)
		admit(&f, fixture_call(&f, "get", true), &first, &reason);
	call = fixture_call(&f, "y", false);
	CU_ASSERT_EQUAL(admit(&f, call, &first, &reason), GUARD_REFUSE);
	CU_ASSERT_EQUAL(reason, REFUSAL_LIMIT);
	guard_complete(f.guard, ticket, OUTCOME_OK, 100);
	fake_clock_advance_ms(&f.clock, 600);
	CU_ASSERT_EQUAL(admit(&f, call, &first, &reason), GUARD_REFUSE);
	CU_ASSERT_EQUAL(reason, REFUSAL_FENCED);
	guard_fixture_clear(&f);
}

static void
test_full_record_refuses(void)
{
	struct guard_settings settings = fixture_settings();
	struct guard_fixture f;
	struct guard_call call;
	enum refusal_reason reason;
	uint64_t ticket;
	char name[16];

	settings.dedup_entries = 3;
	guard_fixture_init(&f, &settings);
	for (int i = 0; i < 3; i++) {
		snprintf(name, sizeof(name), "r%d", i);
		CU_ASSERT_EQUAL(
		    admit(&f, fixture_call(&f, name, false), &ticket, &reason),
		    GUARD_RUN);
		guard_confirm(f.guard, ticket, &reason);
		guard_complete(f.guard, ticket, OUTCOME_OK, FIXTURE_LATENCY_US);
	}
	call = fixture_call(&f, "late", false);
	CU_ASSERT_EQUAL(admit(&f, call, &ticket, &reason), GUARD_REFUSE);
	CU_ASSERT_EQUAL(reason, REFUSAL_RECORD_FULL);
	/* The refusal could not be recorded either, so the fence was raised. */
	CU_ASSERT_EQUAL(admit(&f, call, &ticket, &reason), GUARD_REFUSE);
	CU_ASSERT_EQUAL(reason, REFUSAL_FENCED);
	CU_ASSERT_EQUAL(
	    admit(&f, fixture_call(&f, "get", true), &ticket, &reason),
	    GUARD_RUN);
	fake_clock_advance_ms(&f.clock, 5000 + 10000 + 1);
	CU_ASSERT_EQUAL(
	    admit(&f, fixture_call(&f, "new", false), &ticket, &reason),
	    GUARD_QUEUE);
	guard_fixture_clear(&f);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "stale, foreign and future hints are fenced", test_fence },
		{ "nothing is served before configuration", test_not_ready },
		{ "the limit rises by completed work alone", test_slow_start },
		{ "an unused limit does not grow",
		    test_unused_limit_does_not_grow },
		{ "failures, idling and return to service mark cold",
		    test_turns_cold },
		{ "a latency jump marks cold", test_latency_jump },
		{ "the queue is bounded", test_queue_is_bounded },
		{ "a call that would wait too long is refused at once",
		    test_refuses_long_wait },
		{ "a suspended guard checks granted calls again",
		    test_suspended_guard_rechecks },
		{ "out of service stops granted calls",
		    test_out_of_service_before_dispatch },
		{ "draining completes admitted calls",
		    test_drain_completes_admitted_calls },
		{ "duplicates are refused", test_duplicates },
		{ "a copy of a refused call is refused",
		    test_copy_of_refused_call },
		{ "a full deduplication record refuses",
		    test_full_record_refuses },
		{ NULL, NULL },
	};

	return harness_run("guard", cases);
}
