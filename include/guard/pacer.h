#ifndef TREFOILHILL_GUARD_PACER_H
#define TREFOILHILL_GUARD_PACER_H

#include <stdint.h>

/*
 * Spaces starts evenly at a rate, with a small burst after a pause. Answers the
 * load pattern of an upstream in need that names a rate far below what its
 * slots would take, and of a cold one whose node starts again, and so forgets
 * its earlier starts. Times are milliseconds of a monotonic clock.
 */
struct pacer {
	int64_t burst_us;    /* starts of this time may come at once */
	int64_t interval_us; /* between starts; 0: any rate */
	int64_t due_us;      /* of the next start, without a burst */
};

/*
 * Set the rate, in starts per 1,000 s; 0 allows any. Low rates are raised to
 * PACER_RATE_MIN_PER_KS.
 */
void pacer_set_rate(struct pacer *pacer, uint32_t per_ks, int64_t now_ms);
/* The earliest time for the next start; now_ms or earlier means at once. */
int64_t pacer_next_ms(const struct pacer *pacer);
/* The wait of a start that has ahead others before it. */
int64_t pacer_wait_ms(
    const struct pacer *pacer, uint32_t ahead, int64_t now_ms);
void pacer_record_start(struct pacer *pacer, int64_t now_ms);

enum {
	/*
	 * An upstream that names a lower rate, or 0, still gets a request now
	 * and then: only a response can tell that the limit is over.
	 */
	PACER_RATE_MIN_PER_KS = 500,
};

#endif
