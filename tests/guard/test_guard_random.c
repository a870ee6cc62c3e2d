#include <glib.h>
#include <stdio.h>

#include "common/rng.h"
#include "guard_fixture.h"
#include "harness.h"

enum {
	SEEDS = 40,
	STEPS = 4000,
	HELD_MAX = 64,
	REQUESTS = 400,
	ATTEMPTS_MAX = 100,
	OUTCOMES = OUTCOME_CANCELLED + 1,
	ONCE_LEASE_MS = 600000, /* longer than a run */
};

struct held {
	uint64_t ticket;
	uint32_t request;
	bool running;
};

/* What a run of random steps knows besides the guard. */
struct walk {
	struct guard_fixture f;
	struct rng *rng;
	struct held held[HELD_MAX];
	size_t held_count;
	uint32_t runs[REQUESTS]; /* that may have run, of each request */
	uint32_t good;           /* completions since the limit last changed */
	uint32_t limit;
	bool paused;
	uint32_t broken;
};

static void
expect(struct walk *walk, bool held)
{
	walk->broken += held ? 0 : 1;
}

static size_t
find_held(const struct walk *walk, uint64_t ticket)
{
	for (size_t i = 0; i < walk->held_count; i++)
		if (walk->held[i].ticket == ticket)
			return i;
	return HELD_MAX;
}

static void
drop_held(struct walk *walk, size_t index)
{
	walk->held[index] = walk->held[--walk->held_count];
}

static void
start_request(struct walk *walk)
{
	uint32_t request = (uint32_t)rng_below(walk->rng, REQUESTS);
	struct guard_call call;
	enum guard_decision decision;
	enum refusal_reason reason;
	uint64_t ticket;
	char name[16];

	if (walk->held_count == HELD_MAX)
		return;
	snprintf(name, sizeof(name), "r%u", request);
	call = fixture_call(&walk->f, name, false);
	call.attempt = (uint32_t)rng_below(walk->rng, ATTEMPTS_MAX);
	if (rng_below(walk->rng, 8) == 0)
		call.tick -= MIN(call.tick, rng_below(walk->rng, 40));
	if (rng_below(walk->rng, 16) == 0)
		call.incarnation = rng_below(walk->rng, 9);
	decision = guard_admit(walk->f.guard, &call, &ticket, &reason);
	if (decision == GUARD_REFUSE)
		return;
	expect(walk, call.incarnation == FIXTURE_INCARNATION);
	walk->held[walk->held_count++] =
	    (struct held){ .ticket = ticket, .request = request };
	if (decision == GUARD_QUEUE)
		return;
	walk->held[walk->held_count - 1].running =
	    guard_confirm(walk->f.guard, ticket, &reason);
	if (!walk->held[walk->held_count - 1].running)
		drop_held(walk, walk->held_count - 1);
}

static void
end_request(struct walk *walk)
{
	size_t index = rng_below(walk->rng, MAX(walk->held_count, 1));
	enum guard_outcome outcome = OUTCOME_OK;
	struct held held;

	if (walk->held_count == 0)
		return;
	held = walk->held[index];
	if (!held.running) {
		if (rng_below(walk->rng, 4) == 0 &&
		    guard_cancel(walk->f.guard, held.ticket))
			drop_held(walk, index);
		return;
	}
	if (rng_below(walk->rng, 24) == 0)
		outcome = (enum guard_outcome)rng_below(walk->rng, OUTCOMES);
	guard_complete(walk->f.guard, held.ticket, outcome, FIXTURE_WORK_US);
	drop_held(walk, index);
	if (outcome == OUTCOME_OK)
		walk->good++;
	if (outcome != OUTCOME_SHED && outcome != OUTCOME_REFUSED)
		walk->runs[held.request]++;
}

static void
run_queue(struct walk *walk)
{
	enum guard_decision decision;
	enum refusal_reason reason;
	uint64_t ticket;
	size_t index;

	while (guard_next(walk->f.guard, &ticket, &decision, &reason)) {
		index = find_held(walk, ticket);
		expect(walk, index < HELD_MAX && !walk->held[index].running);
		if (index == HELD_MAX)
			return;
		walk->held[index].running = decision == GUARD_RUN &&
		    guard_confirm(walk->f.guard, ticket, &reason);
		if (!walk->held[index].running)
			drop_held(walk, index);
	}
}

/*
 * The limit rises by one at a time, after ten good completions at least.
 */
static void
check_state(struct walk *walk)
{
	struct guard_hint hint = guard_hint(walk->f.guard);
	uint32_t running = 0;

	for (size_t i = 0; i < walk->held_count; i++)
		running += walk->held[i].running ? 1 : 0;
	expect(walk, hint.in_flight == running);
	expect(walk, hint.in_flight + hint.queued == walk->held_count);
	expect(walk, hint.queued <= fixture_settings().queue_limit);
	expect(walk, hint.limit <= FIXTURE_SLOTS);
	expect(walk, guard_is_idle(walk->f.guard) == (walk->held_count == 0));
	if (hint.limit == 0) {
		if (!walk->paused)
			walk->good = 0; /* a pause begins the step anew */
		walk->paused = true;
		return;
	}
	if (hint.limit > walk->limit)
		expect(walk, hint.limit == walk->limit + 1 && walk->good >= 10);
	if (hint.limit > walk->limit ||
	    (hint.limit < walk->limit && !walk->paused))
		walk->good = 0;
	walk->paused = false;
	walk->limit = hint.limit;
}

static void
walk_steps(struct walk *walk)
{
	bool in_service = true;

	for (int i = 0; i < STEPS; i++) {
		uint64_t kind = rng_below(walk->rng, 100);

		if (kind < 45)
			start_request(walk);
		else if (kind < 90)
			end_request(walk);
		else if (kind < 98)
			fake_clock_advance_ms(
			    &walk->f.clock, (int64_t)rng_below(walk->rng, 30));
		else
			in_service = rng_below(walk->rng, 8) != 0;
		guard_set_in_service(walk->f.guard, in_service);
		run_queue(walk);
		check_state(walk);
	}
}

static uint32_t
walk_once(uint64_t seed)
{
	struct guard_settings settings = fixture_settings();
	struct walk walk = { .rng = rng_seeded_new(seed), .limit = 1 };

	settings.once_entries = REQUESTS + 1;
	settings.once_lease_ms = ONCE_LEASE_MS;
	guard_fixture_init(&walk.f, &settings);
	walk_steps(&walk);
	for (int i = 0; i < REQUESTS; i++)
		expect(&walk, walk.runs[i] <= 1);
	guard_fixture_clear(&walk.f);
	rng_free(walk.rng);
	return walk.broken;
}

static void
test_random_steps(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		uint32_t broken = walk_once(seed);

		if (broken > 0)
			printf("seed %u: %u broken ", (unsigned)seed, broken);
		CU_ASSERT_EQUAL(broken, 0);
	}
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "random steps keep every rule", test_random_steps },
		{ NULL, NULL },
	};

	return harness_run("guard, random", cases);
}
