#include <glib.h>

#include "guard_fixture.h"

enum {
	WIDTH_MAX = 64,
	DEADLINE_MS = 5000,
	US_PER_MS = 1000,
};

struct guard_settings
fixture_settings(void)
{
	return (struct guard_settings){
		.incarnation = FIXTURE_INCARNATION,
		.slots = FIXTURE_SLOTS,
		.cold_limit = 1,
		.queue_limit = 4,
		.queue_wait_ms = 200,
		.tick_ms = FIXTURE_TICK_MS,
		.tick_bound = FIXTURE_TICK_BOUND,
		.dedup_entries = 64,
		.dedup_lease_ms = 10000,
		.upstream = str_from("vault-1"),
	};
}

void
guard_fixture_init(
    struct guard_fixture *fixture, const struct guard_settings *settings)
{
	fake_clock_init(&fixture->clock);
	fixture->guard = guard_new(settings, &fixture->clock.base, NULL);
	guard_set_in_service(fixture->guard, true);
}

void
guard_fixture_clear(struct guard_fixture *fixture)
{
	guard_free(fixture->guard);
}

struct guard_call
fixture_call(
    struct guard_fixture *fixture, const char *request, bool idempotent)
{
	struct guard_hint hint = guard_hint(fixture->guard);

	return (struct guard_call){
		.incarnation = hint.incarnation,
		.tick = hint.tick,
		.request = str_from(request),
		.idempotent = idempotent,
		.deadline = timespec_plus_ms(fixture->clock.now, DEADLINE_MS),
	};
}

void
guard_fixture_complete_calls(
    struct guard_fixture *fixture, uint32_t count, uint32_t width)
{
	uint64_t tickets[WIDTH_MAX];
	enum refusal_reason reason;

	while (count > 0) {
		uint32_t running = 0;

		for (; running < MIN(width, count); running++) {
			struct guard_call call =
			    fixture_call(fixture, "get", true);

			if (guard_hint(fixture->guard).limit <= running)
				break;
			if (guard_admit(fixture->guard, &call,
				&tickets[running], &reason) != GUARD_RUN)
				break;
			guard_confirm(
			    fixture->guard, tickets[running], &reason);
		}
		if (running == 0)
			return;
		fake_clock_advance_ms(
		    &fixture->clock, FIXTURE_LATENCY_US / US_PER_MS);
		for (uint32_t i = 0; i < running; i++)
			guard_complete(fixture->guard, tickets[i], OUTCOME_OK,
			    FIXTURE_LATENCY_US);
		count -= running;
	}
}
