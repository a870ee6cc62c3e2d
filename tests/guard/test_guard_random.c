#include <glib.h>
#include <stdio.h>

#include "common/rng.h"
#include "guard_fixture.h"
#include "harness.h"

enum {
	SEEDS = 40,
	STEPS = 4000,
	CALLS_MAX = 64,
	REQUESTS = 400,
	ATTEMPTS_MAX = 100,
	OUTCOMES = OUTCOME_CANCELLED + 1,
	DEDUP_LEASE_MS = 600000, /* longer than a run */
};

struct open_call {
	uint64_t ticket;
	uint32_t request;
	bool running;
};

/* A run of random steps, with the expected state of the guard. */
struct random_run {
	struct guard_fixture f;
	struct rng *rng;
	struct open_call calls[CALLS_MAX];
	size_t call_count;
	uint32_t executions[REQUESTS]; /* calls that may have run */
	uint32_t successes;            /* since the limit last changed */
	uint32_t limit;
	bool paused;
	uint32_t violations;
};

static void
expect(struct random_run *run, bool condition)
{
	run->violations += condition ? 0 : 1;
}

static size_t
find_call(const struct random_run *run, uint64_t ticket)
{
	for (size_t i = 0; i < run->call_count; i++)
		if (run->calls[i].ticket == ticket)
			return i;
	return CALLS_MAX;
}

static void
remove_call(struct random_run *run, size_t index)
{
	run->calls[index] = run->calls[--run->call_count];
}

static void
start_request(struct random_run *run)
{
	uint32_t request = (uint32_t)rng_below(run->rng, REQUESTS);
	struct guard_call call;
	enum guard_decision decision;
	enum refusal_reason reason;
	uint64_t ticket;
	char name[16];

	if (run->call_count == CALLS_MAX)
		return;
	snprintf(name, sizeof(name), "r%u", request);
	call = fixture_call(&run->f, name, false);
	call.attempt = (uint32_t)rng_below(run->rng, ATTEMPTS_MAX);
	if (rng_below(run->rng, 8) == 0)
		call.tick -= MIN(call.tick, rng_below(run->rng, 40));
	if (rng_below(run->rng, 16) == 0)
		call.incarnation = rng_below(run->rng, 9);
	decision = guard_admit(run->f.guard, &call, &ticket, &reason);
	if (decision == GUARD_REFUSE)
		return;
	expect(run, call.incarnation == FIXTURE_INCARNATION);
	run->calls[run->call_count++] =
	    (struct open_call){ .ticket = ticket, .request = request };
	if (decision == GUARD_QUEUE)
		return;
	run->calls[run->call_count - 1].running =
	    guard_confirm(run->f.guard, ticket, &reason);
	if (!run->calls[run->call_count - 1].running)
		remove_call(run, run->call_count - 1);
}

static void
end_request(struct random_run *run)
{
	size_t index = rng_below(run->rng, MAX(run->call_count, 1));
	enum guard_outcome outcome = OUTCOME_OK;
	struct open_call call;

	if (run->call_count == 0)
		return;
	call = run->calls[index];
	if (!call.running) {
		if (rng_below(run->rng, 4) == 0 &&
		    guard_cancel(run->f.guard, call.ticket))
			remove_call(run, index);
		return;
	}
	if (rng_below(run->rng, 24) == 0)
		outcome = (enum guard_outcome)rng_below(run->rng, OUTCOMES);
	guard_complete(run->f.guard, call.ticket, outcome, FIXTURE_LATENCY_US);
	remove_call(run, index);
	if (outcome == OUTCOME_OK)
		run->successes++;
	if (outcome != OUTCOME_SHED && outcome != OUTCOME_CONNECTION_REFUSED)
		run->executions[call.request]++;
}

static void
run_queue(struct random_run *run)
{
	enum guard_decision decision;
	enum refusal_reason reason;
	uint64_t ticket;
	size_t index;

	while (guard_dequeue(run->f.guard, &ticket, &decision, &reason)) {
		index = find_call(run, ticket);
		expect(run, index < CALLS_MAX && !run->calls[index].running);
		if (index == CALLS_MAX)
			return;
		run->calls[index].running = decision == GUARD_RUN &&
		    guard_confirm(run->f.guard, ticket, &reason);
		if (!run->calls[index].running)
			remove_call(run, index);
	}
}

/*
 * Check the counts, and that the limit rises by one at a time and only after
 * at least 10 successes.
 */
static void
check_state(struct random_run *run)
{
	struct guard_hint hint = guard_hint(run->f.guard);
	uint32_t running = 0;

	for (size_t i = 0; i < run->call_count; i++)
		running += run->calls[i].running ? 1 : 0;
	expect(run, hint.in_flight == running);
	expect(run, hint.in_flight + hint.queued == run->call_count);
	expect(run, hint.queued <= fixture_settings().queue_limit);
	expect(run, hint.limit <= FIXTURE_SLOTS);
	expect(run, guard_is_idle(run->f.guard) == (run->call_count == 0));
	if (hint.limit == 0) {
		if (!run->paused)
			run->successes = 0; /* a pause resets the count */
		run->paused = true;
		return;
	}
	if (hint.limit > run->limit)
		expect(
		    run, hint.limit == run->limit + 1 && run->successes >= 10);
	if (hint.limit > run->limit ||
	    (hint.limit < run->limit && !run->paused))
		run->successes = 0;
	run->paused = false;
	run->limit = hint.limit;
}

static void
run_steps(struct random_run *run)
{
	bool in_service = true;

	for (int i = 0; i < STEPS; i++) {
		uint64_t kind = rng_below(run->rng, 100);

		if (kind < 45)
			start_request(run);
		else if (kind < 90)
			end_request(run);
		else if (kind < 98)
			fake_clock_advance_ms(
			    &run->f.clock, (int64_t)rng_below(run->rng, 30));
		else
			in_service = rng_below(run->rng, 8) != 0;
		guard_set_in_service(run->f.guard, in_service);
		run_queue(run);
		check_state(run);
	}
}

static uint32_t
run_seed(uint64_t seed)
{
	struct guard_settings settings = fixture_settings();
	struct random_run run = { .rng = rng_seeded_new(seed), .limit = 1 };

	settings.dedup_entries = REQUESTS + 1;
	settings.dedup_lease_ms = DEDUP_LEASE_MS;
	guard_fixture_init(&run.f, &settings);
	run_steps(&run);
	for (int i = 0; i < REQUESTS; i++)
		expect(&run, run.executions[i] <= 1);
	guard_fixture_clear(&run.f);
	rng_free(run.rng);
	return run.violations;
}

static void
test_random_steps(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		uint32_t violations = run_seed(seed);

		if (violations > 0)
			printf("seed %u: %u violations ", (unsigned)seed,
			    violations);
		CU_ASSERT_EQUAL(violations, 0);
	}
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "random steps keep all invariants", test_random_steps },
		{ NULL, NULL },
	};

	return harness_run("guard, random", cases);
}
