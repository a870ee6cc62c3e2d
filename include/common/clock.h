#ifndef TREFOILHILL_COMMON_CLOCK_H
#define TREFOILHILL_COMMON_CLOCK_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

struct clock;

struct clock_ops {
	/* Monotonic time, for intervals, deadlines and leases. */
	struct timespec (*monotonic)(struct clock *);
	/* Wall-clock time, for timestamps only, never for decisions. */
	struct timespec (*realtime)(struct clock *);
};

struct clock {
	const struct clock_ops *ops;
};

/* A clock for tests, advanced explicitly. */
struct fake_clock {
	struct clock base;
	struct timespec now;
};

struct clock *clock_system(void);
struct timespec clock_now(struct clock *clock);
struct timespec clock_wall(struct clock *clock);
void fake_clock_init(struct fake_clock *clock);
void fake_clock_advance_ms(struct fake_clock *clock, int64_t ms);

struct timespec timespec_from_ms(int64_t ms);
struct timespec timespec_plus_ms(struct timespec t, int64_t ms);
int64_t timespec_ms_between(struct timespec from, struct timespec to);
int64_t timespec_us_between(struct timespec from, struct timespec to);
bool timespec_before(struct timespec a, struct timespec b);

#endif
