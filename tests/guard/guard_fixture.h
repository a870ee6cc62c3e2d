#ifndef TREFOILHILL_TESTS_GUARD_FIXTURE_H
#define TREFOILHILL_TESTS_GUARD_FIXTURE_H

#include "guard/guard.h"

enum {
	FIXTURE_INCARNATION = 7,
	FIXTURE_TICK_MS = 100,
	FIXTURE_TICK_BOUND = 20,
	FIXTURE_SLOTS = 12,
	FIXTURE_LATENCY_US = 20000,
};

/* A guard in service, with a fake clock that the test advances. */
struct guard_fixture {
	struct fake_clock clock;
	struct guard *guard;
};

void guard_fixture_init(
    struct guard_fixture *fixture, const struct guard_settings *settings);
void guard_fixture_clear(struct guard_fixture *fixture);
struct guard_settings fixture_settings(void);
/* Return a call with the guard's present hint; its deadline is in 5 s. */
struct guard_call fixture_call(
    struct guard_fixture *fixture, const char *request, bool idempotent);
/* Complete count calls successfully, up to width of them at once. */
void guard_fixture_complete_calls(
    struct guard_fixture *fixture, uint32_t count, uint32_t width);

#endif
