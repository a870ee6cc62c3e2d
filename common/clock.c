#include "common/clock.h"

enum {
	MS_PER_S = 1000,
	US_PER_S = 1000000,
	NS_PER_US = 1000,
	NS_PER_MS = 1000000,
	NS_PER_S = 1000000000,
};

static struct timespec
system_monotonic(struct clock *clock)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now;
}

static struct timespec
system_realtime(struct clock *clock)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return now;
}

static struct timespec
fake_now(struct clock *clock)
{
	return ((struct fake_clock *)clock)->now;
}

static const struct clock_ops system_ops = {
	.monotonic = system_monotonic,
	.realtime = system_realtime,
};

static const struct clock_ops fake_ops = {
	.monotonic = fake_now,
	.realtime = fake_now,
};

static struct clock system_clock = { .ops = &system_ops };

/*
 * Return the system clock. It is shared and must not be freed.
 */
struct clock *
clock_system(void)
{
	return &system_clock;
}

/*
 * Return the monotonic time of a clock.
 */
struct timespec
clock_now(struct clock *clock)
{
	return clock->ops->monotonic(clock);
}

/*
 * Return the wall-clock time of a clock, for timestamps.
 */
struct timespec
clock_wall(struct clock *clock)
{
	return clock->ops->realtime(clock);
}

/*
 * Initialize a fake clock at 1 s. Only fake_clock_advance_ms changes its time.
 */
void
fake_clock_init(struct fake_clock *clock)
{
	clock->base.ops = &fake_ops;
	clock->now = timespec_from_ms(MS_PER_S);
}

/*
 * Advance a fake clock by ms milliseconds.
 */
void
fake_clock_advance_ms(struct fake_clock *clock, int64_t ms)
{
	clock->now = timespec_plus_ms(clock->now, ms);
}

/*
 * Convert milliseconds to a timespec.
 */
struct timespec
timespec_from_ms(int64_t ms)
{
	struct timespec t = {
		.tv_sec = ms / MS_PER_S,
		.tv_nsec = (ms % MS_PER_S) * NS_PER_MS,
	};

	return t;
}

/*
 * Return the time ms milliseconds after t.
 */
struct timespec
timespec_plus_ms(struct timespec t, int64_t ms)
{
	struct timespec d = timespec_from_ms(ms);

	t.tv_sec += d.tv_sec;
	t.tv_nsec += d.tv_nsec;
	if (t.tv_nsec >= NS_PER_S) {
		t.tv_sec++;
		t.tv_nsec -= NS_PER_S;
	} else if (t.tv_nsec < 0) {
		t.tv_sec--;
		t.tv_nsec += NS_PER_S;
	}
	return t;
}

/*
 * Return the whole milliseconds between two times; negative when to is earlier
 * than from.
 */
int64_t
timespec_ms_between(struct timespec from, struct timespec to)
{
	return timespec_us_between(from, to) / (US_PER_S / MS_PER_S);
}

/*
 * Return the microseconds between two times; negative when to is earlier than
 * from.
 */
int64_t
timespec_us_between(struct timespec from, struct timespec to)
{
	return (int64_t)(to.tv_sec - from.tv_sec) * US_PER_S +
	    (to.tv_nsec - from.tv_nsec) / NS_PER_US;
}

/*
 * Tell whether a is earlier than b.
 */
bool
timespec_before(struct timespec a, struct timespec b)
{
	if (a.tv_sec != b.tv_sec)
		return a.tv_sec < b.tv_sec;
	return a.tv_nsec < b.tv_nsec;
}
