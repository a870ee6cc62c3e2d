#ifndef TREFOILHILL_TESTS_GUARD_FIXTURE_H
#define TREFOILHILL_TESTS_GUARD_FIXTURE_H

#include "guard/guard.h"

enum {
	FIXTURE_INCARNATION = 7,
	FIXTURE_TICK_MS = 100,
	FIXTURE_TICK_BOUND = 20,
	FIXTURE_SLOTS = 12,
	FIXTURE_WORK_US = 20000,
};

/* A guard in service under a clock that the test moves. */
struct guard_fixture {
	struct fake_clock clock;
	struct guard *guard;
};

void guard_fixture_init(
    struct guard_fixture *fixture, const struct guard_settings *settings);
void guard_fixture_clear(struct guard_fixture *fixture);
struct guard_settings fixture_settings(void);
/* A call that bears the guard's present word; deadline in 5 s. */
struct guard_call fixture_call(
    struct guard_fixture *fixture, const char *request, bool idempotent);
/* Admit, confirm and complete so many good calls, width at once. */
void guard_fixture_work(
    struct guard_fixture *fixture, uint32_t count, uint32_t width);

#endif
